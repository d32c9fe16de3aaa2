package ibisdocsync

import (
	"maps"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
)

// applyRecords puts changes into force if the first of them follows the version in force; otherwise it drops them.
func (k *Replicator) applyRecords(e ibisrollout.ApplyRecordsEffect) {
	k.applying.Lock()
	defer k.applying.Unlock()
	k.mu.Lock()
	follows := e.Records[0].Parent == k.core.InForce()
	sections := maps.Clone(k.sections)
	k.mu.Unlock()
	if !follows {
		return
	}
	for _, record := range e.Records {
		record.Apply(sections)
	}
	k.apply(e.Records[len(e.Records)-1].Version, sections, e.Records)
}

// applySnapshot puts a complete document into force.
func (k *Replicator) applySnapshot(e ibisrollout.ApplySnapshotEffect) {
	k.applying.Lock()
	defer k.applying.Unlock()
	k.apply(e.Version, e.Sections, nil)
}

// apply compiles a version, calls the subscribers and then notifies the core, so that the core never reports a version that
// is not in force. It ignores versions that are not newer than the one in force.
func (k *Replicator) apply(version ibissection.Version, sections ibisdoc.Sections, records []ibissection.Record) {
	if version.Revision() <= k.Revision() {
		return
	}
	doc, faults := k.compiler.Compile(version.Revision(), sections)
	if len(faults) > 0 {
		k.log.Error("revision of the document does not compile; the previous one stays in force", zap.Uint64("revision", uint64(version.Revision())), zap.Error(faults))
		k.update(ibisrollout.ApplyFailedEvent{
			Version: version,
		})
		return
	}
	k.mu.Lock()
	k.sections = sections
	k.mu.Unlock()
	k.current.Store(doc)
	for _, notify := range k.subscribers {
		notify(doc)
	}
	k.log.Info("document in force", zap.Uint64("revision", uint64(version.Revision())))
	k.update(ibisrollout.AppliedEvent{
		Version: version,
		Records: records,
	})
}
