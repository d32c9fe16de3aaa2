package ibisadmit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// waiting is a request in a queue.
type waiting struct {
	id       RequestID
	tenant   ibisid.TenantName
	deadline time.Time
	target   time.Time
	start    float64
}

// tenantQueue is the requests of one tenant in one class, first come first.
type tenantQueue struct {
	tenant ibisid.TenantName
	weight float64
	finish float64
	items  []waiting
}

// classQueue is start-time fair queueing between the tenants of one class, either for requests that can still meet their
// target or for those that come late anyway.
type classQueue struct {
	name    ibisid.ClassName
	late    bool
	policy  ClassPolicy
	tenants []*tenantQueue
	virtual float64
	length  int
	running int
}

// push appends a request with its start tag.
func (q *classQueue) push(w waiting, weight float64) {
	t := q.tenantQueue(w.tenant)
	t.weight = weight
	w.start = max(q.virtual, t.finish)
	t.finish = w.start + 1/weight
	t.items = append(t.items, w)
	q.length++
}

func (q *classQueue) tenantQueue(name ibisid.TenantName) *tenantQueue {
	i, found := slices.BinarySearchFunc(q.tenants, name, func(t *tenantQueue, n ibisid.TenantName) int {
		return cmp.Compare(t.tenant, n)
	})
	if !found {
		q.tenants = slices.Insert(q.tenants, i, &tenantQueue{
			tenant: name,
			weight: 1,
		})
	}
	return q.tenants[i]
}

// pop takes the request with the least start tag.
func (q *classQueue) pop() (waiting, bool) {
	var best *tenantQueue
	for _, t := range q.tenants {
		if len(t.items) > 0 && (best == nil || t.items[0].start < best.items[0].start) {
			best = t
		}
	}
	if best == nil {
		return waiting{}, false
	}
	w := best.items[0]
	best.items = best.items[1:]
	q.length--
	q.virtual = max(q.virtual, w.start)
	q.forgetIdle()
	return w, true
}

// displace takes back the newest request of the tenant that holds most of the queue for its weight, if that is more
// than the given tenant would hold with one more.
func (q *classQueue) displace(tenant ibisid.TenantName, weight float64) (waiting, bool) {
	var most *tenantQueue
	own := 1 / weight
	for _, t := range q.tenants {
		if t.tenant == tenant {
			own = float64(len(t.items)+1) / weight
		}
		if most == nil || t.held() > most.held() {
			most = t
		}
	}
	if most == nil || most.tenant == tenant || most.held() <= own {
		return waiting{}, false
	}
	w := most.items[len(most.items)-1]
	most.items = most.items[:len(most.items)-1]
	most.finish = w.start
	q.length--
	return w, true
}

func (t *tenantQueue) held() float64 { return float64(len(t.items)) / t.weight }

// remove takes out the requests that the test picks, in order.
func (q *classQueue) remove(picks func(w waiting, ahead int) bool) []waiting {
	var out []waiting
	for _, t := range q.tenants {
		kept := t.items[:0:0]
		for _, w := range t.items {
			if picks(w, q.aheadOf(t, len(kept))) {
				out = append(out, w)
				continue
			}
			kept = append(kept, w)
		}
		q.length -= len(t.items) - len(kept)
		t.items = kept
	}
	q.forgetIdle()
	return out
}

// ahead returns the number of requests of the class that run before a new one of the tenant.
func (q *classQueue) ahead(tenant ibisid.TenantName, weight float64) int {
	t := q.tenantQueue(tenant)
	t.weight = weight
	return q.aheadOf(t, len(t.items))
}

func (q *classQueue) aheadOf(own *tenantQueue, position int) int {
	ahead := position
	turn := float64(position+1) / own.weight
	for _, t := range q.tenants {
		if t != own {
			ahead += min(len(t.items), int(turn*t.weight))
		}
	}
	return ahead
}

// forgetIdle drops tenants that wait for nothing and are behind the virtual time.
func (q *classQueue) forgetIdle() {
	q.tenants = slices.DeleteFunc(q.tenants, func(t *tenantQueue) bool {
		return len(t.items) == 0 && t.finish <= q.virtual
	})
}
