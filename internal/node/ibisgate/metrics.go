package ibisgate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
)

const maxClasses = 50

// histograms holds the waiting and service times of requests by class. A nil pointer records nothing.
type histograms struct {
	wait    *ibismetric.HistogramVec
	service *ibismetric.HistogramVec
}

// RegisterMetrics registers the gate's metrics in the set; it must be called before the first request.
func (g *Gate) RegisterMetrics(set *metrics.Set) {
	g.histograms = &histograms{
		wait:    ibismetric.NewHistogramVec(set, "ibisridge_gate_wait_seconds", "class", maxClasses),
		service: ibismetric.NewHistogramVec(set, "ibisridge_gate_service_seconds", "class", maxClasses),
	}
	for name, read := range map[string]func(Stats) int{
		"limit":       func(s Stats) int { return s.Limit },
		"running":     func(s Stats) int { return s.Running },
		"waiting":     func(s Stats) int { return s.Waiting },
		"connections": func(s Stats) int { return s.Connections },
	} {
		set.NewGauge("ibisridge_gate_"+name, func() float64 { return float64(read(g.Stats())) })
	}
}

func (h *histograms) observeWait(class ibisid.ClassName, d time.Duration) {
	if h != nil {
		h.wait.Observe(string(class), d)
	}
}

func (h *histograms) observeService(class ibisid.ClassName, d time.Duration) {
	if h != nil {
		h.service.Observe(string(class), d)
	}
}

// Histograms returns the histograms of waiting and service times: the outer key is "wait" or "service", the inner one the
// class. It returns nil if no metrics are registered.
func (g *Gate) Histograms() map[string]map[string]ibismetric.Snapshot {
	if g.histograms == nil {
		return nil
	}
	return map[string]map[string]ibismetric.Snapshot{
		"wait":    g.histograms.wait.Snapshots(),
		"service": g.histograms.service.Snapshots(),
	}
}
