package ibisowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// leaseCore is a holder, a witness or a claimant.
type leaseCore interface {
	Update(event ibislease.Event, now time.Time) []ibislease.Effect
}

// updateLeaseCore passes an event to a lease state machine and applies the effects; the control lock must be held.
func (k *Manager) updateLeaseCore(core leaseCore, event ibislease.Event, now time.Time) {
	epoch := k.epoch
	for _, effect := range core.Update(event, now) {
		if k.epoch != epoch {
			return
		}
		k.applyLeaseEffect(core, effect, now)
	}
}

func (k *Manager) applyLeaseEffect(core leaseCore, effect ibislease.Effect, now time.Time) {
	switch e := effect.(type) {
	case ibislease.HeartbeatEffect:
		k.sendHeartbeats(e)
	case ibislease.CommitEffect:
		k.commitForCore(core, e.Commit)
	case ibislease.ReadEffect:
		k.readForCore(core, e)
	case ibislease.JoinedEffect:
		k.log.Info("joined", zap.Uint64("incarnation", uint64(e.Row.Member.Incarnation)), zap.Bool("direct", e.Row.Direct))
	case ibislease.LapsedEffect:
		k.counts.lapses.Add(1)
		k.log.Warn("the lease has lapsed; no request runs until it is renewed")
	case ibislease.RejoinEffect:
		k.rejoin(e.After, now)
	case ibislease.SuspectEffect:
		k.notifyClaimants(e.Members, now)
	case ibislease.PromiseRequestEffect:
		k.requestPromises(e, now)
	case ibislease.DeadEffect:
		k.recordDeaths(e.Members, now)
	}
}

// sendHeartbeats sends one heartbeat to each witness, whose reply is the acknowledgement.
func (k *Manager) sendHeartbeats(e ibislease.HeartbeatEffect) {
	for _, w := range e.Witnesses {
		known, ok := k.currentMember(w)
		if !ok {
			continue
		}
		address := known.row.PeerAddress
		holder := k.holder
		k.spawnUrgent(callTimeout, func(ctx context.Context) outcome {
			var reply HeartbeatReply
			err := k.call(ctx, address, "Heartbeat", HeartbeatArgs{
				Holder:  e.Holder,
				Witness: w,
			}, &reply)
			if err != nil || !reply.Acknowledged && !reply.Refused {
				return nil
			}
			return func(now time.Time) {
				k.updateLeaseCore(holder, ibislease.AckEvent{
					Witness: w,
					Holder:  e.Holder,
					Sent:    e.Sent,
					Refused: reply.Refused,
				}, now)
			}
		})
	}
}

func (k *Manager) call(ctx context.Context, address, method string, args, reply any) error {
	k.counts.messages.Add(1)
	return k.peers.Call(ctx, address, serviceName+"."+method, args, reply)
}

// commitForCore commits for a lease state machine and publishes the rows if the commit is applied.
func (k *Manager) commitForCore(core leaseCore, commit ibisplatform.Commit) {
	k.spawnUrgent(tableTimeout, func(ctx context.Context) outcome {
		result, err := k.commit(ctx, commit)
		return func(now time.Time) {
			if err != nil {
				k.updateLeaseCore(core, ibislease.CommitUnknownEvent{ID: commit.ID}, now)
				return
			}
			k.updateLeaseCore(core, ibislease.CommitResultEvent{
				ID:     commit.ID,
				Result: result,
			}, now)
		}
	})
}

// commit sends a commit once and publishes its rows if it is applied.
func (k *Manager) commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	k.counts.commits.Add(1)
	result, err := k.table.Commit(ctx, commit)
	if err != nil || result.Status != ibisplatform.CommitApplied {
		return result, err
	}
	rows := make([]ibisplatform.Row, 0, len(commit.Writes))
	for _, w := range commit.Writes {
		rows = append(rows, ibisplatform.Row{
			Key:      w.Key,
			Value:    w.Value,
			Version:  result.Version,
			CommitID: commit.ID,
		})
	}
	k.rows.Publish(rows...)
	return result, nil
}

// readForCore reads rows for a lease state machine. It reports nothing if the table does not answer; the state machine
// then asks again.
func (k *Manager) readForCore(core leaseCore, e ibislease.ReadEffect) {
	k.spawn(tableTimeout, func(ctx context.Context) outcome {
		rows := make([]ibisplatform.Row, 0, len(e.Keys))
		for _, key := range e.Keys {
			row, found, err := k.read(ctx, key)
			if err != nil {
				return nil
			}
			if !found {
				row = ibisplatform.Row{Key: key}
			}
			rows = append(rows, row)
		}
		return func(now time.Time) {
			k.updateLeaseCore(core, ibislease.ReadEvent{
				Sequence: e.Sequence,
				Rows:     rows,
			}, now)
		}
	})
}

// read reads a row and publishes it.
func (k *Manager) read(ctx context.Context, key string) (ibisplatform.Row, bool, error) {
	k.counts.reads.Add(1)
	row, found, err := k.table.Read(ctx, key)
	if err == nil && found {
		k.rows.Publish(row)
	}
	return row, found, err
}

// replayMembers gives the known deaths, members and failure domains to the state machines of a new incarnation.
func (k *Manager) replayMembers(now time.Time) {
	var dead []ibisid.Member
	for m := range k.dead {
		dead = append(dead, m)
	}
	sortMembers(dead)
	k.coordinateDead(dead, now)
	for _, name := range k.names() {
		if row := k.members[name].row; row.Announcement.Service == k.service {
			k.updateCandidate(row, now)
		}
	}
	k.replayDomains(now)
}
