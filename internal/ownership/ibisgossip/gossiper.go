package ibisgossip

import (
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// DigestInterval is the period between two digest exchanges.
	DigestInterval = 4 * time.Second
	// maxPushBytes is the maximum size of a row that is sent without an offer.
	maxPushBytes = 192
	// requestTimeout is the time after which a requested row may be requested from another neighbour.
	requestTimeout = time.Second
	// maxQueuedHeads bounds the heads that wait to be sent to a neighbour. Digest exchanges repair dropped ones.
	maxQueuedHeads = 8192
	// bucketsPerExchange is the maximum number of differing buckets repaired in one exchange.
	bucketsPerExchange = 8
)

// Gossiper exchanges the rows of one node's view with its neighbours. It is not safe for concurrent use.
type Gossiper struct {
	view   *View
	links  []*link
	byName map[ibisid.NodeName]*link
	// requestedUntil holds the time until which a row is not requested again, by key.
	requestedUntil map[string]time.Time
	nextDigest     time.Time
	digestRound    int
	// requestedBuckets is the number of buckets of the initial snapshot that have been requested.
	requestedBuckets int
	sentBytes        int
}

// link is an open connection to a neighbour, with the heads that wait to be sent over it.
type link struct {
	node Neighbour
	// queue holds the versions of the waiting heads by key.
	queue map[string]ibisplatform.Version
	// order lists the keys in the order of queueing, including keys that are no longer in queue.
	order []string
}

// New returns a gossiper for the view.
func New(view *View) *Gossiper {
	return &Gossiper{
		view:           view,
		byName:         make(map[ibisid.NodeName]*link),
		requestedUntil: make(map[string]time.Time),
	}
}

// View returns the view of the node.
func (g *Gossiper) View() *View { return g.view }

// SentBytes returns the estimated number of bytes of all messages returned so far.
func (g *Gossiper) SentBytes() int { return g.sentBytes }

// Ready reports whether all buckets of the initial snapshot have been requested.
func (g *Gossiper) Ready() bool { return g.requestedBuckets >= Buckets }

// Update handles an event that occurred at the given local time and returns the effects to carry out.
func (g *Gossiper) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case LocalRowsEvent:
		return g.applyRows("", e.Rows)
	case LinksEvent:
		g.setLinks(e.Neighbours)
	case MessageEvent:
		return g.handleMessage(e, now)
	case TickEvent:
		return g.tick(now)
	}
	return nil
}

func (g *Gossiper) setLinks(neighbours []Neighbour) {
	old := g.byName
	g.links = nil
	g.byName = make(map[ibisid.NodeName]*link)
	for _, n := range neighbours[:min(len(neighbours), MaxNeighbours)] {
		l := old[n.Name]
		if l == nil {
			l = &link{queue: make(map[string]ibisplatform.Version)}
		}
		l.node = n
		g.links = append(g.links, l)
		g.byName[n.Name] = l
	}
}

// applyRows applies rows and queues the newer ones for every other neighbour in whose region they are allowed.
func (g *Gossiper) applyRows(from ibisid.NodeName, rows []Row) []Effect {
	var applied []Row
	for _, row := range rows {
		if l := g.byName[from]; l != nil && l.queue[row.Key] <= row.Version {
			delete(l.queue, row.Key)
		}
		if !g.view.Apply(row) {
			continue
		}
		delete(g.requestedUntil, row.Key)
		applied = append(applied, row)
		for _, l := range g.links {
			if l.node.Name != from && row.AllowedIn(l.node.Place.Region) {
				l.enqueue(row)
			}
		}
	}
	if len(applied) == 0 {
		return nil
	}
	return []Effect{RowsChangedEffect{Rows: applied}}
}

// enqueue adds the row's head to the queue. It drops the head of a row that is not queued yet if the queue is full.
func (l *link) enqueue(row Row) {
	if _, queued := l.queue[row.Key]; !queued {
		if len(l.order) >= maxQueuedHeads {
			return
		}
		l.order = append(l.order, row.Key)
	}
	l.queue[row.Key] = row.Version
}

func (g *Gossiper) tick(now time.Time) []Effect {
	var effects []Effect
	for _, l := range g.links {
		effects = g.send(effects, l, g.flush(l))
	}
	if len(g.links) == 0 {
		return effects
	}
	if g.requestedBuckets < Buckets {
		return g.requestSnapshot(effects)
	}
	if now.Before(g.nextDigest) {
		return effects
	}
	g.nextDigest = now.Add(DigestInterval)
	g.digestRound++
	maps.DeleteFunc(g.requestedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	l := g.links[g.digestRound%len(g.links)]
	root := g.view.SharedDigest(l.node.Place.Region).Root()
	return g.send(effects, l, Message{Root: max(root, 1)})
}

// flush clears the queue of a neighbour and returns a message with its small rows and with offers of its large ones.
func (g *Gossiper) flush(l *link) Message {
	var m Message
	for _, key := range l.order {
		if _, queued := l.queue[key]; !queued {
			continue
		}
		row, _ := g.view.Get(key)
		switch {
		case !row.AllowedIn(l.node.Place.Region):
		case row.Bytes() > maxPushBytes:
			m.Offers = append(m.Offers, row.head())
		default:
			m.Rows = append(m.Rows, row)
		}
	}
	clear(l.queue)
	l.order = l.order[:0]
	return m
}

func (g *Gossiper) send(effects []Effect, l *link, m Message) []Effect {
	if m.empty() {
		return effects
	}
	m.Rows = slices.DeleteFunc(m.Rows, func(r Row) bool { return !r.AllowedIn(l.node.Place.Region) })
	g.sentBytes += m.Bytes()
	return append(effects, SendEffect{
		To:      l.node.Name,
		Message: m,
	})
}
