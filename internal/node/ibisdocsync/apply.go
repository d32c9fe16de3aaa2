package ibisdocsync

import (
	"maps"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// applyRecords puts changes into force if the first of them follows the version in force; otherwise it drops them.
func (r *Replicator) applyRecords(e ibisrollout.ApplyRecordsEffect) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	follows := e.Records[0].Parent == r.core.InForce()
	sections := maps.Clone(r.sections)
	r.mu.Unlock()
	if !follows {
		return
	}
	for _, record := range e.Records {
		record.Apply(sections)
	}
	r.apply(e.Records[len(e.Records)-1].Version, sections, e.Records)
}

// applySnapshot puts a complete document into force.
func (r *Replicator) applySnapshot(e ibisrollout.ApplySnapshotEffect) {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.apply(e.Version, e.Sections, nil)
}

// apply compiles a version, calls the subscribers and then notifies the core, so that the core never reports a version that
// is not in force. It ignores versions that are not newer than the one in force.
func (r *Replicator) apply(version ibissection.Version, sections ibisdoc.Sections, records []ibissection.Record) {
	if version.Revision() <= r.Revision() {
		return
	}
	doc, faults := r.compiler.Compile(version.Revision(), sections)
	if len(faults) > 0 {
		r.log.Error("revision of the document does not compile; the previous one stays in force", zap.Uint64("revision", uint64(version.Revision())), zap.Error(faults))
		r.update(ibisrollout.ApplyFailedEvent{
			Version: version,
		})
		return
	}
	r.mu.Lock()
	r.sections = sections
	r.mu.Unlock()
	r.current.Store(doc)
	for _, notify := range r.subscribers {
		notify(doc)
	}
	r.log.Info("document in force", zap.Uint64("revision", uint64(version.Revision())))
	r.update(ibisrollout.AppliedEvent{
		Version: version,
		Records: records,
	})
}
