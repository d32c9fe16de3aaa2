package ibisowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	// settleTime is how long the members of a service must be unchanged before pages are created.
	settleTime = time.Second
	// openRetryInterval is the time after which the creation of missing pages is tried again.
	openRetryInterval = time.Second
)

// SetDocument applies a revision of the document.
func (k *Manager) SetDocument(doc *ibisdoc.Document) {
	k.update(func(now time.Time) {
		k.document = doc
		k.inForce.Store(doc)
		k.deadlineBound.set(longestDeadline(doc, k.service), now)
		k.spaces = nil
		for name := range doc.Content().Services {
			k.addSpaces(doc, name)
		}
		slices.SortFunc(k.spaces, func(a, b ibiscoordinator.SpaceEvent) int {
			return cmp.Compare(a.Space.String(), b.Space.String())
		})
		k.spacesOpened = false
		k.nextOpen = now
		k.applyDomainStates(now)
	})
	k.applyStoredPages()
}

// addSpaces adds the slot spaces of a service: the common one, and one for each tenant with home regions.
func (k *Manager) addSpaces(doc *ibisdoc.Document, name ibisid.ServiceName) {
	service, _ := doc.Service(name)
	homes := []ibisid.TenantName{""}
	for tenant, t := range doc.Content().Tenants {
		if len(t.Homes) > 0 {
			homes = append(homes, tenant)
		}
	}
	for _, home := range homes {
		space := ibisid.SlotSpace{
			Service: name,
			Home:    home,
			Hidden:  service.KeySpace == "",
		}
		k.routes.addSpace(space, service.Slots)
		for n := range ibisslot.PageCount(service.Slots) {
			id := ibisslot.PageID{
				Space:  space,
				Number: n,
			}
			k.pageIDs[id.RowKey()] = id
		}
		if name == k.service {
			k.pages.AddSpace(space, service.Slots)
			k.spaces = append(k.spaces, ibiscoordinator.SpaceEvent{
				Space: space,
				Slots: service.Slots,
			})
		}
	}
}

// applyStoredPages applies the pages that arrived before their spaces were known.
func (k *Manager) applyStoredPages() {
	k.mu.Lock()
	keys := make([]string, 0, len(k.pageIDs))
	for key := range k.pageIDs {
		keys = append(keys, key)
	}
	k.mu.Unlock()
	slices.Sort(keys)
	for _, key := range keys {
		if row, ok := k.rows.Get(key); ok {
			k.onPageRow(row)
		}
	}
}

// openSpaces lets the coordinator create the missing pages of the service once its members are stable.
func (k *Manager) openSpaces(now time.Time) {
	_, valid := k.holder.Valid(now)
	if k.document == nil || !valid || now.Before(k.nextOpen) || now.Sub(k.membersStableSince) < settleTime {
		return
	}
	if k.spacesOpened && !k.pagesMissing() {
		return
	}
	k.spacesOpened = true
	k.nextOpen = now.Add(openRetryInterval)
	for _, space := range k.spaces {
		k.coordinate(space, now)
	}
}

func (k *Manager) pagesMissing() bool {
	return slices.ContainsFunc(k.ownPages(), func(id ibisslot.PageID) bool { return k.pages.Version(id) == 0 })
}

// ownPages returns the pages of the service of the node's backend server.
func (k *Manager) ownPages() []ibisslot.PageID {
	var pages []ibisslot.PageID
	for _, e := range k.spaces {
		for n := range ibisslot.PageCount(e.Slots) {
			pages = append(pages, ibisslot.PageID{
				Space:  e.Space,
				Number: n,
			})
		}
	}
	return pages
}
