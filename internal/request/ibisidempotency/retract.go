package ibisidempotency

// Retract removes a run that was marked as sent and that the receiver reports as not started, so that its key can be used
// again. It returns false where the run is not in that state.
func (m *Memory) Retract(r Run) bool {
	e := m.find(r)
	if e == nil || e.phase != phaseSent {
		return false
	}
	e.phase = phaseAdmitted
	return m.Abandon(r)
}
