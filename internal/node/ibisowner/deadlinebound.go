package ibisowner

import (
	"net/http"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// deadlineBound is the longest deadline of a request that may change the state of the service. A takeover waits that
// long for the requests of the earlier owner.
type deadlineBound struct {
	current      time.Duration
	earlier      time.Duration
	earlierUntil time.Time
}

// at returns the longest deadline of a request that may still run.
func (b deadlineBound) at(now time.Time) time.Duration {
	if now.Before(b.earlierUntil) {
		return max(b.current, b.earlier)
	}
	return b.current
}

// set replaces the bound. Running requests keep the deadline of the revision that admitted them, so a longer earlier
// bound applies until they have ended.
func (b *deadlineBound) set(next time.Duration, now time.Time) {
	if effective := b.at(now); next < effective {
		b.earlier = effective
		b.earlierUntil = now.Add(effective)
	}
	b.current = next
}

// longestDeadline returns the longest deadline that the routes of a service give to requests that may change state;
// callers can only shorten it. Routes that only read don't count: a download that continues at an earlier owner does no
// harm.
func longestDeadline(doc *ibisdoc.Document, name ibisid.ServiceName) time.Duration {
	service, _ := doc.Service(name)
	var most time.Duration
	for _, route := range doc.Content().Routes {
		if route.Service != name || !route.NonIdempotent && readsOnly(route.Methods) {
			continue
		}
		deadline := doc.Class(route.Class).Deadline.Duration
		if route.NonIdempotent {
			deadline = min(deadline, service.LongestOrder.Duration)
		}
		most = max(most, deadline)
	}
	return most
}

// readsOnly reports whether all methods are safe, which by definition change nothing.
func readsOnly(methods []string) bool {
	safe := []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	return !slices.ContainsFunc(methods, func(m string) bool { return !slices.Contains(safe, m) })
}
