package ibisdoc

import (
	"maps"
	"slices"
	"strconv"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

func (d *draft) checkKeySpaces(doc *Document) {
	if d.unchanged(KindKeySpaces) {
		doc.spaces = d.cache.document.spaces
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.content.KeySpaces)) {
		space, faults := ibisname.Compile(name, d.content.KeySpaces[name])
		at := d.entryPath(KindKeySpaces, string(name))
		for _, f := range faults {
			d.fault(at+"."+f.Path, f.Value, "%s", f.Allowed)
		}
		if space != nil {
			doc.spaces[name] = space
		}
	}
}

func (d *draft) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(d.content.Services)) {
		service := d.content.Services[name]
		at := d.entryPath(KindServices, string(name))
		if service.KeySpace != "" && !has(d.content.KeySpaces, service.KeySpace) {
			d.fault(at+".keySpace", string(service.KeySpace), "one of the key spaces %s", joinKeys(d.content.KeySpaces))
		}
		if service.Slots&(service.Slots-1) != 0 || service.Slots > ibisid.MaxSlots {
			d.fault(at+".slots", strconv.FormatUint(uint64(service.Slots), 10), "a power of two up to %d", ibisid.MaxSlots)
		}
		if service.Concurrency < 0 {
			d.fault(at+".concurrency", strconv.Itoa(service.Concurrency), "zero or more")
		}
		if service.Retention.Duration > maxRetention {
			d.fault(at+".retention", service.Retention.String(), "at most %s", maxRetention)
		}
		if service.LongestOrder.Duration > maxRequestDeadline {
			d.fault(at+".longestOrder", service.LongestOrder.String(), "at most %s", maxRequestDeadline)
		}
	}
}

func (d *draft) checkClasses() {
	for _, name := range slices.Sorted(maps.Keys(d.content.Classes)) {
		class := d.content.Classes[name]
		at := d.entryPath(KindClasses, string(name))
		if class.Share < 0 || class.Share > 1 {
			d.fault(at+".share", strconv.FormatFloat(class.Share, 'g', -1, 64), "0 to 1")
		}
		if class.QueueLength < 0 {
			d.fault(at+".queueLength", strconv.Itoa(class.QueueLength), "zero or more")
		}
		if class.Deadline.Duration > maxRequestDeadline {
			d.fault(at+".deadline", class.Deadline.String(), "at most %s", maxRequestDeadline)
		}
	}
}

func has[K comparable, V any](m map[K]V, key K) bool {
	_, ok := m[key]
	return ok
}
