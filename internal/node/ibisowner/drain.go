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
func (k *Manager) applyDomainStates(now time.Time) {
	first := k.domains.out == nil
	if first {
		k.domains.out = make(map[ibisid.DomainName]bool)
		k.domains.ramps = make(map[ibisid.DomainName]ramp)
	}
	for _, region := range k.document.Content().Topology.Regions {
		for name := range region.Domains {
			out := k.document.DomainState(name) == ibisdoc.DomainOut
			if out != k.domains.out[name] {
				k.setDomainState(name, out, now)
			}
		}
	}
}

func (k *Manager) setDomainState(name ibisid.DomainName, out bool, now time.Time) {
	k.domains.out[name] = out
	delete(k.domains.ramps, name)
	share := 0.0
	if !out {
		domain, _ := k.document.Domain(name)
		k.domains.ramps[name] = ramp{
			since:    now,
			duration: domain.RampUp.Duration,
		}
		share = 1.0 / rampSteps
	}
	k.coordinate(ibiscoordinator.DomainEvent{
		Domain: name,
		Share:  share,
	}, now)
	if name == k.config.Place.Domain {
		k.setOwnDomainState(out, now)
	}
}

func (k *Manager) setOwnDomainState(out bool, now time.Time) {
	k.domains.ownOut = out
	k.domains.ownSince = now
	if !out {
		k.domains.gateOut = false
		k.gate.SetDomain(ibisadmit.DomainEvent{RampUp: k.domains.ramps[k.config.Place.Domain].duration})
	}
}

// rampDomains raises the shares of returning domains. It closes the gate of a domain that is out once the node's slots
// have moved or gateDelay has passed.
func (k *Manager) rampDomains(now time.Time) {
	for name, r := range k.domains.ramps {
		step := rampSteps
		if r.duration > 0 {
			step = min(rampSteps, 1+int(rampSteps*now.Sub(r.since)/r.duration))
		}
		if step == r.step {
			continue
		}
		r.step = step
		k.domains.ramps[name] = r
		if step == rampSteps {
			delete(k.domains.ramps, name)
		}
		k.coordinate(ibiscoordinator.DomainEvent{
			Domain: name,
			Share:  float64(step) / rampSteps,
		}, now)
	}
	moved := k.holdings.count() == 0 || now.Sub(k.domains.ownSince) >= gateDelay
	if k.domains.ownOut && !k.domains.gateOut && moved {
		k.domains.gateOut = true
		k.gate.SetDomain(ibisadmit.DomainEvent{OutOfService: true})
	}
}

// replayDomains gives the domains that are out to a new coordinator.
func (k *Manager) replayDomains(now time.Time) {
	for name, out := range k.domains.out {
		if out {
			k.coordinate(ibiscoordinator.DomainEvent{Domain: name}, now)
		}
	}
}

// evicting reports whether the node moves its slots away without leaving, because its failure domain is out or its
// backend server does not serve.
func (k *Manager) evicting() bool { return k.domains.ownOut || !k.serving }

// evacuate plans to move slots away: all if the node leaves or is evicted, otherwise those that the placement rules
// forbid here.
func (k *Manager) evacuate() {
	all := k.leaving || k.evicting()
	for _, e := range k.spaces {
		if all || !k.rules.Allowed(e.Space, k.config.Place) {
			k.evacuateSpace(e)
		}
	}
}

func (k *Manager) evacuateSpace(e ibiscoordinator.SpaceEvent) {
	var placer *ibisplace.Placer
	for _, index := range k.pages.SlotsOf(e.Space, k.holder.Self()) {
		slot := ibisid.Slot{
			Space: e.Space,
			Index: index,
		}
		id := ibisslot.PageID{
			Space:  slot.Space,
			Number: slot.Page(),
		}
		_, planned := k.plannedMoves[id][int(index)%ibisid.SlotsPerPage]
		if planned || k.batches[id] != nil {
			continue
		}
		if placer == nil {
			placer = k.placerWithoutSelf(e)
		}
		a, _ := k.pages.Locate(slot)
		if target, ok := placer.ChooseOwner(slot, a, nil); ok {
			k.planMove(slot, target)
		}
	}
}

// placerWithoutSelf returns a placer over the members of the service that accept slots, without this one.
func (k *Manager) placerWithoutSelf(e ibiscoordinator.SpaceEvent) *ibisplace.Placer {
	var candidates []ibisplace.Candidate
	for _, p := range k.view.Load().byService[k.service] {
		if p.Member == k.holder.Self() || k.domains.out[p.Place.Domain] || !k.acceptsSlots(p.Member) {
			continue
		}
		candidates = append(candidates, ibisplace.Candidate{
			Member: p.Member,
			Place:  p.Place,
			Weight: k.members[p.Member.Name].row.Announcement.Weight,
			Share:  1,
		})
	}
	placer := ibisplace.New(e.Space, e.Slots, candidates, k.rules)
	placer.CountLoads(k.pages)
	return placer
}

// Drain moves the node's slots to other members and then ends its lease. It returns the context's error if the context
// ends first.
func (k *Manager) Drain(ctx context.Context) error {
	k.StartLeaving()
	done := make(chan struct{})
	every := k.timer.Every(drainPollInterval, func(time.Time) {
		if k.HasLeft() {
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
func (k *Manager) StartLeaving() {
	k.update(func(now time.Time) {
		k.leaving = true
		k.evacuate()
		k.evacuateKeys()
		k.startMoves(now)
	})
}

// HasLeft reports whether a leaving node has handed its slots over and ended its lease for good.
func (k *Manager) HasLeft() bool {
	var left bool
	k.update(func(time.Time) {
		row, joined := k.holder.Row()
		if !k.leaving || !joined {
			left = k.leaving
			return
		}
		if !k.left && (k.holdings.count() == 0 || k.isOnlyCandidate()) && len(k.batches) == 0 {
			k.left = true
		}
		left = row.State == ibislease.StateLeft
	})
	return left
}

// isOnlyCandidate reports whether no other member can own the slots.
func (k *Manager) isOnlyCandidate() bool {
	for _, p := range k.view.Load().byService[k.service] {
		if p.Member != k.holder.Self() && k.acceptsSlots(p.Member) && !k.domains.out[p.Place.Domain] {
			return false
		}
	}
	return true
}
