package ibisrollout

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

const (
	// ReadPeriod is the time between two reads of the head by a watcher.
	ReadPeriod = 2 * time.Second
	// BehindLimit is how long a node accepts new work while a newer revision is known but not in force on it.
	BehindLimit = 5 * time.Second
	// SilenceLimit is how long a node that has peers accepts new work without receiving a version from any source.
	SilenceLimit = 5 * time.Second

	fetchTimeout  = time.Second
	reportPeriod  = 500 * time.Millisecond
	refreshPeriod = 5 * time.Second
	// maxRecentBytes limits the total size of the records that a node retains to answer fetches of its peers.
	maxRecentBytes = 1 << 20
)

// Node is the revision state of one node; create it with New, as the zero value is not usable.
type Node struct {
	name ibisid.NodeName
	tree Tree

	inForce       ibissection.Version
	known         ibissection.Version
	behindSince   time.Time
	lastVersionAt time.Time
	recent        recentRecords

	fetch         fetch
	lastRead      time.Time
	reports       map[ibisid.NodeName]Report
	lastReport    Report
	lastReportAt  time.Time
	rejectedLower int
}

// New returns the node of a process that has just started and has no document.
func New(name ibisid.NodeName) *Node {
	return &Node{
		name:    name,
		reports: make(map[ibisid.NodeName]Report),
	}
}

// InForce returns the version in force, empty where there is none.
func (n *Node) InForce() ibissection.Version { return n.inForce }

// Known returns the greatest version reported to the node.
func (n *Node) Known() ibissection.Version { return n.known }

// Tree returns the tree of the live nodes in this node's view.
func (n *Node) Tree() Tree { return n.tree }

// RejectedLower returns how often the node rejected a lower revision, or a different version of the same revision.
func (n *Node) RejectedLower() int { return n.rejectedLower }

// WorkStatus is whether a node accepts new work, decided by the version of the document that it has in force.
type WorkStatus string

const (
	// WorkTaken means that the node accepts new work.
	WorkTaken WorkStatus = "taken"
	// WorkNoDocument means that the node has no document yet.
	WorkNoDocument WorkStatus = "noDocument"
	// WorkBehind means that a newer revision has been known, but not in force, for longer than BehindLimit.
	WorkBehind WorkStatus = "behind"
	// WorkSilent means that the node has received no version from any source for longer than SilenceLimit.
	WorkSilent WorkStatus = "silent"
)

// Work returns whether the node accepts new work; a request rejected for this reason is reported as "not run". The nodes of a
// region that is cut off from the platform's table receive hints from each other and no newer revision, so they continue to
// serve.
func (n *Node) Work(now time.Time) WorkStatus {
	switch {
	case n.inForce == "":
		return WorkNoDocument
	case !n.behindSince.IsZero() && now.Sub(n.behindSince) > BehindLimit:
		return WorkBehind
	case len(n.tree.positions) > 1 && now.Sub(n.lastVersionAt) > SilenceLimit:
		return WorkSilent
	default:
		return WorkTaken
	}
}

// Update applies an event to the state of the node and returns the effects to run.
func (n *Node) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case MembersEvent:
		return n.updateMembers(e, now)
	case TickEvent:
		return n.tick(now)
	case HeadEvent:
		n.lastVersionAt = now
		return n.observeVersion(e.Version, Source{}, now)
	case HintEvent:
		n.lastVersionAt = now
		return n.observeVersion(e.Version, Source{Peer: e.From}, now)
	case RecordsEvent:
		return n.applyRecords(e)
	case SnapshotEvent:
		return n.applySnapshot(e)
	case FetchFailedEvent:
		return n.fetchFailed(e.Source, now)
	case AppliedEvent:
		return n.applied(e, now)
	case ApplyFailedEvent:
		n.fetch = fetch{deadline: now.Add(BehindLimit)}
		return nil
	case ReportEvent:
		n.reports[e.From] = e.Report
		return n.report(now)
	default:
		return nil
	}
}

func (n *Node) updateMembers(e MembersEvent, now time.Time) []Effect {
	n.tree = e.Tree
	if n.tree.positions == nil {
		n.tree = NewTree(e.Peers)
	}
	children := n.tree.Children(n.name)
	for child := range n.reports {
		if !slices.Contains(children, child) {
			delete(n.reports, child)
		}
	}
	n.lastReportAt = time.Time{}
	effects := n.report(now)
	if n.inForce != "" && len(children) > 0 {
		effects = append(effects, HintEffect{
			To:      children,
			Version: n.inForce,
		})
	}
	return effects
}

func (n *Node) tick(now time.Time) []Effect {
	var effects []Effect
	if n.tree.IsWatcher(n.name) && now.Sub(n.lastRead) >= ReadPeriod {
		n.lastRead = now
		effects = append(effects, ReadHeadEffect{})
	}
	if n.known != n.inForce && !n.fetch.running(now) {
		effects = append(effects, n.startFetch(now)...)
	}
	return append(effects, n.report(now)...)
}

// observeVersion records a version reported by a source. It rejects a version that is lower than the one in force, or that
// differs from it in spite of the same revision.
func (n *Node) observeVersion(version ibissection.Version, source Source, now time.Time) []Effect {
	if version == n.known || version == n.inForce {
		return nil
	}
	if version.Revision() <= n.known.Revision() {
		if version.Revision() <= n.inForce.Revision() {
			n.rejectedLower++
			return n.hintStalePeer(source)
		}
		return nil
	}
	n.known = version
	if n.behindSince.IsZero() {
		n.behindSince = now
	}
	if n.fetch.running(now) {
		return nil
	}
	n.fetch.preferred = source
	n.fetch.attempts = 0
	return n.startFetch(now)
}

// hintStalePeer sends the version in force to a peer that reported an older one.
func (n *Node) hintStalePeer(source Source) []Effect {
	if source.Peer == "" || n.inForce == "" {
		return nil
	}
	return []Effect{HintEffect{
		To:      []ibisid.NodeName{source.Peer},
		Version: n.inForce,
	}}
}

// applied records a version as in force and sends hints to the children and, from a watcher, to the other watchers.
func (n *Node) applied(e AppliedEvent, now time.Time) []Effect {
	if e.Version.Revision() <= n.inForce.Revision() {
		n.rejectedLower++
		return nil
	}
	n.inForce = e.Version
	n.recent.add(e.Records)
	if n.known.Revision() <= n.inForce.Revision() {
		n.known = n.inForce
		n.behindSince = time.Time{}
	}
	n.fetch = fetch{}
	hints := slices.Clone(n.tree.Children(n.name))
	if n.tree.IsWatcher(n.name) {
		hints = append(hints, n.tree.otherWatchers(n.name)...)
	}
	var effects []Effect
	if len(hints) > 0 {
		effects = append(effects, HintEffect{
			To:      hints,
			Version: n.inForce,
		})
	}
	if n.known != n.inForce {
		effects = append(effects, n.startFetch(now)...)
	}
	return append(effects, n.report(now)...)
}

// report sends the report to the parent: at most every reportPeriod when it changed, and every refreshPeriod otherwise.
func (n *Node) report(now time.Time) []Effect {
	parent, ok := n.tree.Parent(n.name)
	current := n.Report()
	since := now.Sub(n.lastReportAt)
	if !ok || since < reportPeriod || (current.equal(n.lastReport) && since < refreshPeriod) {
		return nil
	}
	n.lastReport = current
	n.lastReportAt = now
	return []Effect{ReportEffect{
		To:     parent,
		Report: current,
	}}
}

// Report summarizes the revisions in force on this node and the nodes below it; a child that has not reported counts as
// revision zero.
func (n *Node) Report() Report {
	report := Report{
		Revision: n.inForce.Revision(),
		Nodes:    1,
		Lagging:  []ibisid.NodeName{n.name},
	}
	for _, child := range n.tree.Children(n.name) {
		below, known := n.reports[child]
		if !known {
			below = Report{
				Nodes:   1,
				Lagging: []ibisid.NodeName{child},
			}
		}
		if len(below.Lagging) == 0 {
			below.Lagging = []ibisid.NodeName{child}
		}
		report = report.merge(below)
	}
	return report.clearLaggingAt(n.known.Revision())
}
