package ibismeter

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstatus"
)

// maxClasses bounds the classes that are told apart, as thousands of routes may come and go; the rest share one name.
const maxClasses = 64

const otherClasses = ibisid.ClassName("other")

// Meter is the metrics of one node; it is safe for concurrent use.
type Meter struct {
	set *metrics.Set

	mu      sync.Mutex
	classes map[ibisid.ClassName]*classMeter
}

// classMeter is the metrics of one class, which are looked up once.
type classMeter struct {
	latency *metrics.Histogram
	ended   map[endKey]*metrics.Counter
}

// endKey is how a request ended.
type endKey struct {
	outcome ibisid.Outcome
	reason  ibisorder.Reason
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{
		set:     metrics.NewSet(),
		classes: make(map[ibisid.ClassName]*classMeter),
	}
}

// Gauge tells a value that is asked for when metrics are read.
func (m *Meter) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Count returns a counter by its name, with labels in it.
func (m *Meter) Count(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Ended counts a request of a caller that ended after the time.
func (m *Meter) Ended(class ibisid.ClassName, answer ibisorder.Answer, held time.Duration) {
	m.mu.Lock()
	c := m.class(&class)
	key := endKey{
		outcome: answer.Outcome,
		reason:  answer.Reason,
	}
	counter := c.ended[key]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("ibisridge_requests_total{class=%q,outcome=%q,reason=%q}", class, key.outcome, key.reason))
		c.ended[key] = counter
	}
	m.mu.Unlock()
	counter.Inc()
	c.latency.Update(held.Seconds())
}

// Totals returns how callers' requests have ended so far, in order of class, outcome and reason.
func (m *Meter) Totals() []ibisstatus.Ended {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []ibisstatus.Ended{}
	for class, c := range m.classes {
		for key, counter := range c.ended {
			out = append(out, ibisstatus.Ended{
				Class:   class,
				Outcome: key.outcome,
				Reason:  key.reason,
				Count:   counter.Get(),
			})
		}
	}
	slices.SortFunc(out, func(a, b ibisstatus.Ended) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// class returns the metrics of a class, or of those that share a name; m.mu is held.
func (m *Meter) class(name *ibisid.ClassName) *classMeter {
	if c := m.classes[*name]; c != nil {
		return c
	}
	if len(m.classes) >= maxClasses {
		*name = otherClasses
		if c := m.classes[otherClasses]; c != nil {
			return c
		}
	}
	c := &classMeter{
		latency: m.set.GetOrCreateHistogram(fmt.Sprintf("ibisridge_request_seconds{class=%q}", *name)),
		ended:   make(map[endKey]*metrics.Counter),
	}
	m.classes[*name] = c
	return c
}

// Write writes all metrics as text.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }

// ServeHTTP answers with all metrics as text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.Write(w)
}
