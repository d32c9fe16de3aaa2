package ibisroster

// Sequence decides which heartbeats of a backend server take effect: those that were sent after every other one that has. The zero
// value has seen none. It is not safe for concurrent use.
type Sequence struct {
	run ServerIncarnation
	seq uint64
}

// Correct records a heartbeat whatever was recorded before, if it has turned out that the server itself goes on from there.
func (s *Sequence) Correct(run ServerIncarnation, seq uint64) { s.run, s.seq = run, seq }

// Advance reports whether a heartbeat with a sequence number takes effect, and records it if so.
func (s *Sequence) Advance(run ServerIncarnation, seq uint64) bool {
	if s.IsPast(run, seq) {
		return false
	}
	s.Correct(run, seq)
	return true
}

// IsPast reports whether a heartbeat was sent by an earlier run of the server than the latest one that took effect, or not after it by the
// same run.
func (s *Sequence) IsPast(run ServerIncarnation, seq uint64) bool {
	return run.StartedAt < s.run.StartedAt || run == s.run && seq <= s.seq
}
