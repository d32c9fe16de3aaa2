package ibiscell

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

const (
	followPeriod   = 800 * time.Millisecond
	exchangeRounds = 2
	neighbours     = 3
	fetchLimit     = 200
)

// follower drives the core that brings revisions into force on one node.
type follower struct {
	node       *node
	core       *ibisrollout.Replica
	store      *ibissection.Store
	sections   ibisdoc.Sections
	document   *ibisdoc.Document
	peers      []ibisid.NodeName
	generation uint64
	ticks      int
}

func newFollower(n *node) *follower {
	return &follower{
		node:     n,
		core:     ibisrollout.NewReplica(n.name),
		store:    n.store(),
		sections: ibisdoc.Sections{},
	}
}

// Current returns the document in force.
func (f *follower) Current() *ibisdoc.Document { return f.document }

// Stale reports whether the node takes no new work for what it knows of the document.
func (f *follower) Stale() bool { return f.core.WorkStatusAt(f.node.Now()) != ibisrollout.WorkAccepted }

func (f *follower) start() {
	f.update(ibisrollout.MembersEvent{Peers: []ibisrollout.Peer{{
		Name:   f.node.name,
		Domain: f.node.place.Domain,
	}}})
	f.node.After(0, func(time.Time) { f.tick() })
	f.node.Every(followPeriod, func(time.Time) { f.tick() })
}

func (f *follower) tick() {
	f.follow()
	f.update(ibisrollout.TickEvent{})
	f.ticks++
	if f.ticks%exchangeRounds != 0 || len(f.peers) == 0 {
		return
	}
	for range neighbours {
		f.exchange(f.peers[f.node.world.random.IntN(len(f.peers))])
	}
}

// follow takes up the live nodes in the view of the manager.
func (f *follower) follow() {
	live, generation := f.node.manager.Live(f.generation)
	if len(live) == 0 {
		return
	}
	f.generation = generation
	f.peers = f.peers[:0]
	var peers []ibisrollout.Peer
	for _, m := range live {
		peers = append(peers, ibisrollout.Peer{
			Name:   m.Name,
			Domain: m.Place.Domain,
		})
		if m.Name != f.node.name {
			f.peers = append(f.peers, m.Name)
		}
	}
	f.update(ibisrollout.MembersEvent{Peers: peers})
}

// exchange tells a neighbour the own version and hears its.
func (f *follower) exchange(to ibisid.NodeName) {
	w := f.node.world
	other := w.find(to)
	own := f.core.InForce()
	w.send(f.node, other, func() {
		if own != "" {
			other.follows.hear(f.node.name, own)
		}
		theirs := other.follows.core.InForce()
		w.send(other, f.node, func() {
			if theirs != "" {
				f.hear(other.name, theirs)
			}
		})
	})
}

func (f *follower) hear(from ibisid.NodeName, version ibissection.Version) {
	f.update(ibisrollout.HintEvent{
		From:    from,
		Version: version,
	})
}

func (f *follower) update(event ibisrollout.Event) {
	for _, effect := range f.core.Update(event, f.node.Now()) {
		f.node.After(f.node.world.latency(), func(time.Time) { f.carryOut(effect) })
	}
}

func (f *follower) carryOut(effect ibisrollout.Effect) {
	w := f.node.world
	switch e := effect.(type) {
	case ibisrollout.ReadHeadEffect:
		head, err := f.store.Head(w.context())
		if err != nil {
			f.update(ibisrollout.HeadFailedEvent{})
			return
		}
		f.update(ibisrollout.HeadEvent{Version: head.Version})
	case ibisrollout.HintEffect:
		w.points("hint", f.node)
		for _, to := range e.To {
			if other := w.find(to); other != nil {
				w.send(f.node, other, func() { other.follows.hear(f.node.name, e.Version) })
			}
		}
	case ibisrollout.ReportEffect:
		f.report(e)
	case ibisrollout.FetchRecordsEffect:
		w.points("fetch", f.node)
		f.fetchRecords(e)
	case ibisrollout.FetchSnapshotEffect:
		f.fetchSnapshot(e)
	case ibisrollout.ApplyRecordsEffect:
		f.applyRecords(e)
	case ibisrollout.ApplySnapshotEffect:
		f.apply(e.Version, e.Sections, nil)
	}
}

func (f *follower) report(e ibisrollout.ReportEffect) {
	w := f.node.world
	own := f.core.InForce()
	if other := w.find(e.To); other != nil {
		w.send(f.node, other, func() {
			other.follows.update(ibisrollout.ReportEvent{
				From:   f.node.name,
				Report: e.Report,
			})
			if own != "" {
				other.follows.hear(f.node.name, own)
			}
		})
	}
}

// ask asks another node and fails where no answer comes in a second.
func (f *follower) ask(source ibisrollout.Source, answer func(other *follower) ibisrollout.Event) {
	w := f.node.world
	answered := false
	end := func(event ibisrollout.Event) {
		if !answered {
			answered = true
			f.update(event)
		}
	}
	if other := w.find(source.Peer); other != nil {
		w.send(f.node, other, func() {
			event := answer(other.follows)
			w.send(other, f.node, func() { end(event) })
		})
	}
	f.node.After(time.Second, func(time.Time) { end(ibisrollout.FetchFailedEvent{Source: source}) })
}

func (f *follower) fetchRecords(e ibisrollout.FetchRecordsEffect) {
	if e.Source.Peer != "" {
		f.ask(e.Source, func(other *follower) ibisrollout.Event {
			records, ok := other.core.RecordsAfter(e.After)
			if !ok {
				return ibisrollout.FetchFailedEvent{Source: e.Source}
			}
			return ibisrollout.RecordsEvent{
				Source:  e.Source,
				Records: records,
			}
		})
		return
	}
	records, err := f.store.Since(f.node.world.context(), e.To, e.After, fetchLimit)
	if err != nil {
		f.update(ibisrollout.FetchFailedEvent{Source: e.Source})
		return
	}
	slices.Reverse(records)
	f.update(ibisrollout.RecordsEvent{
		Source:  e.Source,
		Records: records,
	})
}

func (f *follower) fetchSnapshot(e ibisrollout.FetchSnapshotEffect) {
	if e.Source.Peer != "" {
		f.ask(e.Source, func(other *follower) ibisrollout.Event {
			return ibisrollout.SnapshotEvent{
				Source:   e.Source,
				Version:  other.core.InForce(),
				Sections: other.sections,
			}
		})
		return
	}
	snapshot, err := f.store.Load(f.node.world.context())
	if err != nil {
		f.update(ibisrollout.FetchFailedEvent{Source: e.Source})
		return
	}
	f.update(ibisrollout.SnapshotEvent{
		Source:   e.Source,
		Version:  snapshot.Head().Version,
		Sections: snapshot.Sections(),
	})
}

func (f *follower) applyRecords(e ibisrollout.ApplyRecordsEffect) {
	if e.Records[0].Parent != f.core.InForce() {
		return
	}
	sections := maps.Clone(f.sections)
	for _, record := range e.Records {
		record.Apply(sections)
	}
	f.apply(e.Records[len(e.Records)-1].Version, sections, e.Records)
}

func (f *follower) apply(version ibissection.Version, sections ibisdoc.Sections, records []ibissection.Record) {
	if f.document != nil && version.Revision() <= f.document.Revision() {
		return
	}
	doc := f.node.world.compile(version, sections)
	f.sections = sections
	f.document = doc
	f.node.manager.SetDocument(doc)
	f.node.gate.policy(doc)
	f.update(ibisrollout.AppliedEvent{
		Version: version,
		Records: records,
	})
	f.node.world.points("in force", f.node)
}

// compile compiles a version once for all nodes.
func (w *world) compile(version ibissection.Version, sections ibisdoc.Sections) *ibisdoc.Document {
	if doc, ok := w.compiled[version]; ok {
		return doc
	}
	doc, faults := ibisdoc.Compile(version.Revision(), sections)
	if len(faults) > 0 {
		panic(fmt.Sprintf("version %s: %v", version, faults))
	}
	w.compiled[version] = doc
	return doc
}

// change is an operator's change that is sent until it has a final answer.
type change struct {
	draft    ibissection.Draft
	edit     func(ibisdoc.Sections) ibisdoc.Sections
	revision ibisid.Revision
	asked    time.Time
	accepted time.Time
	done     func()
}

const changePause = 500 * time.Millisecond

// change makes a change through any live node until it is accepted.
func (w *world) change(id string, edit func(ibisdoc.Sections) ibisdoc.Sections, done func()) {
	c := &change{
		draft: ibissection.Draft{ID: id},
		edit:  edit,
		asked: w.now(),
		done:  done,
	}
	w.changes = append(w.changes, c)
	w.send1(c)
}

func (w *world) send1(c *change) {
	again := func() { w.after(changePause, func() { w.send1(c) }) }
	live := w.live()
	if len(live) == 0 {
		again()
		return
	}
	n := live[w.random.IntN(len(live))]
	if n.follows.document == nil {
		again()
		return
	}
	if c.draft.Contents == nil {
		c.draft.BaseRevision = n.follows.document.Revision()
		c.draft.Contents = c.edit(n.follows.sections)
	}
	w.points("change sent", n)
	if n.dead || n.frozen {
		again()
		return
	}
	outcome := n.follows.store.PutDraft(w.context(), teamToken, c.draft)
	switch outcome.Status {
	case ibissection.StatusApplied:
		if n.dead || n.frozen {
			again()
			return
		}
		c.revision = outcome.Revision
		c.accepted = w.now()
		if c.done != nil {
			c.done()
		}
	case ibissection.StatusConflict:
		c.draft.Contents = nil
		again()
	default:
		again()
	}
}

// domainEdit turns a failure domain out or in.
func domainEdit(domain ibisid.DomainName, state ibisdoc.DomainState) func(ibisdoc.Sections) ibisdoc.Sections {
	return func(sections ibisdoc.Sections) ibisdoc.Sections {
		return ibisdoc.Sections{topology: withState(sections[topology], domain, state)}
	}
}

// classEdit changes how long a download may take.
func classEdit(sections ibisdoc.Sections) ibisdoc.Sections {
	return ibisdoc.Sections{"classes": bytes.Replace(sections["classes"], []byte(`"2m"`), []byte(`"3m"`), 1)}
}
