package ibisrollout

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// fetch is the state of the current fetch of records or a snapshot.
type fetch struct {
	preferred Source
	source    Source
	deadline  time.Time
	attempts  int
}

func (f *fetch) running(now time.Time) bool { return now.Before(f.deadline) }

// startFetch asks the next source: first the peer that reported the version, then in turn the parent, the watcher and the
// object store.
func (n *Node) startFetch(now time.Time) []Effect {
	n.fetch.source = n.nextSource()
	n.fetch.attempts++
	n.fetch.deadline = now.Add(fetchTimeout)
	if n.inForce == "" {
		return []Effect{FetchSnapshotEffect{
			Source: n.fetch.source,
			To:     n.known,
		}}
	}
	return []Effect{FetchRecordsEffect{
		Source: n.fetch.source,
		After:  n.inForce,
		To:     n.known,
	}}
}

func (n *Node) nextSource() Source {
	sources := []Source{n.fetch.preferred}
	if parent, ok := n.tree.Parent(n.name); ok {
		sources = append(sources, Source{Peer: parent})
	}
	if at, ok := n.tree.positions[n.name]; ok {
		if watcher, ok := n.tree.Watcher(at.domain); ok && watcher != n.name {
			sources = append(sources, Source{Peer: watcher})
		}
	}
	sources = append(sources, Source{})
	return sources[n.fetch.attempts%len(sources)]
}

// fetchFailed ends the current fetch, so that the next tick asks another source.
func (n *Node) fetchFailed(source Source, now time.Time) []Effect {
	if source == n.fetch.source {
		n.fetch.deadline = now
	}
	return nil
}

// applyRecords applies records that follow the version in force without a gap; otherwise it requests the whole document.
func (n *Node) applyRecords(e RecordsEvent) []Effect {
	version := n.inForce
	for _, record := range e.Records {
		if record.Parent != version || record.Version.Revision() <= version.Revision() {
			return n.requestSnapshot(e.Source)
		}
		version = record.Version
	}
	if len(e.Records) == 0 {
		return n.requestSnapshot(e.Source)
	}
	return []Effect{ApplyRecordsEffect{Records: e.Records}}
}

func (n *Node) requestSnapshot(source Source) []Effect {
	if n.known == n.inForce {
		return nil
	}
	return []Effect{FetchSnapshotEffect{
		Source: source,
		To:     n.known,
	}}
}

// applySnapshot applies a whole document unless its revision is not greater than the one in force.
func (n *Node) applySnapshot(e SnapshotEvent) []Effect {
	if e.Version.Revision() <= n.inForce.Revision() {
		n.rejectedLower++
		return nil
	}
	return []Effect{ApplySnapshotEffect{
		Version:  e.Version,
		Sections: e.Sections,
	}}
}

// RecordsAfter returns the retained records that follow a version, and whether they lead to the version in force without a gap.
func (n *Node) RecordsAfter(version ibissection.Version) ([]ibissection.Record, bool) {
	return n.recent.after(version)
}

// recentRecords holds the latest changes in order, without the previous content of the changed sections.
type recentRecords struct {
	list  []ibissection.Record
	bytes int
}

func (r *recentRecords) add(more []ibissection.Record) {
	if len(more) == 0 {
		*r = recentRecords{}
		return
	}
	for _, record := range more {
		r.list = append(r.list, record.WithoutBefore())
		r.bytes += record.Size()
	}
	for r.bytes > maxRecentBytes && len(r.list) > 1 {
		r.bytes -= r.list[0].Size()
		r.list = r.list[1:]
	}
}

func (r *recentRecords) after(version ibissection.Version) ([]ibissection.Record, bool) {
	for i, record := range r.list {
		if record.Parent == version {
			return r.list[i:], true
		}
	}
	return nil, false
}
