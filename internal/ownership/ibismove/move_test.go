package ibismove_test

import "testing"

func run(seed uint64, m mutation) *simulation {
	w := newSimulation(seed, m)
	for range 400 {
		if w.failure != "" {
			return w
		}
		w.step()
	}
	w.settle()
	return w
}

// TestMovesUnderFaults checks over many random schedules that each key has one owner, that no request runs twice, and that
// no running request is interrupted and no held request is held for ever.
func TestMovesUnderFaults(t *testing.T) {
	moved, failures := 0, 0
	for seed := range uint64(4000) {
		w := run(seed, noMutation)
		moved += w.moved
		if w.failure != "" {
			t.Errorf("seed %d: %s", seed, w.failure)
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
				if w := run(seed, m); w.failure != "" {
					t.Logf("seed %d: %s", seed, w.failure)
					return
				}
			}
			t.Error("mutation passed 300 seeds without a failure")
		})
	}
}
