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
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstatus"
)

// maxClasses bounds the classes with metrics of their own, since thousands of routes may be added and removed over time.
const maxClasses = 64

// sharedClass is the label of all classes beyond maxClasses.
const sharedClass = ibisid.ClassName("other")

// Meter holds the metrics of one node; it is safe for concurrent use.
type Meter struct {
	set *metrics.Set

	mu       sync.Mutex
	classes  map[ibisid.ClassName]*classMeter
	accounts accounts
}

// classMeter caches the metrics of one class, so that the set is searched only once for each.
type classMeter struct {
	latency  *metrics.Histogram
	requests map[resultKey]*metrics.Counter
}

// resultKey holds the labels that describe how a request ended.
type resultKey struct {
	outcome ibisid.Outcome
	reason  ibismessage.Reason
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{
		set:      metrics.NewSet(),
		classes:  make(map[ibisid.ClassName]*classMeter),
		accounts: newAccounts(),
	}
}

// RegisterGauge registers a gauge whose value is read each time the metrics are written.
func (m *Meter) RegisterGauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Counter returns the counter with the name, which includes its labels, and creates it if necessary.
func (m *Meter) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// RecordRequest counts a finished request of a caller and records how long it took.
func (m *Meter) RecordRequest(class ibisid.ClassName, answer ibismessage.Answer, elapsed time.Duration) {
	m.mu.Lock()
	c := m.class(&class)
	key := resultKey{
		outcome: answer.Outcome,
		reason:  answer.Reason,
	}
	counter := c.requests[key]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("ibisridge_requests_total{class=%q,outcome=%q,reason=%q}", class, key.outcome, key.reason))
		c.requests[key] = counter
	}
	m.mu.Unlock()
	counter.Inc()
	c.latency.Update(elapsed.Seconds())
}

// RecordCut counts a request of a caller whose connection was closed without a complete answer.
func (m *Meter) RecordCut(cause ibismessage.CutCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("ibisridge_answers_cut_total{cause=%q}", cause)).Inc()
}

// RequestTotals returns the counts of callers' requests so far, sorted by class, outcome and reason.
func (m *Meter) RequestTotals() []ibisstatus.RequestCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []ibisstatus.RequestCount{}
	for class, c := range m.classes {
		for key, counter := range c.requests {
			out = append(out, ibisstatus.RequestCount{
				Class:   class,
				Outcome: key.outcome,
				Reason:  key.reason,
				Count:   counter.Get(),
			})
		}
	}
	slices.SortFunc(out, func(a, b ibisstatus.RequestCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// class returns the metrics of a class. Once there are maxClasses, it sets a new class's name to sharedClass and returns the
// shared metrics. m.mu must be held.
func (m *Meter) class(name *ibisid.ClassName) *classMeter {
	if c := m.classes[*name]; c != nil {
		return c
	}
	if len(m.classes) >= maxClasses {
		*name = sharedClass
		if c := m.classes[sharedClass]; c != nil {
			return c
		}
	}
	c := &classMeter{
		latency:  m.set.GetOrCreateHistogram(fmt.Sprintf("ibisridge_request_seconds{class=%q}", *name)),
		requests: make(map[resultKey]*metrics.Counter),
	}
	m.classes[*name] = c
	return c
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }

// ServeHTTP responds with all metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.Write(w)
}
