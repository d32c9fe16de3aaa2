package ibisrollout

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// fetch is the state of the current fetch of records or a snapshot.
type fetch struct {
	preferred Source
	source    Source
	// deadline is the time from which the next fetch may start.
	deadline time.Time
	attempts int
}

// running reports whether the replica waits for a response, or delays the next fetch after a version that it could not
// compile.
func (f *fetch) running(now time.Time) bool { return now.Before(f.deadline) }

// startFetch asks the next source: first the peer that reported the version, then in turn the parent, the watcher and the
// object store.
func (r *Replica) startFetch(now time.Time) []Effect {
	r.fetch.source = r.nextSource()
	r.fetch.attempts++
	r.fetch.deadline = now.Add(fetchTimeout)
	if r.inForce == "" {
		return []Effect{FetchSnapshotEffect{
			Source: r.fetch.source,
			To:     r.known,
		}}
	}
	return []Effect{FetchRecordsEffect{
		Source: r.fetch.source,
		After:  r.inForce,
		To:     r.known,
	}}
}

func (r *Replica) nextSource() Source {
	sources := []Source{r.fetch.preferred}
	if parent, ok := r.tree.Parent(r.name); ok {
		sources = append(sources, Source{Peer: parent})
	}
	if at, ok := r.tree.positions[r.name]; ok {
		if watcher, ok := r.tree.Watcher(at.domain); ok && watcher != r.name {
			sources = append(sources, Source{Peer: watcher})
		}
	}
	sources = append(sources, Source{})
	return sources[r.fetch.attempts%len(sources)]
}

// fetchFailed ends the current fetch, so that the next tick asks another source.
func (r *Replica) fetchFailed(source Source, now time.Time) []Effect {
	if source == r.fetch.source {
		r.fetch.deadline = now
	}
	return nil
}

// applyRecords applies records that follow the version in force without a gap; otherwise it requests the whole document.
func (r *Replica) applyRecords(e RecordsEvent) []Effect {
	version := r.inForce
	for _, record := range e.Records {
		if record.Parent != version || record.Version.Revision() <= version.Revision() {
			return r.requestSnapshot(e.Source)
		}
		version = record.Version
	}
	if len(e.Records) == 0 {
		return r.requestSnapshot(e.Source)
	}
	return []Effect{ApplyRecordsEffect{Records: e.Records}}
}

func (r *Replica) requestSnapshot(source Source) []Effect {
	if r.known == r.inForce {
		return nil
	}
	return []Effect{FetchSnapshotEffect{
		Source: source,
		To:     r.known,
	}}
}

// applySnapshot applies a whole document unless its revision is not greater than the one in force.
func (r *Replica) applySnapshot(e SnapshotEvent) []Effect {
	if e.Version.Revision() <= r.inForce.Revision() {
		r.rejectedLower++
		return nil
	}
	return []Effect{ApplySnapshotEffect{
		Version:  e.Version,
		Sections: e.Sections,
	}}
}

// RecordsAfter returns the retained records that follow a version, and whether they lead to the version in force without a
// gap.
func (r *Replica) RecordsAfter(version ibissection.Version) ([]ibissection.Record, bool) {
	return r.recent.after(version)
}

// recentRecords holds the latest changes in order, without the previous content of the changed sections.
type recentRecords struct {
	list  []ibissection.Record
	bytes int
}

// add appends applied changes and drops the oldest ones above maxRecentBytes. No changes mean that a snapshot was applied:
// the list is cleared, since the next changes do not follow it without a gap.
func (r *recentRecords) add(more []ibissection.Record) {
	if len(more) == 0 {
		*r = recentRecords{}
		return
	}
	for _, record := range more {
		r.list = append(r.list, record.WithoutPreviousContents())
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
