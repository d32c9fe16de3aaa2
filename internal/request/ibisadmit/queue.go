package ibisadmit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// waitingRequest is a request in a queue.
type waitingRequest struct {
	id       RequestID
	tenant   ibisid.TenantName
	deadline time.Time
	target   time.Time
	startTag float64
}

// tenantQueue holds the waiting requests of one tenant in one class in order of arrival.
type tenantQueue struct {
	tenant    ibisid.TenantName
	weight    float64
	finishTag float64
	requests  []waitingRequest
}

// classQueue applies start-time fair queueing to the tenants of one class. It holds either the requests that can still meet
// their target or the late ones.
type classQueue struct {
	name ibisid.ClassName
	late bool
	// tenantPriority is the priority of the tenants whose requests the queue holds, none for those of the class's priority.
	tenantPriority ibisset.Option[int]
	// call reports that the queue holds calls, and callPriority is the priority of the runs that they serve.
	call         bool
	callPriority int
	// policy is that of the class, with the priority of the tenants if they have one, and classPriority is the class's.
	policy        ClassPolicy
	classPriority int
	tenants       []*tenantQueue
	virtualTime   float64
	length        int
	running       int
	// waitingSince is when the queue was last empty.
	waitingSince time.Time
	demand       demand
	// bound is the result of runBound at boundAt for boundLimit slots.
	bound, boundLimit int
	boundAt           time.Time
}

func (q *classQueue) key() queueKey {
	return queueKey{
		class:          q.name,
		tenantPriority: q.tenantPriority,
		late:           q.late,
		call:           q.call,
		callPriority:   q.callPriority,
	}
}

// priority returns the priority of the queue's requests: that of their class or tenants or, for calls, that of their runs if it is the
// greater one.
func (q *classQueue) priority() int {
	if q.call {
		return max(q.policy.Priority, q.callPriority)
	}
	return q.policy.Priority
}

// idle reports whether no request of the queue waits or runs.
func (q *classQueue) idle() bool { return q.length == 0 && q.running == 0 }

// hasTenantPriority reports whether the queue holds requests of a priority of tenants.
func (q *classQueue) hasTenantPriority() bool {
	_, ok := q.tenantPriority.Get()
	return ok
}

// setPolicy applies the policy of the class.
func (q *classQueue) setPolicy(p ClassPolicy) {
	q.classPriority = p.Priority
	p.Priority = q.tenantPriority.Or(p.Priority)
	q.policy = p
}

// push assigns a start tag to a request and appends it to its tenant's queue.
func (q *classQueue) push(w waitingRequest, weight float64) {
	t := q.tenantQueue(w.tenant)
	t.weight = weight
	w.startTag = max(q.virtualTime, t.finishTag)
	t.finishTag = w.startTag + 1/weight
	t.requests = append(t.requests, w)
	q.length++
}

// tenantQueue returns the queue of a tenant and creates it if there is none.
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

// pop removes and returns the request with the lowest start tag; it reports false if the queue is empty.
func (q *classQueue) pop() (waitingRequest, bool) {
	var next *tenantQueue
	for _, t := range q.tenants {
		if len(t.requests) > 0 && (next == nil || t.requests[0].startTag < next.requests[0].startTag) {
			next = t
		}
	}
	if next == nil {
		return waitingRequest{}, false
	}
	w := next.requests[0]
	next.requests = next.requests[1:]
	q.length--
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.removeIdle()
	return w, true
}

// displace removes and returns the newest request of the tenant that holds the most of the queue relative to its weight. It
// reports false if that is not more than the given tenant would hold with one more request.
func (q *classQueue) displace(tenant ibisid.TenantName, weight float64) (waitingRequest, bool) {
	var most *tenantQueue
	own := 1 / weight
	for _, t := range q.tenants {
		if t.tenant == tenant {
			own = float64(len(t.requests)+1) / weight
		}
		if most == nil || t.weightedLength() > most.weightedLength() {
			most = t
		}
	}
	if most == nil || most.tenant == tenant || most.weightedLength() <= own {
		return waitingRequest{}, false
	}
	w := most.requests[len(most.requests)-1]
	most.requests = most.requests[:len(most.requests)-1]
	most.finishTag = w.startTag
	q.length--
	return w, true
}

func (t *tenantQueue) weightedLength() float64 { return float64(len(t.requests)) / t.weight }

// remove removes and returns the requests that match. The match function receives a request and the number of requests of
// the queue that would run before it.
func (q *classQueue) remove(match func(w waitingRequest, ahead int) bool) []waitingRequest {
	var removed []waitingRequest
	for _, t := range q.tenants {
		kept := t.requests[:0:0]
		for _, w := range t.requests {
			if match(w, q.aheadOf(t, len(kept))) {
				removed = append(removed, w)
				continue
			}
			kept = append(kept, w)
		}
		q.length -= len(t.requests) - len(kept)
		t.requests = kept
	}
	q.removeIdle()
	return removed
}

// ahead returns the number of requests in the queue that would run before a new one of the tenant.
func (q *classQueue) ahead(tenant ibisid.TenantName, weight float64) int {
	t := q.tenantQueue(tenant)
	t.weight = weight
	return q.aheadOf(t, len(t.requests))
}

// aheadOf estimates the number of requests in the queue that run before the one at the given position of its tenant's queue.
// While a tenant runs one request for each unit of its weight, every other tenant does so too, as far as it has requests.
func (q *classQueue) aheadOf(own *tenantQueue, position int) int {
	ahead := position
	rounds := float64(position+1) / own.weight
	for _, t := range q.tenants {
		if t != own {
			ahead += min(len(t.requests), int(rounds*t.weight))
		}
	}
	return ahead
}

// removeIdle removes tenants without waiting requests whose finish tag is not after the virtual time: their next start tag
// does not depend on the old one.
func (q *classQueue) removeIdle() {
	q.tenants = slices.DeleteFunc(q.tenants, func(t *tenantQueue) bool {
		return len(t.requests) == 0 && t.finishTag <= q.virtualTime
	})
}
