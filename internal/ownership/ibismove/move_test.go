package ibismove_test

import "testing"

func run(seed uint64, m mutation) *simulation {
	s := newSimulation(seed, m)
	for range 400 {
		if s.failure != "" {
			return s
		}
		s.step()
	}
	s.settle()
	return s
}

// TestMovesUnderFaults checks over many random schedules that each key has one owner, that no request runs twice, and that
// no running request is interrupted and no held request is held for ever.
func TestMovesUnderFaults(t *testing.T) {
	moved, failures := 0, 0
	for seed := range uint64(4000) {
		s := run(seed, noMutation)
		moved += s.moved
		if s.failure != "" {
			t.Errorf("seed %d: %s", seed, s.failure)
			if failures++; failures > 5 {
				return
			}
		}
	}
	if moved < 3000 {
		t.Errorf("only %d batches moved a unit, want at least 3000", moved)
	}
}

// TestMutationsAreCaught checks that the simulation detects an implementation that omits a step of the protocol.
func TestMutationsAreCaught(t *testing.T) {
	names := map[mutation]string{
		skipIdleWait:        "skip the wait for running requests",
		skipHandOver:        "skip the hand-over of memory",
		ignorePendingCommit: "ignore a pending commit",
	}
	for m, name := range names {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if s := run(seed, m); s.failure != "" {
					t.Logf("seed %d: %s", seed, s.failure)
					return
				}
			}
			t.Error("mutation passed 300 seeds without a failure")
		})
	}
}
