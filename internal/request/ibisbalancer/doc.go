// Package ibisbalancer is the load balancer of services that are not sharded by key: it picks the backend server that gets
// a request.
//
// A Chooser is a state machine without I/O, clock or lock: it takes events with the current time and draws from the
// random source passed to New. Its user keeps one chooser for each service and serializes calls. It prefers the nearest
// tier (own failure domain, own region, other regions by cost), draws two candidates and takes the one with the lower
// expected latency, and ejects stragglers temporarily. SelectPeers picks the bounded set of candidates among all servers of a
// service; CheckHome decides whether a node may serve a tenant in its region.
//
//	choice := chooser.Choose(ibisbalancer.Request{...}, now)
//	chooser.Update(ibisbalancer.AttemptSentEvent{...}, now)   // when the attempt is sent
//	chooser.Update(ibisbalancer.AttemptEndEvent{...}, now)   // when the attempt has ended
package ibisbalancer
