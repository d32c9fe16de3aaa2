package ibisrequestrouter

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

const (
	maxTenants = 200
	maxClasses = 50
	// maxOutcomePairs limits the pairs of a tenant or class and an outcome.
	maxOutcomePairs = 5 * maxTenants
	maxCodes        = 100
	maxRegions      = 20
)

// requestMetrics are the metrics of a router. Their labels are tenants, classes, codes and regions, never keys.
type requestMetrics struct {
	tenants          *ibismetric.HistogramVec
	classes          *ibismetric.HistogramVec
	byTenant         *ibismetric.CounterVec
	byClass          *ibismetric.CounterVec
	refusals         *ibismetric.CounterVec
	attempts         *ibismetric.CounterVec
	crossRegionBytes *ibismetric.CounterVec
	// cutShort counts the answers that ended early at their source.
	cutShort *metrics.Counter
	// callerGone counts the answers whose receiver disconnected or stopped reading.
	callerGone *metrics.Counter
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	return &requestMetrics{
		tenants:          ibismetric.NewHistogramVec(set, "ibisridge_request_seconds_by_tenant", "tenant", maxTenants),
		classes:          ibismetric.NewHistogramVec(set, "ibisridge_request_seconds_by_class", "class", maxClasses),
		byTenant:         ibismetric.NewCounterVec(set, "ibisridge_requests_by_tenant_total", maxOutcomePairs, "tenant", "outcome"),
		byClass:          ibismetric.NewCounterVec(set, "ibisridge_requests_by_class_total", maxOutcomePairs, "class", "outcome"),
		refusals:         ibismetric.NewCounterVec(set, "ibisridge_refusals_total", maxCodes, "code"),
		attempts:         ibismetric.NewCounterVec(set, "ibisridge_attempts_total", maxCodes, "kind"),
		crossRegionBytes: ibismetric.NewCounterVec(set, "ibisridge_region_bytes_total", maxRegions, "region"),
		cutShort:         set.NewCounter("ibisridge_answers_cut_short_total"),
		callerGone:       set.NewCounter("ibisridge_answers_not_taken_total"),
	}
}

// observeRequest records outcome and latency of a request that this node received from its caller.
func (m *requestMetrics) observeRequest(q *request, r result, latency time.Duration) {
	tenant, class := string(q.account.Tenant), string(q.match.Route.Class)
	m.tenants.Observe(tenant, latency)
	m.classes.Observe(class, latency)
	m.byTenant.Add(1, tenant, string(r.outcome))
	m.byClass.Add(1, class, string(r.outcome))
	if r.refusal != nil {
		m.refusals.Add(1, r.refusal.Code)
	}
}

// countRefusal counts a request from a caller that was refused before any attempt.
func (m *requestMetrics) countRefusal(role role, refusal *ibiscaller.Refusal) {
	if role == roleEntry {
		m.refusals.Add(1, refusal.Code)
	}
}

// countAttempt counts an attempt as the first one, a retry or a hedge.
func (m *requestMetrics) countAttempt(effect ibisretry.SendEffect) {
	kind := "retry"
	switch {
	case effect.Hedge:
		kind = "hedge"
	case effect.Attempt == 1:
		kind = "first"
	}
	m.attempts.Add(1, kind)
}

// countCrossRegion adds the bytes of a request and its answer that were sent between this node's region and another.
func (m *requestMetrics) countCrossRegion(other ibisid.RegionName, bytes int64) {
	m.crossRegionBytes.Add(bytes, string(other))
}

// Histograms returns the latency histograms of the requests that this node received from callers: the outer key is "tenant"
// or "class", the inner one the name of the tenant or class.
func (rt *Router) Histograms() map[string]map[string]ibismetric.Snapshot {
	return map[string]map[string]ibismetric.Snapshot{
		"tenant": rt.requestMetrics.tenants.Snapshots(),
		"class":  rt.requestMetrics.classes.Snapshots(),
	}
}

// Counts returns the counters of the requests that this node received from callers.
func (rt *Router) Counts() []ibismetric.Count {
	m := rt.requestMetrics
	return slices.Concat(m.byClass.Counts(), m.byTenant.Counts(), m.refusals.Counts(), m.attempts.Counts(), m.crossRegionBytes.Counts())
}

// countSetAside returns the number of backend servers that are excluded from the choice as stragglers.
func (c *choosers) countSetAside() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, each := range c.byService {
		each.mu.Lock()
		count += len(each.core.Ejected(c.timer.Now()))
		each.mu.Unlock()
	}
	return float64(count)
}
