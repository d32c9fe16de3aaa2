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

// Replica is the state of the document on one node; create it with NewReplica, as the zero value is not usable.
type Replica struct {
	name ibisid.NodeName
	tree Tree

	inForce       ibissection.Version
	known         ibissection.Version
	behindSince   time.Time
	lastVersionAt time.Time
	recent        recentRecords

	fetch         fetch
	lastReadAt    time.Time
	reports       map[ibisid.NodeName]Report
	lastReport    Report
	lastReportAt  time.Time
	rejectedLower int
}

// NewReplica returns the replica of a process that has just started and has no document.
func NewReplica(name ibisid.NodeName) *Replica {
	return &Replica{
		name:    name,
		reports: make(map[ibisid.NodeName]Report),
	}
}

// InForce returns the version in force, empty where there is none.
func (r *Replica) InForce() ibissection.Version { return r.inForce }

// Known returns the greatest version reported to the node.
func (r *Replica) Known() ibissection.Version { return r.known }

// Tree returns the tree of the live nodes in this node's view.
func (r *Replica) Tree() Tree { return r.tree }

// RejectedLower returns how often the node rejected a lower revision, or a different version of the same revision.
func (r *Replica) RejectedLower() int { return r.rejectedLower }

// WorkStatus is whether a node accepts new work, decided by the version of the document that it has in force.
type WorkStatus string

const (
	// WorkAccepted means that the node accepts new work.
	WorkAccepted WorkStatus = "taken"
	// WorkNoDocument means that the node has no document yet.
	WorkNoDocument WorkStatus = "noDocument"
	// WorkBehind means that a newer revision has been known, but not in force, for longer than BehindLimit.
	WorkBehind WorkStatus = "behind"
	// WorkSilent means that the node has received no version from any source for longer than SilenceLimit.
	WorkSilent WorkStatus = "silent"
)

// WorkStatusAt returns whether the node accepts new work at a time; a request rejected for this reason is reported as "not
// run". The nodes of a region that is cut off from the platform's table receive hints from each other and no newer revision,
// so they continue to serve.
func (r *Replica) WorkStatusAt(now time.Time) WorkStatus {
	switch {
	case r.inForce == "":
		return WorkNoDocument
	case !r.behindSince.IsZero() && now.Sub(r.behindSince) > BehindLimit:
		return WorkBehind
	case len(r.tree.positions) > 1 && now.Sub(r.lastVersionAt) > SilenceLimit:
		return WorkSilent
	default:
		return WorkAccepted
	}
}

// Update applies an event to the state of the replica and returns the effects to run.
func (r *Replica) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case MembersEvent:
		return r.updateMembers(e, now)
	case TickEvent:
		return r.tick(now)
	case HeadEvent:
		r.lastVersionAt = now
		return r.observeVersion(e.Version, Source{}, now)
	case HintEvent:
		r.lastVersionAt = now
		return r.observeVersion(e.Version, Source{Peer: e.From}, now)
	case RecordsEvent:
		return r.applyRecords(e)
	case SnapshotEvent:
		return r.applySnapshot(e)
	case FetchFailedEvent:
		return r.fetchFailed(e.Source, now)
	case AppliedEvent:
		return r.applied(e, now)
	case ApplyFailedEvent:
		// The delay prevents a fetch of the same version at each tick.
		r.fetch = fetch{deadline: now.Add(BehindLimit)}
		return nil
	case ReportEvent:
		r.reports[e.From] = e.Report
		return r.report(now)
	default:
		return nil
	}
}

func (r *Replica) updateMembers(e MembersEvent, now time.Time) []Effect {
	r.tree = e.Tree
	if r.tree.positions == nil {
		r.tree = NewTree(e.Peers)
	}
	children := r.tree.Children(r.name)
	for child := range r.reports {
		if !slices.Contains(children, child) {
			delete(r.reports, child)
		}
	}
	r.lastReportAt = time.Time{}
	effects := r.report(now)
	if r.inForce != "" && len(children) > 0 {
		effects = append(effects, HintEffect{
			To:      children,
			Version: r.inForce,
		})
	}
	return effects
}

func (r *Replica) tick(now time.Time) []Effect {
	var effects []Effect
	if r.tree.IsWatcher(r.name) && now.Sub(r.lastReadAt) >= ReadPeriod {
		r.lastReadAt = now
		effects = append(effects, ReadHeadEffect{})
	}
	if r.known != r.inForce && !r.fetch.running(now) {
		effects = append(effects, r.startFetch(now)...)
	}
	return append(effects, r.report(now)...)
}

// observeVersion records a version reported by a source. It rejects a version that is lower than the one in force, or that
// differs from it in spite of the same revision.
func (r *Replica) observeVersion(version ibissection.Version, source Source, now time.Time) []Effect {
	if version == r.known || version == r.inForce {
		return nil
	}
	if version.Revision() <= r.known.Revision() {
		if version.Revision() <= r.inForce.Revision() {
			r.rejectedLower++
			return r.hintStalePeer(source)
		}
		return nil
	}
	r.known = version
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if r.fetch.running(now) {
		return nil
	}
	r.fetch.preferred = source
	r.fetch.attempts = 0
	return r.startFetch(now)
}

// hintStalePeer sends the version in force to a peer that reported an older one.
func (r *Replica) hintStalePeer(source Source) []Effect {
	if source.Peer == "" || r.inForce == "" {
		return nil
	}
	return []Effect{HintEffect{
		To:      []ibisid.NodeName{source.Peer},
		Version: r.inForce,
	}}
}

// applied records a version as in force and sends hints to the children and, from a watcher, to the other watchers.
func (r *Replica) applied(e AppliedEvent, now time.Time) []Effect {
	if e.Version.Revision() <= r.inForce.Revision() {
		r.rejectedLower++
		return nil
	}
	r.inForce = e.Version
	r.recent.add(e.Records)
	if r.known.Revision() <= r.inForce.Revision() {
		r.known = r.inForce
		r.behindSince = time.Time{}
	}
	r.fetch = fetch{}
	hints := slices.Clone(r.tree.Children(r.name))
	if r.tree.IsWatcher(r.name) {
		hints = append(hints, r.tree.otherWatchers(r.name)...)
	}
	var effects []Effect
	if len(hints) > 0 {
		effects = append(effects, HintEffect{
			To:      hints,
			Version: r.inForce,
		})
	}
	if r.known != r.inForce {
		effects = append(effects, r.startFetch(now)...)
	}
	return append(effects, r.report(now)...)
}

// report sends the report to the parent: at most every reportPeriod when it changed, and every refreshPeriod otherwise.
func (r *Replica) report(now time.Time) []Effect {
	parent, ok := r.tree.Parent(r.name)
	current := r.Report()
	since := now.Sub(r.lastReportAt)
	if !ok || since < reportPeriod || (current.equal(r.lastReport) && since < refreshPeriod) {
		return nil
	}
	r.lastReport = current
	r.lastReportAt = now
	return []Effect{ReportEffect{
		To:     parent,
		Report: current,
	}}
}

// Report summarizes the revisions in force on this node and the nodes below it; a child that has not reported counts as
// revision zero.
func (r *Replica) Report() Report {
	report := Report{
		Revision: r.inForce.Revision(),
		Nodes:    1,
		Lagging:  []ibisid.NodeName{r.name},
	}
	for _, child := range r.tree.Children(r.name) {
		below, reported := r.reports[child]
		if !reported {
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
	return report.clearLaggingAt(r.known.Revision())
}
