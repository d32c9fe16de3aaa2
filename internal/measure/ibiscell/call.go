package ibiscell

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// lateBy is how late a late message arrives: after its sender and a lease's term have given up.
const lateBy = 3 * time.Second

const repeatAfter = 500 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// weather is what holds for the whole world for a while.
type weather struct {
	down        bool
	slow        bool
	operations  int
	loseCommits int
	// next is what happens to the next messages from or to the subject.
	next     messageFault
	messages int
	subject  *node
}

type messageFault uint8

const (
	messagePasses messageFault = iota
	messageLost
	messageLate
	messageRepeated
)

// draw takes the fault of one message between two nodes.
func (w *world) draw(from, to *node) messageFault {
	v := &w.weather
	if v.messages == 0 || v.subject != from && v.subject != to {
		return messagePasses
	}
	v.messages--
	return v.next
}

// managerCalls are the methods by which ownership managers call each other.
type managerCalls interface {
	Heartbeat(args ibisowner.HeartbeatArgs, reply *ibisowner.HeartbeatReply) error
	Suspect(args ibisowner.SuspectArgs, reply *struct{}) error
	Ask(args ibisowner.AskArgs, reply *ibisowner.AskReply) error
	Move(args ibisowner.MoveArgs, reply *struct{}) error
	HandOver(args ibisowner.HandOverArgs, reply *struct{}) error
	Cancel(args ibisowner.CancelArgs, reply *struct{}) error
}

// Register takes the methods of the node's manager.
func (n *node) Register(_ string, receiver any) { n.calls = receiver.(managerCalls) }

// passes reports whether a message from one node reaches another.
func passes(from, to *node) bool { return !from.mute && !to.deaf && !to.dead }

// Call calls another manager, which answers at once, unless a fault is in the way.
func (n *node) Call(_ context.Context, address, _ string, args, reply any) error {
	w := n.world
	to := w.find(ibisid.NodeName(address))
	w.points("call "+nameOf(args), n)
	if to == nil || !passes(n, to) {
		return errNoAnswer
	}
	switch w.draw(n, to) {
	case messageLost:
		return errNoAnswer
	case messageLate:
		w.after(lateBy, func() { to.do(func() { _ = to.answer(args, fresh(reply)) }) })
		return errNoAnswer
	case messageRepeated:
		w.after(repeatAfter, func() { to.do(func() { _ = to.answer(args, fresh(reply)) }) })
	case messagePasses:
	}
	w.points("receive "+nameOf(args), to)
	if to.frozen {
		to.do(func() { _ = to.answer(args, fresh(reply)) })
		return errNoAnswer
	}
	err := to.answer(args, reply)
	if !passes(to, n) {
		return errNoAnswer
	}
	w.points("called "+nameOf(args), n)
	return err
}

func fresh(reply any) any {
	switch reply.(type) {
	case *ibisowner.HeartbeatReply:
		return &ibisowner.HeartbeatReply{}
	case *ibisowner.AskReply:
		return &ibisowner.AskReply{}
	}
	return nil
}

func nameOf(args any) string {
	switch args.(type) {
	case ibisowner.HeartbeatArgs:
		return "heartbeat"
	case ibisowner.SuspectArgs:
		return "suspect"
	case ibisowner.AskArgs:
		return "ask"
	case ibisowner.MoveArgs:
		return "move"
	case ibisowner.HandOverArgs:
		return "handOver"
	}
	return "cancel"
}

func (n *node) answer(args, reply any) error {
	switch a := args.(type) {
	case ibisowner.HeartbeatArgs:
		return n.calls.Heartbeat(a, reply.(*ibisowner.HeartbeatReply))
	case ibisowner.SuspectArgs:
		return n.calls.Suspect(a, nil)
	case ibisowner.AskArgs:
		return n.calls.Ask(a, reply.(*ibisowner.AskReply))
	case ibisowner.MoveArgs:
		return n.calls.Move(a, nil)
	case ibisowner.HandOverArgs:
		return n.calls.HandOver(a, nil)
	case ibisowner.CancelArgs:
		return n.calls.Cancel(a, nil)
	}
	return errNoAnswer
}

// send brings a message to another node, unless a fault is in the way; one that a frozen process gets waits for it.
func (w *world) send(from, to *node, f func()) { w.deliver(from, to, false, f) }

// sendOnce is send for a request or its answer, which a connection never repeats; callers repeat them.
func (w *world) sendOnce(from, to *node, f func()) { w.deliver(from, to, true, f) }

func (w *world) deliver(from, to *node, once bool, f func()) {
	if to == nil || !passes(from, to) {
		return
	}
	deliver := func(d time.Duration) { w.after(d, func() { to.do(f) }) }
	switch w.draw(from, to) {
	case messageLost:
		return
	case messageLate:
		deliver(lateBy)
		return
	case messageRepeated:
		if !once {
			deliver(repeatAfter)
		}
	case messagePasses:
	}
	deliver(w.latency())
}

// pass spreads a row that the node published to all others.
func (n *node) pass(row ibisplatform.Row) {
	n.have[row.Key] = row
	w := n.world
	if w.spread[row.Key] >= uint64(row.Version) {
		return
	}
	w.spread[row.Key] = uint64(row.Version)
	for _, other := range w.nodes {
		if other != n && !other.dead {
			w.send(n, other, func() { other.rows.Publish(row) })
		}
	}
}

// repair asks one other node for the rows that passed this one by.
func (n *node) repair() {
	others := slices.DeleteFunc(n.world.live(), func(o *node) bool { return o == n || !passes(o, n) || !passes(n, o) })
	if len(others) == 0 {
		return
	}
	other := others[n.world.random.IntN(len(others))]
	for _, key := range sortedKeys(other.have) {
		if row := other.have[key]; row.Version > n.have[key].Version {
			n.world.after(n.world.latency(), func() { n.do(func() { n.rows.Publish(row) }) })
		}
	}
}
