package ibisquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

const (
	// blockingServers is the number of incarnations of servers that must have ended under a request until it is blocked. Most
	// requests that a server runs when it ends are not the cause, and hardly any is under way at three ends.
	blockingServers = 3
	// Retention is how long a request stays a suspect, or blocked, after the last server has ended under it.
	Retention = time.Hour
	// firstTrialDelay is how long after the last server's end a blocked request is tried once, by one node; each further end multiplies
	// it by trialDelayFactor. Requests that many callers share would otherwise stay blocked after a mass failure that had another
	// cause, since nothing could clear them.
	firstTrialDelay  = time.Minute
	trialDelayFactor = 10
	// maxSuspects bounds the number of suspects; beyond it, the one whose last server ended first is dropped.
	maxSuspects = 4096
)

// Server names one incarnation of a backend server.
type Server string

// Event is an input of Ledger.Update.
type Event interface{ quarantineEvent() }

// ServerEndedEvent reports that a backend server ended while it had a request.
type ServerEndedEvent struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Server is the server.
	Server Server
	// Shared reports that the event comes from the store, where all nodes see it.
	Shared bool
}

// TriedEvent reports that this node tries a blocked request once.
type TriedEvent struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
}

// AnsweredEvent reports that a backend server ran a request to an answer.
type AnsweredEvent struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
}

// WithdrawnEvent reports that another node has withdrawn a server's end, since a server ran the request to an answer.
type WithdrawnEvent struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Server is the server.
	Server Server
}

func (ServerEndedEvent) quarantineEvent() {}
func (TriedEvent) quarantineEvent()       {}
func (AnsweredEvent) quarantineEvent()    {}
func (WithdrawnEvent) quarantineEvent()   {}

// Effect is an output of Ledger.Update.
type Effect interface{ quarantineEffect() }

// ShareEffect asks to share a server's end with the other nodes.
type ShareEffect struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Server is the server.
	Server Server
}

// WithdrawEffect asks to withdraw the ends of servers that are shared with the other nodes.
type WithdrawEffect struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Servers lists the servers in order.
	Servers []Server
}

// BlockEffect reports that a request is blocked from now on.
type BlockEffect struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Servers is the number of servers that ended under it.
	Servers int
}

func (ShareEffect) quarantineEffect()    {}
func (WithdrawEffect) quarantineEffect() {}
func (BlockEffect) quarantineEffect()    {}

// Ledger holds the requests under which backend servers ended. It is not safe for concurrent use.
type Ledger struct {
	suspects map[Fingerprint]*suspect
	answered answered
}

// suspect is a request under which servers ended.
type suspect struct {
	servers ibisset.Set[Server]
	// last is when the last server's end became known.
	last time.Time
	// triedAt is when this node last tried the request while it was blocked.
	triedAt time.Time
}

func (s *suspect) expired(now time.Time) bool { return now.Sub(s.last) >= Retention }

// New returns a ledger without suspects.
func New() *Ledger {
	return &Ledger{
		suspects: make(map[Fingerprint]*suspect),
	}
}

// Empty reports whether there is no suspect, so that no request is blocked.
func (l *Ledger) Empty() bool { return len(l.suspects) == 0 }

// Ends returns the number of servers that ended under a request, zero if it is not a suspect any more.
func (l *Ledger) Ends(f Fingerprint, now time.Time) int {
	s := l.suspects[f]
	if s == nil || s.expired(now) {
		return 0
	}
	return len(s.servers)
}

// Blocked reports whether a request is blocked, and when it is tried or expires, whichever is first.
func (l *Ledger) Blocked(f Fingerprint, now time.Time) (nextTrial time.Time, blocked bool) {
	ends := l.Ends(f, now)
	if ends < blockingServers {
		return time.Time{}, false
	}
	s := l.suspects[f]
	delay := firstTrialDelay
	for range ends - blockingServers {
		delay = min(delay*trialDelayFactor, Retention)
	}
	nextTrial = s.last.Add(delay)
	if !s.triedAt.Before(s.last) {
		nextTrial = s.triedAt.Add(delay)
	}
	if expiry := s.last.Add(Retention); expiry.Before(nextTrial) {
		nextTrial = expiry
	}
	return nextTrial, true
}

// Update applies one event and returns the resulting effects.
func (l *Ledger) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case ServerEndedEvent:
		return l.recordEnd(e, now)
	case TriedEvent:
		if s := l.suspects[e.Fingerprint]; s != nil {
			s.triedAt = now
		}
	case AnsweredEvent:
		l.answered.add(e.Fingerprint, now)
		return l.clear(e.Fingerprint)
	case WithdrawnEvent:
		if s := l.suspects[e.Fingerprint]; s != nil {
			s.servers.Remove(e.Server)
			if len(s.servers) == 0 {
				delete(l.suspects, e.Fingerprint)
			}
		}
	}
	return nil
}

// recordEnd records a server's end. It doesn't count for a request that another server has just answered: many callers send that one, so
// that it is often under way, and it doesn't end the servers that run it.
func (l *Ledger) recordEnd(e ServerEndedEvent, now time.Time) []Effect {
	if l.answered.has(e.Fingerprint, now) {
		return withdrawal(e)
	}
	s := l.suspects[e.Fingerprint]
	if s == nil || s.expired(now) {
		l.makeRoom(now)
		s = &suspect{
			servers: make(ibisset.Set[Server]),
		}
		l.suspects[e.Fingerprint] = s
	}
	if s.servers.Has(e.Server) {
		return nil
	}
	s.servers.Add(e.Server)
	s.last = now
	var effects []Effect
	if !e.Shared {
		effects = append(effects, ShareEffect{
			Fingerprint: e.Fingerprint,
			Server:      e.Server,
		})
	}
	if len(s.servers) == blockingServers {
		effects = append(effects, BlockEffect{
			Fingerprint: e.Fingerprint,
			Servers:     len(s.servers),
		})
	}
	return effects
}

// withdrawal returns the effect that withdraws a server's end if it is shared.
func withdrawal(e ServerEndedEvent) []Effect {
	if !e.Shared {
		return nil
	}
	return []Effect{WithdrawEffect{
		Fingerprint: e.Fingerprint,
		Servers:     []Server{e.Server},
	}}
}

// clear removes a suspect that a server ran to an answer.
func (l *Ledger) clear(f Fingerprint) []Effect {
	s := l.suspects[f]
	if s == nil {
		return nil
	}
	delete(l.suspects, f)
	return []Effect{WithdrawEffect{
		Fingerprint: f,
		Servers:     ibisset.Sorted(s.servers),
	}}
}

// makeRoom drops expired suspects and, if there are still too many, the one whose last server ended first.
func (l *Ledger) makeRoom(now time.Time) {
	var oldest Fingerprint
	for f, s := range l.suspects {
		if s.expired(now) {
			delete(l.suspects, f)
			continue
		}
		o := l.suspects[oldest]
		if o == nil || cmp.Or(s.last.Compare(o.last), slices.Compare(f[:], oldest[:])) < 0 {
			oldest = f
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}
