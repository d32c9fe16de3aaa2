package ibiscell

import "time"

const (
	// faultSpan is longer than a lease's term.
	faultSpan     = 8 * time.Second
	restartPause  = 100 * time.Millisecond
	faultMessages = 6
	faultCommits  = 4
	slowClock     = 0.99
	fastClock     = 1.01
)

// fault is something that goes wrong at a node, and its end.
type fault struct {
	name  string
	begin func(w *world, n *node)
	end   func(w *world, n *node)
	// loss says that the node's keys must be served by others in time, before the fault ends.
	loss bool
}

func keep(*world, *node) {}

func messages(name string, kind messageFault) fault {
	return fault{
		name: name,
		begin: func(w *world, n *node) {
			w.weather.next = kind
			w.weather.messages = faultMessages
			w.weather.subject = n
			if kind == messageRepeated {
				w.repeatOpen()
			}
		},
		end: func(w *world, _ *node) { w.weather.messages = 0 },
	}
}

func cut(name string, mute, deaf, loss bool) fault {
	return fault{
		name: name,
		begin: func(_ *world, n *node) {
			n.mute = n.mute || mute
			n.deaf = n.deaf || deaf
			n.hurt = true
		},
		end: func(_ *world, n *node) {
			n.mute = n.mute && !mute
			n.deaf = n.deaf && !deaf
		},
		loss: loss,
	}
}

// die ends the instance; end starts another of its name.
func die(_ *world, n *node) {
	n.hurt = true
	n.kill()
}

func replace(w *world, n *node) {
	if w.find(n.name) == nil {
		w.add(n.name, n.place)
	}
}

// faults lists every fault, in the order of the table.
func faults() []fault {
	return []fault{
		messages("messageLost", messageLost),
		messages("messageLate", messageLate),
		messages("messageRepeated", messageRepeated),
		{
			name:  "commitAnswerLost",
			begin: func(w *world, _ *node) { w.weather.loseCommits = faultCommits },
			end:   func(w *world, _ *node) { w.weather.loseCommits = 0 },
		},
		{
			name:  "serverAnswerLost",
			begin: func(_ *world, n *node) { n.server.loseAnswers = faultMessages },
			end:   func(_ *world, n *node) { n.server.loseAnswers = 0 },
		},
		{
			name:  "freeze",
			begin: func(_ *world, n *node) { n.freeze() },
			end:   func(_ *world, n *node) { n.thaw() },
			loss:  true,
		},
		{
			name:  "death",
			begin: die,
			end:   replace,
			loss:  true,
		},
		{
			name: "restart",
			begin: func(w *world, n *node) {
				die(w, n)
				w.after(restartPause, func() { replace(w, n) })
			},
			end: keep,
		},
		{
			name:  "storeDown",
			begin: func(w *world, _ *node) { w.weather.down = true },
			end:   func(w *world, _ *node) { w.weather.down = false },
		},
		{
			name:  "storeSlow",
			begin: func(w *world, _ *node) { w.weather.slow = true },
			end:   func(w *world, _ *node) { w.weather.slow = false },
		},
		{
			name:  "serverCold",
			begin: func(_ *world, n *node) { n.server.turnCold() },
			end:   keep,
		},
		{
			name:  "clockDrift",
			begin: func(w *world, n *node) { w.drift(n) },
			end:   keep,
		},
		cut("cutOutgoing", true, false, true),
		cut("cutIncoming", false, true, true),
		cut("cutBothWays", true, true, true),
	}
}

// drift lets the node's clock run slow and all others' fast, each as far as the terms allow.
func (w *world) drift(n *node) {
	for _, other := range w.nodes {
		rate := fastClock
		if other == n {
			rate = slowClock
		}
		other.clock.setRate(w.now(), rate)
	}
}

// repeatOpen lets callers send again what is under way, as after a timeout of their own.
func (w *world) repeatOpen() {
	for _, key := range sortedKeys(w.orders) {
		o := w.orders[key]
		if len(o.finals) == 0 && w.now().Sub(o.sent) < serviceTime*2 {
			w.placeAnywhere(o)
		}
	}
}

// Faults lists the names of all faults, in the order of the table.
func Faults() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}
