package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge"
)

// claimantsPerSuspect is the number of claimants that handle one suspect.
const claimantsPerSuspect = 2

// member combines the components of one run of a node and carries out their effects.
type member struct {
	cluster     *cluster
	self        ibisridge.Member
	place       ibisridge.Place
	holder      *ibisridge.Holder
	witness     *ibisridge.Witness
	claimant    *ibisridge.Claimant
	pages       *ibisridge.SlotMap
	coordinator *ibisridge.Coordinator
	commitCount int
	paused      bool
	mustRejoin  bool
}

func newMember(c *cluster, p ibisridge.Place) *member {
	m := &member{
		cluster: c,
		self: ibisridge.Member{
			Name:        ibisridge.NodeName(p.Domain),
			Incarnation: 1,
		},
		place: p,
		pages: ibisridge.NewSlotMap(),
	}
	m.pages.AddSpace(space, slots)
	m.holder = ibisridge.NewHolder(c.terms, ibisridge.MemberRow{
		Member: m.self,
		Place:  p,
		State:  ibisridge.MemberLive,
	})
	m.witness = ibisridge.NewWitness(c.terms, m.self, c.now)
	m.claimant = ibisridge.NewClaimant(c.terms, m.self)
	m.coordinator = ibisridge.NewCoordinator(m.self, m.pages, ibisridge.AnyPlace{}, m)
	return m
}

// Next returns a commit id that was never used before.
func (m *member) Next() string {
	m.commitCount++
	return fmt.Sprintf("page/%s/%d/%d", m.self.Name, m.self.Incarnation, m.commitCount)
}

func (m *member) tick() {
	m.updateHolder(ibisridge.LeaseTickEvent{})
	m.updateWitness(ibisridge.LeaseTickEvent{})
	m.updateClaimant(ibisridge.LeaseTickEvent{})
	m.updateCoordinator(ibisridge.PageTickEvent{})
}

// ownsInView reports whether the member's own view of the pages names it as the owner of a key.
func (m *member) ownsInView(key string) bool {
	a, owned := m.pages.LocateKey(space, ibisridge.HashKey(key))
	return owned && a.Owner == m.self
}

// token returns the fencing token that is sent with each request for a key.
func (m *member) token(key string) ibisridge.Token {
	a, _ := m.pages.LocateKey(space, ibisridge.HashKey(key))
	return a.Token
}

// mayRun is the check immediately before each hand-over: the member owns the key in its own view of the pages, and its
// lease is valid.
func (m *member) mayRun(key string, now time.Time) bool {
	return m.mayRunSlot(ibisridge.SlotOf(key, slots), now)
}

func (m *member) mayRunSlot(index ibisridge.SlotIndex, now time.Time) bool {
	a, owned := m.pages.Locate(ibisridge.Slot{
		Space: space,
		Index: index,
	})
	_, valid := m.holder.Valid(now)
	return owned && a.Owner == m.self && valid
}

// updateHolder passes an event to the holder and carries out its effects.
func (m *member) updateHolder(event ibisridge.LeaseEvent) {
	for _, effect := range m.holder.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeaseHeartbeatEffect:
			m.sendHeartbeats(e)
		case ibisridge.LeaseReadEffect:
			m.updateHolder(m.readRows(e))
		case ibisridge.LeaseCommitEffect:
			m.updateHolder(m.commitLease(e))
		case ibisridge.LeaseLapsedEffect:
			m.cluster.logf("%s detects that its lease has lapsed", m.self.Name)
		case ibisridge.LeaseRejoinEffect:
			m.mustRejoin = true
		}
	}
}

func (m *member) sendHeartbeats(e ibisridge.LeaseHeartbeatEffect) {
	for _, to := range e.Witnesses {
		m.cluster.send(to, func(w *member) {
			w.updateWitness(ibisridge.LeaseHeartbeatEvent{
				Holder:  e.Holder,
				Witness: w.self,
				Sent:    e.Sent,
				Unheard: e.Unheard[to],
			})
		})
	}
}

// updateWitness passes an event to the witness and carries out its effects.
func (m *member) updateWitness(event ibisridge.LeaseEvent) {
	for _, effect := range m.witness.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeaseAckEffect:
			m.cluster.send(e.Holder, func(h *member) { h.updateHolder(ibisridge.LeaseAckEvent(e)) })
		case ibisridge.LeaseSuspectEffect:
			m.sendSuspects(e.Members)
		}
	}
}

// sendSuspects sends each suspect to its claimants, with a delay that grows with their rank, so that claimants of higher
// rank act first.
func (m *member) sendSuspects(suspects []ibisridge.Member) {
	var live []ibisridge.Member
	for _, other := range m.cluster.members {
		live = append(live, other.self)
	}
	for _, s := range suspects {
		// newMember names each member after its failure domain, so the name also gives the domain.
		row := ibisridge.DeathsRowKey(ibisridge.DomainName(s.Name), s.Name)
		for rank, to := range ibisridge.Claimants(row, live, claimantsPerSuspect) {
			m.cluster.send(to, func(c *member) {
				c.updateClaimant(ibisridge.LeaseSuspectEvent{
					Members: []ibisridge.Member{s},
					Delay:   time.Duration(rank) * ibisridge.SecondCoordinatorDelay,
				})
			})
		}
	}
}

// updateClaimant passes an event to the claimant and carries out its effects.
func (m *member) updateClaimant(event ibisridge.LeaseEvent) {
	for _, effect := range m.claimant.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeasePromiseRequestEffect:
			m.cluster.send(e.Witness, func(w *member) { m.updateClaimant(w.answerPromiseRequest(e)) })
		case ibisridge.LeaseReadEffect:
			m.updateClaimant(m.readRows(e))
		case ibisridge.LeaseCommitEffect:
			m.updateClaimant(m.commitLease(e))
		case ibisridge.LeaseDeadEffect:
			m.cluster.logf("%s declares %v dead", m.self.Name, e.Members[0].Name)
			m.cluster.broadcast(func(o *member) { o.updateCoordinator(ibisridge.PageDiedEvent{Members: e.Members}) })
			m.cluster.broadcast(func(o *member) { o.updateWitness(ibisridge.LeaseDeadEvent{Members: e.Members}) })
		}
	}
}

// answerPromiseRequest passes a claimant's request to the witness of m and returns the answer, which lists no
// members if the witness promises nothing.
func (m *member) answerPromiseRequest(e ibisridge.LeasePromiseRequestEffect) ibisridge.LeaseEvent {
	for _, effect := range m.witness.Update(ibisridge.LeasePromiseRequestEvent(e), m.cluster.now) {
		if promised, ok := effect.(ibisridge.LeasePromisesEffect); ok {
			return ibisridge.LeasePromisesEvent(promised)
		}
	}
	return ibisridge.LeasePromisesEvent{Witness: m.self}
}

// updateCoordinator passes an event to the coordinator and carries out its effects.
func (m *member) updateCoordinator(event ibisridge.PageEvent) {
	for _, effect := range m.coordinator.Update(m.cluster.now, event) {
		switch e := effect.(type) {
		case ibisridge.PageReadEffect:
			row, found, err := m.cluster.table.Read(context.Background(), e.ID.RowKey())
			m.updateCoordinator(ibisridge.PageReadEvent{
				ID:     e.ID,
				Row:    row,
				Found:  found,
				Failed: err != nil,
			})
		case ibisridge.PageCommitEffect:
			m.updateCoordinator(m.commitPage(e))
		case ibisridge.PageBroadcastEffect:
			m.cluster.logf("%s commits the page of %s", m.self.Name, e.Page.ID().Space)
			m.cluster.broadcast(func(o *member) { o.updateCoordinator(ibisridge.PageReceivedEvent{Page: e.Page}) })
		}
	}
}

func (m *member) commitPage(e ibisridge.PageCommitEffect) ibisridge.PageEvent {
	result, err := m.cluster.table.Commit(context.Background(), e.Commit)
	if err != nil {
		return ibisridge.PageCommitUnknownEvent{
			ID:       e.ID,
			CommitID: e.Commit.ID,
		}
	}
	return ibisridge.PageCommitResultEvent{
		ID:       e.ID,
		CommitID: e.Commit.ID,
		Result:   result,
	}
}

func (m *member) readRows(e ibisridge.LeaseReadEffect) ibisridge.LeaseEvent {
	event := ibisridge.LeaseReadEvent{Sequence: e.Sequence}
	for _, key := range e.Keys {
		row, found, err := m.cluster.table.Read(context.Background(), key)
		if err != nil {
			return ibisridge.LeaseReadEvent{}
		}
		if !found {
			row.Key = key
		}
		event.Rows = append(event.Rows, row)
	}
	return event
}

func (m *member) commitLease(e ibisridge.LeaseCommitEffect) ibisridge.LeaseEvent {
	result, err := m.cluster.table.Commit(context.Background(), e.Commit)
	if err != nil {
		return ibisridge.LeaseCommitUnknownEvent{ID: e.Commit.ID}
	}
	return ibisridge.LeaseCommitResultEvent{
		ID:     e.Commit.ID,
		Result: result,
	}
}
