package ibisroster

import "time"

// Verdict is whether a heartbeat is evidence that its backend server is in service.
type Verdict string

const (
	// VerdictTrusted means that it is.
	VerdictTrusted Verdict = "trusted"
	// VerdictProbe means that the heartbeat may have been sent long ago: a health check or a much later heartbeat has to confirm it.
	VerdictProbe Verdict = "probe"
)

// MaxHeartbeatDelay is how late a heartbeat arrives at most: from then on after its start, a node hears only what was sent to its
// own run, and after a heartbeat only what was sent after it.
const MaxHeartbeatDelay = 6 * time.Second

// Verifier decides whether heartbeats are evidence that a backend server is in service. A run of the node does not know what
// earlier runs were told, so heartbeats that arrive late could bring back a backend server that has left since. It is not safe
// for concurrent use.
type Verifier struct {
	nodeStart time.Time
	trusted   ServerIncarnation
	latest    ServerIncarnation
	latestSeq uint64
}

// NewVerifier returns a verifier for a run of the node that started at the time.
func NewVerifier(nodeStart time.Time) *Verifier {
	return &Verifier{
		nodeStart: nodeStart,
	}
}

// Observe returns the verdict on a heartbeat with a sequence number. It trusts a run that started after the node, and one that
// still sends heartbeats when those from before the node's start have arrived.
func (v *Verifier) Observe(run ServerIncarnation, seq uint64, now time.Time) Verdict {
	newest := run != v.latest || seq > v.latestSeq
	if newest {
		v.latest, v.latestSeq = run, seq
	}
	switch {
	case run == v.trusted:
		return VerdictTrusted
	case run.StartedAt > v.nodeStart.UnixMilli():
	case newest && now.Sub(v.nodeStart) >= MaxHeartbeatDelay:
	default:
		return VerdictProbe
	}
	v.Trust(run)
	return VerdictTrusted
}

// Trust makes later heartbeats of the run trusted, after a health check has confirmed that it is in service.
func (v *Verifier) Trust(run ServerIncarnation) { v.trusted = run }
