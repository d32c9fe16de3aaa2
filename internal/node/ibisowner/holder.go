package ibisowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// leaseCore is a state machine of the lease: a holder, a witness or a claimant.
type leaseCore interface {
	Update(event ibislease.Event, now time.Time) []ibislease.Effect
}

// updateLeaseCore passes an event to a lease state machine and applies the effects; the control lock must be held.
func (m *Manager) updateLeaseCore(core leaseCore, event ibislease.Event, now time.Time) {
	epoch := m.epoch
	for _, effect := range core.Update(event, now) {
		if m.epoch != epoch {
			return
		}
		m.applyLeaseEffect(core, effect, now)
	}
}

func (m *Manager) applyLeaseEffect(core leaseCore, effect ibislease.Effect, now time.Time) {
	switch e := effect.(type) {
	case ibislease.HeartbeatEffect:
		m.sendHeartbeats(e)
	case ibislease.CommitEffect:
		m.commitForCore(core, e.Commit)
	case ibislease.ReadEffect:
		m.readForCore(core, e)
	case ibislease.JoinedEffect:
		m.log.Info("joined", zap.Uint64("incarnation", uint64(e.Row.Member.Incarnation)), zap.Bool("direct", e.Row.Direct))
	case ibislease.LapsedEffect:
		m.counts.lapses.Add(1)
		m.log.Warn("the lease has lapsed; no request runs until it is renewed")
	case ibislease.RejoinEffect:
		m.rejoin(e.After, now)
	case ibislease.SuspectEffect:
		m.notifyClaimants(e.Members, now)
	case ibislease.PromiseRequestEffect:
		m.requestPromises(e, now)
	case ibislease.DeadEffect:
		m.recordDeaths(e.Members, now)
	}
}

// sendHeartbeats sends one heartbeat to each witness, whose reply is the acknowledgement.
func (m *Manager) sendHeartbeats(e ibislease.HeartbeatEffect) {
	for _, w := range e.Witnesses {
		known, ok := m.currentMember(w)
		if !ok {
			continue
		}
		address := known.row.PeerAddress
		holder := m.holder
		m.spawnUrgent(callTimeout, func(ctx context.Context) outcome {
			var reply HeartbeatReply
			err := m.call(ctx, address, "Heartbeat", HeartbeatArgs{
				Holder:  e.Holder,
				Witness: w,
				Sent:    e.Sent.Sub(m.started),
				Unheard: e.Unheard[w],
			}, &reply)
			if err != nil || !reply.Acknowledged && !reply.Refused && !reply.Unrenewed {
				return nil
			}
			return func(now time.Time) {
				m.updateLeaseCore(holder, ibislease.AckEvent{
					Witness:   w,
					Holder:    e.Holder,
					Sent:      e.Sent,
					Refused:   reply.Refused,
					Unrenewed: reply.Unrenewed,
				}, now)
			}
		})
	}
}

func (m *Manager) call(ctx context.Context, address, method string, args, reply any) error {
	m.counts.messages.Add(1)
	return m.peers.Call(ctx, address, serviceName+"."+method, args, reply)
}

// commitForCore commits for a lease state machine and publishes the rows if the commit is applied.
func (m *Manager) commitForCore(core leaseCore, commit ibisplatform.Commit) {
	m.spawnUrgent(tableTimeout, func(ctx context.Context) outcome {
		result, err := m.commit(ctx, commit)
		return func(now time.Time) {
			if err != nil {
				m.updateLeaseCore(core, ibislease.CommitUnknownEvent{ID: commit.ID}, now)
				return
			}
			m.updateLeaseCore(core, ibislease.CommitResultEvent{
				ID:     commit.ID,
				Result: result,
			}, now)
		}
	})
}

// commit sends a commit once and publishes its rows if it is applied.
func (m *Manager) commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	m.counts.commits.Add(1)
	result, err := m.table.Commit(ctx, commit)
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
	m.rows.Publish(rows...)
	return result, nil
}

// readForCore reads rows for a lease state machine. It reports nothing if the table does not answer; the state machine
// then asks again.
func (m *Manager) readForCore(core leaseCore, e ibislease.ReadEffect) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		rows := make([]ibisplatform.Row, 0, len(e.Keys))
		for _, key := range e.Keys {
			row, found, err := m.read(ctx, key)
			if err != nil {
				return nil
			}
			if !found {
				row = ibisplatform.Row{Key: key}
			}
			rows = append(rows, row)
		}
		return func(now time.Time) {
			m.updateLeaseCore(core, ibislease.ReadEvent{
				Sequence: e.Sequence,
				Rows:     rows,
			}, now)
		}
	})
}

// read reads a row and publishes it.
func (m *Manager) read(ctx context.Context, key string) (ibisplatform.Row, bool, error) {
	m.counts.reads.Add(1)
	row, found, err := m.table.Read(ctx, key)
	if err == nil && found {
		m.rows.Publish(row)
	}
	return row, found, err
}

// replayMembers gives the known deaths, members and failure domains to the state machines of a new incarnation.
func (m *Manager) replayMembers(now time.Time) {
	var dead []ibisid.Member
	for member := range m.dead {
		dead = append(dead, member)
	}
	sortMembers(dead)
	m.coordinateDead(dead, now)
	for _, name := range m.names() {
		if row := m.members[name].row; row.Announcement.Service == m.service {
			m.updateCandidate(row, now)
		}
	}
	m.replayDomains(now)
}
