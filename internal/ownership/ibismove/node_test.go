package ibismove_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Next returns the node's next commit id.
func (n *node) Next() string {
	n.ids++
	return fmt.Sprintf("%s-%d", n.self.Name, n.ids)
}

// keysOf returns the keys that belong to a unit according to the node's page.
func (n *node) keysOf(u ibismove.Unit) []int {
	if stopped, ok := n.stopped[u]; ok {
		return stopped
	}
	if u.Hot {
		return []int{hotKey}
	}
	if _, hotElsewhere := n.view.Override(hotKeyHash); u.Position == 1 && !hotElsewhere {
		return []int{1, hotKey}
	}
	return []int{u.Position}
}

var hotUnit = ibismove.Unit{
	Key: hotKeyHash,
	Hot: true,
}

// handleRequest runs a request if the node owns its key, holds it while the key moves, and otherwise drops it as not run.
func (n *node) handleRequest(id int) {
	k := &n.keys[n.sim.keyOf[id]]
	if n.dead {
		return
	}
	if !k.admit {
		if n.isStopped(n.sim.keyOf[id]) {
			k.held = append(k.held, id)
		}
		return
	}
	if k.memory[id] || id < k.completeFrom || slices.Contains(k.running, id) {
		return // answered with the recorded response, "unknown" or "still running"
	}
	n.sim.ran[id]++
	if n.sim.ran[id] > 1 {
		n.sim.fail("request %d ran twice", id)
	}
	k.running = append(k.running, id)
}

func (n *node) isStopped(key int) bool {
	for u := range n.stopped {
		if slices.Contains(n.keysOf(u), key) {
			return true
		}
	}
	return false
}

func (n *node) finish(key int) {
	k := &n.keys[key]
	if n.dead || len(k.running) == 0 {
		return
	}
	k.memory[k.running[0]] = true
	k.running = k.running[1:]
	n.reportIdle()
}

// reportIdle reports to the batch the stopped units without running requests.
func (n *node) reportIdle() {
	for _, u := range n.stoppedUnits() {
		busy := false
		for _, key := range n.keysOf(u) {
			busy = busy || len(n.keys[key].running) > 0
		}
		if !busy || n.sim.mutation == skipIdleWait {
			n.update(ibismove.IdleEvent{Unit: u})
		}
	}
}

func (n *node) stoppedUnits() []ibismove.Unit {
	var units []ibismove.Unit
	for i := range slots {
		if u := (ibismove.Unit{Position: i}); n.stopped[u] != nil {
			units = append(units, u)
		}
	}
	if n.stopped[hotUnit] != nil {
		units = append(units, hotUnit)
	}
	return units
}

// start starts a batch that moves a random part of the node's units, sometimes including the hot key.
func (n *node) start() {
	s := n.sim
	if n.dead || n.view == nil || n.batch != nil && !n.batch.Done() {
		return
	}
	choose := func(ibismove.Unit) (ibisid.Member, bool) {
		return s.nodes[s.rand.IntN(len(s.nodes))].self, s.rand.IntN(3) > 0
	}
	transfers := ibismove.Plan(n.view, n.self, choose)
	a, isHot := n.view.Override(hotKeyHash)
	if !isHot {
		a = n.view.Slot(1)
	}
	if s.rand.IntN(2) == 0 && a.Owner == n.self && !slices.ContainsFunc(transfers, func(t ibismove.Transfer) bool { return t.Unit.Hot }) {
		target := s.nodes[s.rand.IntN(len(s.nodes))].self
		if isHot {
			target = n.self // ends the override
		}
		if target != n.self || isHot {
			transfers = append(transfers, ibismove.Transfer{
				Unit:   hotUnit,
				Target: target,
				Token:  a.Token,
			})
		}
	}
	s.sequence++
	batch, effects := ibismove.NewBatch(s.now, n.self, n.view, transfers, s.sequence, n)
	n.batch = batch
	n.apply(effects)
}

func (n *node) update(e ibismove.Event) {
	if n.batch != nil {
		n.apply(n.batch.Update(n.sim.now, e))
	}
}

func (n *node) apply(effects []ibismove.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibismove.StopEffect:
			n.stop(e.Transfers)
		case ibismove.HandOverEffect:
			n.handOver(e)
		case ibismove.CancelEffect:
			n.sim.send(func() { n.sim.node(e.Target).cancel(e) }, true)
		case ibismove.CommitEffect:
			n.sim.send(func() { n.commit(e.Commit) }, true)
			n.sim.send(func() { n.update(ibismove.CommitUnknownEvent{CommitID: e.Commit.ID}) }, false)
		case ibismove.ReadPageEffect:
			n.sim.send(n.read, false)
		case ibismove.ApplyPageEffect:
			for _, key := range e.EndedOverrides {
				n.receiver.EndOverride(e.Page, key)
				n.keys[1].token = e.Page.Slot(1).Token
			}
			n.applyPage(e.Page)
		case ibismove.ResumeEffect:
			n.release(e.Transfers, true)
		case ibismove.MovedEffect:
			n.moved(e)
		case ibismove.AbandonEffect:
			n.release(e.Transfers, false)
		}
	}
}

func (n *node) stop(transfers []ibismove.Transfer) {
	for _, t := range transfers {
		n.stopped[t.Unit] = n.keysOf(t.Unit)
	}
	for _, u := range n.stoppedUnits() {
		for _, key := range n.keysOf(u) {
			n.keys[key].admit = false
		}
	}
	n.reportIdle()
}

func (n *node) handOver(e ibismove.HandOverEffect) {
	memories := map[int]handed{}
	for _, t := range e.Transfers {
		for _, key := range n.keysOf(t.Unit) {
			memories[key] = handed{
				memory:       maps.Clone(n.keys[key].memory),
				completeFrom: n.keys[key].completeFrom,
			}
		}
	}
	ack := func() {
		n.update(ibismove.HandOverAckedEvent{
			Target:   e.Target,
			Sequence: e.Sequence,
		})
	}
	if n.sim.mutation == skipHandOver && !n.sim.node(e.Target).dead {
		ack()
		return
	}
	n.sim.send(func() {
		target := n.sim.node(e.Target)
		if target.dead || !target.receiver.HandOver(n.sim.now, n.self, e) {
			return
		}
		for key, m := range memories {
			target.keys[key].handed = m
		}
		n.sim.send(ack, true)
	}, true)
}

func (n *node) cancel(e ibismove.CancelEffect) {
	n.receiver.Cancel(e)
}

func (n *node) commit(c ibisplatform.Commit) {
	result := n.sim.write(c)
	if n.dead {
		return
	}
	n.sim.send(func() {
		n.update(ibismove.CommitResultEvent{
			CommitID: c.ID,
			Result:   result,
		})
	}, true)
}

func (n *node) read() {
	page := n.sim.row
	if n.sim.mutation == ignorePendingCommit && page.Version() == n.view.Version() {
		page = page.WithVersion(page.Version() + 1)
	}
	n.update(ibismove.PageReadEvent{Page: page})
}

// release ends the stop of the units. If they stay with the node, their held requests run.
func (n *node) release(transfers []ibismove.Transfer, stay bool) {
	for _, t := range transfers {
		owned := n.keysOf(t.Unit)
		delete(n.stopped, t.Unit)
		for _, key := range owned {
			k := &n.keys[key]
			if k.token != t.Token {
				continue // owned again under a higher token
			}
			k.admit = stay && !n.dead
			n.retryHeld(key)
		}
	}
}

// retryHeld handles the held requests of a key again.
func (n *node) retryHeld(key int) {
	k := &n.keys[key]
	held := k.held
	k.held = nil
	for _, id := range held {
		n.handleRequest(id)
	}
}

func (n *node) moved(e ibismove.MovedEffect) {
	n.sim.moved++
	for _, t := range e.Transfers {
		if t.Target == n.self {
			n.release([]ibismove.Transfer{t}, true)
			n.keys[hotKey].token = e.Page.Slot(1).Token
			continue
		}
		for _, key := range n.keysOf(t.Unit) {
			if n.keys[key].token == t.Token && len(n.keys[key].running) > 0 {
				n.sim.fail("key %d moved while a request was running", key)
			}
		}
		n.release([]ibismove.Transfer{t}, false)
	}
	n.sim.broadcastPage()
}

// applyPage applies a page received from another node, unless the known one is as new.
func (n *node) applyPage(page *ibisslot.Page) {
	if n.dead || n.view != nil && n.view.Version() >= page.Version() {
		return
	}
	n.view = page
	for _, a := range n.receiver.ApplyPage(page).Adopted {
		n.adopt(page, a)
	}
}

func (n *node) adopt(page *ibisslot.Page, a ibismove.AdoptedUnit) {
	inherited := a.Inherited
	if n.sim.mutation == skipHandOver {
		inherited = page.Slot(a.Unit.Position).HandedOver
	}
	if !inherited && a.Token > 1 {
		n.sim.lossy++
	}
	delete(n.stopped, a.Unit)
	for _, key := range n.keysOf(a.Unit) {
		k := &n.keys[key]
		k.admit = true
		k.token = a.Token
		k.memory = memory{}
		if inherited {
			maps.Copy(k.memory, k.handed.memory)
			k.completeFrom = k.handed.completeFrom
		} else {
			k.completeFrom = n.sim.issued
		}
		n.retryHeld(key)
	}
}
