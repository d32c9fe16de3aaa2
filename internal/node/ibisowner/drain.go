package ibisowner

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

const (
	// gateDelay is how long the admission gate still admits requests after the node's failure domain is taken out,
	// while the slots move.
	gateDelay = 2500 * time.Millisecond
	// rampSteps is the number of steps in which a returning failure domain regains its share.
	rampSteps         = 10
	drainPollInterval = 50 * time.Millisecond
)

// domains is the state of the failure domains that the document takes out and brings back.
type domains struct {
	out      map[ibisid.DomainName]bool
	ramps    map[ibisid.DomainName]ramp
	ownOut   bool
	ownSince time.Time
	gateOut  bool
}

type ramp struct {
	since    time.Time
	duration time.Duration
	step     int
}

// applyDomainStates applies the failure domains that a new revision takes out or brings back.
func (m *Manager) applyDomainStates(now time.Time) {
	first := m.domains.out == nil
	if first {
		m.domains.out = make(map[ibisid.DomainName]bool)
		m.domains.ramps = make(map[ibisid.DomainName]ramp)
	}
	for _, region := range m.document.Content().Topology.Regions {
		for name := range region.Domains {
			out := m.document.DomainState(name) == ibisdoc.DomainOut
			if out != m.domains.out[name] {
				m.setDomainState(name, out, now)
			}
		}
	}
}

func (m *Manager) setDomainState(name ibisid.DomainName, out bool, now time.Time) {
	m.domains.out[name] = out
	delete(m.domains.ramps, name)
	share := 0.0
	if !out {
		domain, _ := m.document.Domain(name)
		m.domains.ramps[name] = ramp{
			since:    now,
			duration: domain.RampUp.Duration,
		}
		share = 1.0 / rampSteps
	}
	m.coordinate(ibiscoordinator.DomainEvent{
		Domain: name,
		Share:  share,
	}, now)
	if name == m.config.Place.Domain {
		m.setOwnDomainState(out, now)
	}
}

func (m *Manager) setOwnDomainState(out bool, now time.Time) {
	m.domains.ownOut = out
	m.domains.ownSince = now
	if !out {
		m.domains.gateOut = false
		m.gate.SetDomain(ibisadmit.DomainEvent{RampUp: m.domains.ramps[m.config.Place.Domain].duration})
	}
}

// rampDomains raises the shares of returning domains. It closes the gate of a domain that is out once the node's slots
// have moved or gateDelay has passed.
func (m *Manager) rampDomains(now time.Time) {
	for name, r := range m.domains.ramps {
		step := rampSteps
		if r.duration > 0 {
			step = min(rampSteps, 1+int(rampSteps*now.Sub(r.since)/r.duration))
		}
		if step == r.step {
			continue
		}
		r.step = step
		m.domains.ramps[name] = r
		if step == rampSteps {
			delete(m.domains.ramps, name)
		}
		m.coordinate(ibiscoordinator.DomainEvent{
			Domain: name,
			Share:  float64(step) / rampSteps,
		}, now)
	}
	moved := m.holdings.count() == 0 || now.Sub(m.domains.ownSince) >= gateDelay
	if m.domains.ownOut && !m.domains.gateOut && moved {
		m.domains.gateOut = true
		m.gate.SetDomain(ibisadmit.DomainEvent{OutOfService: true})
	}
}

// replayDomains gives the domains that are out to a new coordinator.
func (m *Manager) replayDomains(now time.Time) {
	for name, out := range m.domains.out {
		if out {
			m.coordinate(ibiscoordinator.DomainEvent{Domain: name}, now)
		}
	}
}

// evicting reports whether the node moves its slots away without leaving, because its failure domain is out or its
// backend server does not serve.
func (m *Manager) evicting() bool { return m.domains.ownOut || !m.serving }

// evacuate plans to move slots away: all if the node leaves or is evicted, otherwise those that the placement rules
// forbid here.
func (m *Manager) evacuate() {
	all := m.leaving || m.evicting()
	for _, e := range m.spaces {
		if all || !m.rules.Allowed(e.Space, m.config.Place) {
			m.evacuateSpace(e)
		}
	}
}

func (m *Manager) evacuateSpace(e ibiscoordinator.SpaceEvent) {
	var placer *ibisplace.Placer
	for _, index := range m.pages.SlotsOf(e.Space, m.holder.Self()) {
		slot := ibisid.Slot{
			Space: e.Space,
			Index: index,
		}
		id := ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		}
		_, planned := m.plannedMoves[id][int(index)%ibisid.SlotsPerPage]
		if planned || m.batches[id] != nil {
			continue
		}
		if placer == nil {
			placer = m.placerWithoutSelf(e)
		}
		a, _ := m.pages.Locate(slot)
		if target, ok := placer.ChooseOwner(slot, a, nil); ok {
			m.planMove(slot, target)
		}
	}
}

// placerWithoutSelf returns a placer over the members of the service that accept slots, without this one.
func (m *Manager) placerWithoutSelf(e ibiscoordinator.SpaceEvent) *ibisplace.Placer {
	var candidates []ibisplace.Candidate
	for _, p := range m.view.Load().byService[m.service] {
		if p.Member == m.holder.Self() || m.domains.out[p.Place.Domain] || !m.acceptsSlots(p.Member) {
			continue
		}
		candidates = append(candidates, ibisplace.Candidate{
			Member: p.Member,
			Place:  p.Place,
			Weight: m.members[p.Member.Name].row.Announcement.Weight,
			Share:  1,
		})
	}
	placer := ibisplace.New(e.Space, e.Slots, candidates, m.rules)
	placer.CountLoads(m.pages)
	return placer
}

// Drain moves the node's slots to other members and then ends its lease. It returns the context's error if the context
// ends first.
func (m *Manager) Drain(ctx context.Context) error {
	m.StartLeaving()
	done := make(chan struct{})
	every := m.timer.Every(drainPollInterval, func(time.Time) {
		if m.HasLeft() {
			select {
			case done <- struct{}{}:
			default:
			}
		}
	})
	defer every.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StartLeaving starts to move the node's slots to other members without waiting for the end.
func (m *Manager) StartLeaving() {
	m.update(func(now time.Time) {
		m.leaving = true
		m.evacuate()
		m.evacuateKeys()
		m.startMoves(now)
	})
}

// HasLeft reports whether a leaving node has handed its slots over and ended its lease for good.
func (m *Manager) HasLeft() bool {
	var left bool
	m.update(func(time.Time) {
		row, joined := m.holder.Row()
		if !m.leaving || !joined {
			left = m.leaving
			return
		}
		if !m.left && (m.holdings.count() == 0 || m.isOnlyCandidate()) && len(m.batches) == 0 {
			m.left = true
		}
		left = row.State == ibislease.StateLeft
	})
	return left
}

// isOnlyCandidate reports whether no other member can own the slots.
func (m *Manager) isOnlyCandidate() bool {
	for _, p := range m.view.Load().byService[m.service] {
		if p.Member != m.holder.Self() && m.acceptsSlots(p.Member) && !m.domains.out[p.Place.Domain] {
			return false
		}
	}
	return true
}
