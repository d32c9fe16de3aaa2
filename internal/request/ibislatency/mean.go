package ibislatency

// Mean is an exponentially weighted mean. The zero value holds no samples and is ready to use.
type Mean struct {
	value float64
	count uint64
}

// Add records a sample; window is the number of samples that the mean spans.
func (m *Mean) Add(sample float64, window float64) {
	m.count++
	span := min(window, float64(m.count))
	m.value += (sample - m.value) / span
}

// Value returns the mean, or zero before the first sample.
func (m *Mean) Value() float64 { return m.value }

// Count returns the number of recorded samples.
func (m *Mean) Count() uint64 { return m.count }
