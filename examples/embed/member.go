package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge"
)

// claimants is the number of members that work on one suspect.
const claimants = 2

// member puts the parts of one run of a node together and carries out their effects.
type member struct {
	cluster     *cluster
	self        ibisridge.Member
	place       ibisridge.Place
	holder      *ibisridge.Holder
	witness     *ibisridge.Witness
	claimant    *ibisridge.Claimant
	pages       *ibisridge.SlotMap
	coordinator *ibisridge.Coordinator
	commits     int
	frozen      bool
	rejoin      bool
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
	m.commits++
	return fmt.Sprintf("page/%s/%d/%d", m.self.Name, m.self.Incarnation, m.commits)
}

func (m *member) tick() {
	m.lease(ibisridge.LeaseTickEvent{})
	m.watch(ibisridge.LeaseTickEvent{})
	m.claim(ibisridge.LeaseTickEvent{})
	m.page(ibisridge.PageTickEvent{})
}

// believes reports whether the member's own view of the pages names it as the owner of a key.
func (m *member) believes(key string) bool {
	a, owned := m.pages.LocateKey(space, ibisridge.HashKey(key))
	return owned && a.Owner == m.self
}

// token returns the fencing token that goes along with each request of a key.
func (m *member) token(key string) ibisridge.Token {
	a, _ := m.pages.LocateKey(space, ibisridge.HashKey(key))
	return a.Token
}

// mayRun is the check right before each hand-over: the own view of the pages and the own lease.
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

// lease gives an event to the holder and carries out its effects.
func (m *member) lease(event ibisridge.LeaseEvent) {
	for _, effect := range m.holder.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeaseHeartbeatEffect:
			m.heartbeat(e)
		case ibisridge.LeaseReadEffect:
			m.lease(m.read(e))
		case ibisridge.LeaseCommitEffect:
			m.lease(m.commit(e))
		case ibisridge.LeaseLapsedEffect:
			m.cluster.say("%s sees its lease lapsed", m.self.Name)
		case ibisridge.LeaseRejoinEffect:
			m.rejoin = true
		}
	}
}

func (m *member) heartbeat(e ibisridge.LeaseHeartbeatEffect) {
	for _, to := range e.Witnesses {
		m.cluster.send(to, func(w *member) {
			w.watch(ibisridge.LeaseHeartbeatEvent{
				Holder:  e.Holder,
				Witness: w.self,
				Sent:    e.Sent,
			})
		})
	}
}

// watch gives an event to the witness and carries out its effects.
func (m *member) watch(event ibisridge.LeaseEvent) {
	for _, effect := range m.witness.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeaseAckEffect:
			m.cluster.send(e.Holder, func(h *member) { h.lease(ibisridge.LeaseAckEvent(e)) })
		case ibisridge.LeaseSuspectEffect:
			m.suspect(e.Members)
		}
	}
}

// suspect tells the claimants of each suspect, those of lower rank with a delay.
func (m *member) suspect(suspects []ibisridge.Member) {
	var live []ibisridge.Member
	for _, other := range m.cluster.members {
		live = append(live, other.self)
	}
	for _, s := range suspects {
		row := ibisridge.DeathsRowKey(ibisridge.DomainName(s.Name), s.Name)
		for rank, to := range ibisridge.Claimants(row, live, claimants) {
			m.cluster.send(to, func(c *member) {
				c.claim(ibisridge.LeaseSuspectEvent{
					Members: []ibisridge.Member{s},
					Delay:   time.Duration(rank) * ibisridge.SecondCoordinatorDelay,
				})
			})
		}
	}
}

// claim gives an event to the claimant and carries out its effects.
func (m *member) claim(event ibisridge.LeaseEvent) {
	for _, effect := range m.claimant.Update(event, m.cluster.now) {
		switch e := effect.(type) {
		case ibisridge.LeasePromiseRequestEffect:
			m.cluster.send(e.Witness, func(w *member) { m.claim(w.promises(e)) })
		case ibisridge.LeaseReadEffect:
			m.claim(m.read(e))
		case ibisridge.LeaseCommitEffect:
			m.claim(m.commit(e))
		case ibisridge.LeaseDeadEffect:
			m.cluster.say("%s declares %v dead", m.self.Name, e.Members[0].Name)
			m.cluster.broadcast(func(o *member) { o.page(ibisridge.PageDiedEvent{Members: e.Members}) })
			m.cluster.broadcast(func(o *member) { o.watch(ibisridge.LeaseDeadEvent{Members: e.Members}) })
		}
	}
}

func (m *member) promises(e ibisridge.LeasePromiseRequestEffect) ibisridge.LeaseEvent {
	for _, effect := range m.witness.Update(ibisridge.LeasePromiseRequestEvent(e), m.cluster.now) {
		if promised, ok := effect.(ibisridge.LeasePromisesEffect); ok {
			return ibisridge.LeasePromisesEvent(promised)
		}
	}
	return ibisridge.LeasePromisesEvent{Witness: m.self}
}

// page gives an event to the page coordinator and carries out its effects.
func (m *member) page(event ibisridge.PageEvent) {
	for _, effect := range m.coordinator.Update(m.cluster.now, event) {
		switch e := effect.(type) {
		case ibisridge.PageReadEffect:
			row, found, err := m.cluster.table.Read(context.Background(), e.ID.RowKey())
			m.page(ibisridge.PageReadEvent{
				ID:     e.ID,
				Row:    row,
				Found:  found,
				Failed: err != nil,
			})
		case ibisridge.PageCommitEffect:
			m.page(m.commitPage(e))
		case ibisridge.PageBroadcastEffect:
			m.cluster.say("%s commits the page of %s", m.self.Name, e.Page.ID().Space)
			m.cluster.broadcast(func(o *member) { o.page(ibisridge.PageReceivedEvent{Page: e.Page}) })
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

func (m *member) read(e ibisridge.LeaseReadEffect) ibisridge.LeaseEvent {
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

func (m *member) commit(e ibisridge.LeaseCommitEffect) ibisridge.LeaseEvent {
	result, err := m.cluster.table.Commit(context.Background(), e.Commit)
	if err != nil {
		return ibisridge.LeaseCommitUnknownEvent{ID: e.Commit.ID}
	}
	return ibisridge.LeaseCommitResultEvent{
		ID:     e.Commit.ID,
		Result: result,
	}
}
