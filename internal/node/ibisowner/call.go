package ibisowner

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// serviceName is the net/rpc service name under which nodes call each other.
const serviceName = "Ownership"

// HeartbeatArgs asks a witness to renew a lease.
type HeartbeatArgs struct {
	// Holder is the member whose lease is renewed.
	Holder ibisid.Member
	// Witness is the incarnation that is asked.
	Witness ibisid.Member
	// Sent is when the heartbeat was sent, on the holder's clock since its process started; zero from nodes that don't tell.
	Sent time.Duration
	// Unheard is the age of the latest heartbeat that the holder has heard an answer to, or zero while it hears the witness.
	Unheard time.Duration
}

// event returns the heartbeat for the witness. Only the order of the times at which one holder sent its heartbeats matters.
func (a HeartbeatArgs) event() ibislease.HeartbeatEvent {
	e := ibislease.HeartbeatEvent{
		Holder:  a.Holder,
		Witness: a.Witness,
	}
	if a.Sent > 0 {
		e.Sent = time.Unix(0, int64(a.Sent))
		e.Unheard = a.Unheard
	}
	return e
}

// HeartbeatReply is the answer of a witness to a heartbeat.
type HeartbeatReply struct {
	// Acknowledged reports whether the lease is renewed.
	Acknowledged bool
	// Refused reports that the witness promised never to renew this incarnation's lease again.
	Refused bool
	// Unrenewed reports that the lease is not renewed because the holder did not hear the witness.
	Unrenewed bool
}

// SuspectArgs reports members whose heartbeats stopped.
type SuspectArgs struct {
	// Members are the suspects.
	Members []ibisid.Member
	// Delay is the time for which claimants of a higher rank get to act first.
	Delay time.Duration
}

// AskArgs asks a witness for promises never to renew the leases of suspects.
type AskArgs struct {
	// Witness is the incarnation that is asked.
	Witness ibisid.Member
	// Members are the suspects.
	Members []ibisid.Member
}

// AskReply lists the promises of a witness.
type AskReply struct {
	// Promised are the members whose leases the witness never renews again.
	Promised []ibisid.Member
}

// MoveArgs asks an owner to move slots to other members.
type MoveArgs struct {
	// Moves are the slots with their present and new owners.
	Moves []ibisplace.Move
}

// HandOverArgs carries one part of the at-most-once memory of units that move.
type HandOverArgs struct {
	// From is the present owner.
	From ibisid.Member
	// Target is the next owner.
	Target ibisid.Member
	// Page is the page of the units.
	Page ibisslot.PageID
	// Sequence orders the hand-overs of the owner.
	Sequence uint64
	// Transfers are the units with their targets and fencing tokens.
	Transfers []ibismove.Transfer
	// Part is the index of this part, from zero.
	Part int
	// Parts is the number of parts.
	Parts int
	// Data is the content of the part.
	Data []byte
}

// CancelArgs cancels a hand-over.
type CancelArgs struct {
	// Target is the member that was to own the units.
	Target ibisid.Member
	// Page is the page of the units.
	Page ibisslot.PageID
	// Sequence is the sequence number of the hand-over.
	Sequence uint64
	// Transfers are the units of the hand-over.
	Transfers []ibismove.Transfer
}

func (a HandOverArgs) effect() ibismove.HandOverEffect {
	return ibismove.HandOverEffect{
		Target:    a.Target,
		Page:      a.Page,
		Sequence:  a.Sequence,
		Transfers: a.Transfers,
	}
}

// calls holds the methods that other nodes call through net/rpc.
type calls struct {
	manager *Manager
}

// Registrar makes methods callable by other nodes.
type Registrar interface {
	// Register makes the methods of the receiver callable under the name.
	Register(name string, receiver any)
}

// Register makes the manager's control calls available to other nodes.
func (m *Manager) Register(to Registrar) { to.Register(serviceName, &calls{manager: m}) }

// Heartbeat renews a lease at this witness, unless the witness's own lease lapsed longer ago than the time that
// WithWitnessGrace sets.
func (c *calls) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	c.manager.update(func(now time.Time) {
		if !c.manager.mayWitness(now) {
			return
		}
		effects := c.manager.witness.Update(args.event(), now)
		for _, effect := range effects {
			if ack, ok := effect.(ibislease.AckEffect); ok {
				reply.Acknowledged = !ack.Refused && !ack.Unrenewed
				reply.Refused = ack.Refused
				reply.Unrenewed = ack.Unrenewed
			}
		}
	})
	return nil
}

// Suspect reports members whose heartbeats stopped, so that this node declares them dead.
func (c *calls) Suspect(args SuspectArgs, _ *struct{}) error {
	c.manager.update(func(now time.Time) { c.manager.suspect(args.Members, args.Delay, now) })
	return nil
}

// Ask returns the members whose lapsed leases this witness promises never to renew.
func (c *calls) Ask(args AskArgs, reply *AskReply) error {
	c.manager.update(func(now time.Time) {
		effects := c.manager.witness.Update(ibislease.PromiseRequestEvent{
			Witness: args.Witness,
			Members: args.Members,
		}, now)
		for _, effect := range effects {
			if p, ok := effect.(ibislease.PromisesEffect); ok {
				reply.Promised = p.Members
			}
		}
	})
	return nil
}

// Move plans moves of slots of this node to other members.
func (c *calls) Move(args MoveArgs, _ *struct{}) error {
	c.manager.update(func(now time.Time) {
		c.manager.planMoves(args.Moves)
		c.manager.startMoves(now)
	})
	return nil
}

// HandOver receives one part of the at-most-once memory of units that move to this node, and keeps the whole after the
// last part. It returns an error if a part or the whole is refused.
func (c *calls) HandOver(args HandOverArgs, _ *struct{}) error {
	data, whole, err := c.manager.handOvers.add(args, c.manager.timer.Now())
	if err != nil || !whole {
		return err
	}
	return c.manager.acceptHandOver(args, data)
}

// Cancel drops the records of a hand-over that does not take place.
func (c *calls) Cancel(args CancelArgs, _ *struct{}) error {
	c.manager.update(func(time.Time) {
		refused := c.manager.receiver.Cancel(ibismove.CancelEffect{
			Target:    args.Target,
			Page:      args.Page,
			Sequence:  args.Sequence,
			Transfers: args.Transfers,
		})
		for _, r := range refused {
			c.manager.dropReceivedRecord(r)
		}
	})
	return nil
}
