package ibisrange_test

import (
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// store is the simulated store. Its rows carry the store's own numbers; answers carry versions of the present era.
type store struct {
	era     uint64
	version uint64
	rows    map[ibisstore.Key]ibisstore.Row
	copies  []storeCopy
}

// storeCopy is the content of the store before a commit.
type storeCopy struct {
	at      time.Time
	rows    map[ibisstore.Key]ibisstore.Row
	version uint64
}

// read returns a row as an answer contains it.
func (s *store) read(row ibisstore.Row) ibisstore.Row {
	row.Version = ibisstore.NewVersion(s.era, row.Version)
	return row
}

func (s *store) newest() uint64 { return ibisstore.NewVersion(s.era, s.version) }

func requiresEarlierEra(commit ibisstore.Commit, era uint64) bool {
	return slices.ContainsFunc(commit.Conditions, func(condition ibisstore.Condition) bool {
		return condition.Version != 0 && ibisstore.EraOf(condition.Version) < era
	})
}

// commit sends a commit to the store, unless the node knows that it requires a version of an earlier era.
func (sim *simulation) commit(n *node, incarnation int, e ibisrange.CommitEffect) {
	if n.incarnation == incarnation && requiresEarlierEra(e.Commit, n.seenEra) {
		sim.deliver(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{
			Outcome: ibisstore.OutcomeStaleEra,
			Version: ibisstore.NewVersion(n.seenEra, 0),
		}})
		return
	}
	if sim.editCommit != nil {
		sim.editCommit(&e.Commit)
	}
	if n.storeUnreachable {
		outcome := ibisstore.OutcomeRefused
		if sim.random.Float64() < 0.5 {
			outcome = ibisstore.OutcomeUnknown
		}
		sim.deliver(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: outcome}})
		return
	}
	if sim.random.Float64() < sim.lostAnswerShare {
		if sim.random.Float64() < 0.5 {
			sim.apply(e.Commit)
		} else {
			sim.after(time.Second+time.Duration(sim.random.Int64N(int64(5*time.Second))), func() { sim.apply(e.Commit) })
		}
		sim.after(time.Second, func() {
			sim.deliver(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeUnknown}})
		})
		return
	}
	unknown := func() {
		sim.after(time.Second, func() {
			sim.deliver(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeUnknown}})
		})
	}
	handling := commitApplied
	if sim.commitFault != nil {
		handling = sim.commitFault(n)
	}
	switch handling {
	case commitNotSent:
		sim.deliver(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeRefused}})
	case commitAnswerLost:
		sim.apply(e.Commit)
		unknown()
	case commitAppliedLate:
		sim.after(3*time.Second, func() { sim.apply(e.Commit) })
		unknown()
	case commitApplied:
		sim.deliverAnswer(n, incarnation, ibisrange.CommitEvent{ID: e.ID, Result: sim.apply(e.Commit)})
	}
}

func (sim *simulation) apply(c ibisstore.Commit) ibisstore.Result {
	st := &sim.store
	var rows []ibisstore.Row
	conflict := false
	for _, condition := range c.Conditions {
		row, ok := st.rows[condition.Key]
		if ok {
			rows = append(rows, st.read(row))
		}
		conflict = conflict || row.Version != ibisstore.NumberOf(condition.Version)
	}
	if conflict {
		return ibisstore.Result{Outcome: ibisstore.OutcomeConflict, Version: st.newest(), Rows: rows, Clock: sim.clock()}
	}
	st.copies = append(st.copies, storeCopy{at: sim.now, rows: maps.Clone(st.rows), version: st.version})
	st.version++
	for _, write := range c.Writes {
		st.rows[write.Key] = ibisstore.Row{Key: write.Key, Value: write.Value, Version: st.version}
	}
	for _, key := range c.Removes {
		delete(st.rows, key)
	}
	return ibisstore.Result{Outcome: ibisstore.OutcomeApplied, Version: st.newest(), Clock: sim.clock()}
}

// rewind makes the store come back from a copy of the given age, after it was away for up to 2 s.
func (sim *simulation) rewind(age time.Duration) {
	for _, n := range sim.nodes {
		n.storeUnreachable = true
	}
	sim.after(time.Duration(sim.random.Int64N(int64(2*time.Second))), func() {
		for _, n := range sim.nodes {
			n.storeUnreachable = false
		}
		st := &sim.store
		st.era++
		lost := sim.now.Add(-age)
		for i, c := range st.copies {
			if c.at.After(lost) {
				// The copy before the first commit after that time.
				st.rows, st.version, st.copies = maps.Clone(c.rows), c.version, st.copies[:i]
				return
			}
		}
	})
}

// deliverAnswer delivers the store's answer to a commit; one of an earlier era than the node has seen counts as lost.
func (sim *simulation) deliverAnswer(n *node, incarnation int, e ibisrange.CommitEvent) {
	era := ibisstore.EraOf(e.Result.Version)
	if n.incarnation == incarnation && era < n.seenEra {
		e.Result = ibisstore.Result{Outcome: ibisstore.OutcomeUnknown}
	}
	n.seenEra = max(n.seenEra, era)
	sim.deliver(n, incarnation, e)
}

func (sim *simulation) read(n *node, incarnation int, e ibisrange.ReadEffect, requestedAt time.Time) {
	event := ibisrange.ReadEvent{RequestedAt: requestedAt}
	if !n.storeUnreachable {
		n.seenEra = max(n.seenEra, sim.store.era)
		if e.Pages {
			event.Pages = sim.snapshot(ibisrange.TablePages)
		}
		if e.Leases {
			event.Leases = sim.snapshot(ibisrange.TableLeases)
		}
	}
	sim.deliver(n, incarnation, event)
}

// clock returns the reading of the store's clock, which started 1 h before the nodes.
func (sim *simulation) clock() time.Duration {
	return time.Duration(float64(sim.now.Sub(start))*sim.storeRate) + time.Hour
}

func (sim *simulation) snapshot(table string) *ibisstore.Snapshot {
	s := &ibisstore.Snapshot{Version: sim.store.newest(), Clock: sim.clock()}
	for key, row := range sim.store.rows {
		if key.Table == table {
			s.Rows = append(s.Rows, sim.store.read(row))
		}
	}
	return s
}
