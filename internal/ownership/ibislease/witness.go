package ibislease

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// MaxWatched is the greatest number of members that a witness has in memory.
	MaxWatched = 4096
	// suspectReportDuration is the time after a member's last renewal at which a witness stops reporting it as a suspect.
	suspectReportDuration = 10 * time.Minute
)

// Witness acknowledges heartbeats and promises never to renew leases that have lapsed.
type Witness struct {
	terms   Terms
	self    ibisid.Member
	started time.Time
	watched map[ibisid.Member]*watchedMember
	// maxEvicted is the greatest incarnation among the members dropped from watched.
	maxEvicted ibisid.Incarnation
	maxWatched int
	// nextReport is the time before which no suspects are reported.
	nextReport time.Time
}

// watchedMember is a witness's state of one member; dead is set once the table lists the member as dead.
type watchedMember struct {
	// renewedAt is the time from which the witness waits a term before a promise: no earlier than the holder sent the latest
	// heartbeat whose acknowledgement may count.
	renewedAt time.Time
	// newestSent is the latest time at which the holder sent a heartbeat that arrived.
	newestSent time.Time
	// unheard reports that by that heartbeat the holder doesn't hear the witness.
	unheard  bool
	promised bool
	dead     bool
}

// NewWitness returns a witness without memory of earlier heartbeats; it promises nothing before a term has passed.
func NewWitness(terms Terms, self ibisid.Member, now time.Time) *Witness {
	return &Witness{
		terms:      terms,
		self:       self,
		started:    now,
		watched:    make(map[ibisid.Member]*watchedMember),
		maxWatched: MaxWatched,
	}
}

// Watched returns the number of members in the witness's memory.
func (w *Witness) Watched() int { return len(w.watched) }

// Update handles a HeartbeatEvent, PromiseRequestEvent, DeadEvent or TickEvent and returns the effects to carry out.
func (w *Witness) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case HeartbeatEvent:
		return w.handleHeartbeat(e, now)
	case PromiseRequestEvent:
		return w.handlePromiseRequest(e, now)
	case DeadEvent:
		w.markDead(e.Members)
	case TickEvent:
		return w.tick(now)
	}
	return nil
}

func (w *Witness) markDead(members []ibisid.Member) {
	for _, m := range members {
		if entry := w.watched[m]; entry != nil {
			entry.dead = true
		}
	}
}

func (w *Witness) handleHeartbeat(e HeartbeatEvent, now time.Time) []Effect {
	if e.Witness != w.self {
		return nil
	}
	entry := w.watch(e.Holder, now)
	if entry == nil {
		return nil
	}
	if !entry.promised {
		w.renew(entry, e, now)
	}
	return []Effect{AckEffect{
		Witness:   w.self,
		Holder:    e.Holder,
		Sent:      e.Sent,
		Refused:   entry.promised,
		Unrenewed: !entry.promised && entry.unheard,
	}}
}

// renew renews the lease unless the holder doesn't hear the witness. A heartbeat that arrives after one that was sent later is
// treated like that one, since the acknowledgement of the later one outlasts its own.
func (w *Witness) renew(entry *watchedMember, e HeartbeatEvent, now time.Time) {
	late := !e.Sent.IsZero() && !e.Sent.After(entry.newestSent) && w.terms.mutation != mutateIgnoreOrder
	if !late {
		entry.newestSent = e.Sent
		entry.unheard = e.Unheard > 0
	}
	if !entry.unheard {
		entry.renewedAt = now
		return
	}
	if late {
		return
	}
	heardAt := now.Add(-w.terms.leastElapsed(e.Unheard))
	if heardAt.Before(w.started) {
		heardAt = w.started
	}
	if heardAt.Before(entry.renewedAt) {
		entry.renewedAt = heardAt
	}
}

// watch returns the state of a member and adds it if there is room. It returns nil for a member that the witness may have
// promised and evicted, and where there is no room.
func (w *Witness) watch(m ibisid.Member, now time.Time) *watchedMember {
	if entry := w.watched[m]; entry != nil {
		return entry
	}
	if len(w.watched) >= w.maxWatched {
		w.evictLapsed(now)
	}
	if len(w.watched) >= w.maxWatched || m.Incarnation <= w.maxEvicted {
		return nil
	}
	entry := &watchedMember{renewedAt: w.started}
	w.watched[m] = entry
	return entry
}

// evictLapsed drops every member that was not renewed for a term and raises maxEvicted. A member that is not in memory is then
// not renewed unless its incarnation is greater than maxEvicted, since the witness may have promised an evicted one.
func (w *Witness) evictLapsed(now time.Time) {
	for m, entry := range w.watched {
		if now.Sub(entry.renewedAt) < w.terms.Term {
			continue
		}
		w.maxEvicted = max(w.maxEvicted, m.Incarnation)
		delete(w.watched, m)
	}
}

func (w *Witness) handlePromiseRequest(e PromiseRequestEvent, now time.Time) []Effect {
	if e.Witness != w.self {
		return nil
	}
	var promised []ibisid.Member
	for _, m := range e.Members {
		if w.promise(m, now) {
			promised = append(promised, m)
		}
	}
	if len(promised) == 0 {
		return nil
	}
	return []Effect{PromisesEffect{
		Witness: w.self,
		Members: promised,
	}}
}

// promise reports whether the witness never renews the member's lease again, and marks the member as promised if a term has
// passed since its last renewal. A member that may have been evicted counts as promised once a term has passed since the start
// of the witness, which ignores its heartbeats.
func (w *Witness) promise(m ibisid.Member, now time.Time) bool {
	entry := w.watch(m, now)
	if entry == nil {
		return m.Incarnation <= w.maxEvicted && w.termElapsed(w.started, now)
	}
	if !entry.promised && !w.termElapsed(entry.renewedAt, now) {
		return false
	}
	entry.promised = true
	return true
}

func (w *Witness) termElapsed(since, now time.Time) bool {
	return now.Sub(since) >= w.terms.Term || w.terms.mutation == mutateNoWitnessWait
}

func (w *Witness) tick(now time.Time) []Effect {
	if now.Before(w.nextReport) {
		return nil
	}
	var suspects []ibisid.Member
	for m, entry := range w.watched {
		sinceRenewal := now.Sub(entry.renewedAt)
		if entry.dead || sinceRenewal < w.terms.Term || sinceRenewal > suspectReportDuration {
			continue
		}
		suspects = append(suspects, m)
	}
	if len(suspects) == 0 {
		return nil
	}
	w.nextReport = now.Add(w.terms.Heartbeat)
	slices.SortFunc(suspects, compareMembers)
	return []Effect{SuspectEffect{Members: suspects}}
}
