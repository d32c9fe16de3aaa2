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
func (m *Manager) SetDocument(doc *ibisdoc.Document) {
	m.update(func(now time.Time) {
		m.document = doc
		m.inForce.Store(doc)
		m.deadlineBound.set(longestDeadline(doc, m.service), now)
		m.spaces = nil
		for name := range doc.Content().Services {
			m.addSpaces(doc, name)
		}
		slices.SortFunc(m.spaces, func(a, b ibiscoordinator.SpaceEvent) int {
			return cmp.Compare(a.Space.String(), b.Space.String())
		})
		m.spacesOpened = false
		m.nextOpen = now
		m.applyDomainStates(now)
	})
	m.applyStoredPages()
}

// addSpaces adds the slot spaces of a service: the common one, and one for each tenant with home regions.
func (m *Manager) addSpaces(doc *ibisdoc.Document, name ibisid.ServiceName) {
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
		m.routes.addSpace(space, service.Slots)
		for n := range ibisslot.PageCount(service.Slots) {
			id := ibisslot.PageID{
				Space:  space,
				Number: n,
			}
			m.pageIDs[id.RowKey()] = id
		}
		if name == m.service {
			m.pages.AddSpace(space, service.Slots)
			m.spaces = append(m.spaces, ibiscoordinator.SpaceEvent{
				Space: space,
				Slots: service.Slots,
			})
		}
	}
}

// applyStoredPages applies the pages that arrived before their spaces were known.
func (m *Manager) applyStoredPages() {
	m.mu.Lock()
	keys := make([]string, 0, len(m.pageIDs))
	for key := range m.pageIDs {
		keys = append(keys, key)
	}
	m.mu.Unlock()
	slices.Sort(keys)
	for _, key := range keys {
		if row, ok := m.rows.Get(key); ok {
			m.onPageRow(row)
		}
	}
}

// openSpaces lets the coordinator create the missing pages of the service once its members are stable.
func (m *Manager) openSpaces(now time.Time) {
	_, valid := m.holder.Valid(now)
	if m.document == nil || !valid || now.Before(m.nextOpen) || now.Sub(m.membersStableSince) < settleTime {
		return
	}
	if m.spacesOpened && !m.pagesMissing() {
		return
	}
	m.spacesOpened = true
	m.nextOpen = now.Add(openRetryInterval)
	for _, space := range m.spaces {
		m.coordinate(space, now)
	}
}

func (m *Manager) pagesMissing() bool {
	return slices.ContainsFunc(m.ownPages(), func(id ibisslot.PageID) bool { return m.pages.Version(id) == 0 })
}

// ownPages returns the pages of the service of the node's backend server.
func (m *Manager) ownPages() []ibisslot.PageID {
	var pages []ibisslot.PageID
	for _, e := range m.spaces {
		for n := range ibisslot.PageCount(e.Slots) {
			pages = append(pages, ibisslot.PageID{
				Space:  e.Space,
				Number: n,
			})
		}
	}
	return pages
}
