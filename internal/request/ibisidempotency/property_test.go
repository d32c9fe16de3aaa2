package ibisidempotency_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	must(flag.Set("rapid.seed", "1"))
	must(flag.Set("rapid.checks", "3000"))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// TestAKeyNeverRunsTwice checks over random sequences of requests, moves and takeovers, with nodes whose clocks differ,
// that no idempotency key is sent to a backend server twice within the retention time.
func TestAKeyNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"newKey":   m.newKey,
			"begin":    m.begin,
			"repeat":   m.repeat,
			"serve":    m.serve,
			"handOver": m.markSent,
			"finish":   m.finish,
			"lose":     m.lose,
			"abandon":  m.abandon,
			"move":     m.move,
			"takeOver": m.takeOver,
			"fresh":    m.beginNewKeys,
			"sleep":    m.advanceTime,
			"":         m.checkMemoryBytes,
		})
	})
}
