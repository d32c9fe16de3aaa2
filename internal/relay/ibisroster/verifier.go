package ibisroster

import "time"

// Verdict is whether a heartbeat is evidence that its backend server is in service.
type Verdict string

const (
	// VerdictTrusted means that it is.
	VerdictTrusted Verdict = "trusted"
	// VerdictProbe means that the heartbeat may have been sent long ago: a health check or the next heartbeat has to confirm it.
	VerdictProbe Verdict = "probe"
)

// Verifier decides whether heartbeats are evidence that a backend server is in service. A run of the node does not know what
// earlier runs were told, so a late heartbeat could bring back a backend server that has left since. It is not safe for
// concurrent use.
type Verifier struct {
	nodeStart time.Time
	// interval is the shortest time between two heartbeats that were not held up together.
	interval time.Duration
	trusted  ServerIncarnation
	first    ServerIncarnation
	firstAt  time.Time
	firstSeq uint64
}

// NewVerifier returns a verifier for a run of the node that started at the time; heartbeat is the usual time between two
// heartbeats.
func NewVerifier(nodeStart time.Time, heartbeat time.Duration) *Verifier {
	return &Verifier{
		nodeStart: nodeStart,
		interval:  heartbeat / 2,
	}
}

// Observe returns the verdict on a heartbeat with a sequence number. It trusts a run that started after the node, and one that
// goes on sending heartbeats.
func (v *Verifier) Observe(run ServerIncarnation, seq uint64, now time.Time) Verdict {
	switch {
	case run == v.trusted:
		return VerdictTrusted
	case run.StartedAt > v.nodeStart.UnixMilli():
	case run == v.first && seq > v.firstSeq && now.Sub(v.firstAt) >= v.interval:
	case run == v.first:
		return VerdictProbe
	default:
		v.first, v.firstAt, v.firstSeq = run, now, seq
		return VerdictProbe
	}
	v.Trust(run)
	return VerdictTrusted
}

// Trust makes later heartbeats of the run trusted, after a health check has confirmed that it is in service.
func (v *Verifier) Trust(run ServerIncarnation) { v.trusted = run }
