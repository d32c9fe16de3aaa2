package ibisgate

import (
	"fmt"

	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// Announce applies an announcement of the backend server. A restarted server, or another address or capacity, restarts the
// gate. It fails if the announcement is of another service than the known one, and has no effect then: a node serves one service
// only, so another writer has sent it. The first announcement may itself be of another writer, so the service that is announced twice first
// stays.
func (g *Gate) Announce(a ibisbackend.Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.announcement
	if g.core != nil && a.Service != previous.Service && (g.settled || g.rival != a.Service) {
		g.rival = a.Service
		return fmt.Errorf("service %q: the backend server of this node is of service %q", a.Service, previous.Service)
	}
	g.settled = g.core != nil
	g.announcement = a
	g.announcedAt = g.timer.Now()
	switch {
	case g.core == nil || previous.Service != a.Service || previous.Run != a.Run || previous.Address != a.Address || previous.Slots != a.Slots || previous.Connections != a.Connections:
		g.restart(g.core != nil && previous.Run != a.Run)
	case a.Cold && !previous.Cold:
		g.apply(ibisadmit.ColdEvent{})
	}
	return nil
}

// LatestAnnouncement returns the latest announcement of the backend server and whether it is younger than
// ibisbackend.AnnounceTimeout.
func (g *Gate) LatestAnnouncement() (ibisbackend.Announcement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announcement, g.serverAlive()
}

// HasSettled reports whether the service of the backend server has been announced twice, so that it stays.
func (g *Gate) HasSettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.settled
}

func (g *Gate) serverAlive() bool {
	return g.client != nil && g.timer.Now().Sub(g.announcedAt) < ibisbackend.AnnounceTimeout
}

// restart refuses the waiting requests and replaces client and core. A restarted server counts as cold even if its
// announcement does not have Cold set.
func (g *Gate) restart(serverRestarted bool) {
	g.refuseWaiting()
	if g.client != nil {
		g.client.Close()
	}
	a := g.announcement
	slots := a.Slots
	if g.service.Concurrency > 0 {
		slots = min(slots, g.service.Concurrency)
	}
	g.client = ibisbackend.NewClient(a.Address, a.Connections)
	g.core = ibisadmit.New(ibisadmit.Config{
		Slots:       slots,
		Connections: a.Connections,
		ColdStart:   g.service.ColdStart.Duration,
		StartCold:   a.Cold || serverRestarted,
		KeepQueue:   g.service.KeySpace != "",
		Policy:      g.policy,
	}, g.timer.Now())
	if g.domain.OutOfService {
		g.apply(g.domain)
	}
	if g.draining {
		g.apply(ibisadmit.DrainEvent{})
	}
}

// refuseWaiting refuses all requests that are waiting for a backend server that has been replaced.
func (g *Gate) refuseWaiting() {
	for id := range g.waiting {
		g.wake(id, decision{
			refusal: &RefusedError{
				Reason:     ReasonNoServer,
				RetryAfter: noServerRetryAfter,
			},
		})
	}
}
