package ibisgossip

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// handleMessage applies a message from a neighbour and replies. Rows that are not allowed in the neighbour's region are
// treated as absent.
func (g *Gossiper) handleMessage(e MessageEvent, now time.Time) []Effect {
	l := g.byName[e.From]
	if l == nil {
		return nil
	}
	m := e.Message
	region := l.node.Place.Region
	effects := g.applyRows(e.From, m.Rows)
	var reply Message
	reply.Wants = g.requestNewer(l, m.Offers, now)
	for _, key := range m.Wants {
		if row, ok := g.view.Get(key); ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if m.Root != 0 {
		reply.Digest = g.digestIfDifferent(m.Root, region)
	}
	if m.Digest != nil {
		reply.Compare, reply.Heads = g.differingHeads(*m.Digest, region)
	}
	if len(m.Compare) > 0 {
		rows, wants := g.compareHeads(m, l, now)
		reply.Rows = append(reply.Rows, rows...)
		reply.Wants = append(reply.Wants, wants...)
	}
	if m.Snapshot > 0 && m.Snapshot <= Buckets {
		reply.Rows = append(reply.Rows, g.view.Bucket(m.Snapshot-1, region)...)
	}
	return g.send(effects, l, reply)
}

// requestNewer returns the keys of offered rows that are newer than the copies and were not requested within requestTimeout.
func (g *Gossiper) requestNewer(l *link, offers []Head, now time.Time) []string {
	var keys []string
	for _, h := range offers {
		if l.queue[h.Key] <= h.Version {
			delete(l.queue, h.Key)
		}
		if g.view.Version(h.Key) >= h.Version || now.Before(g.requestedUntil[h.Key]) {
			continue
		}
		g.requestedUntil[h.Key] = now.Add(requestTimeout)
		keys = append(keys, h.Key)
	}
	return keys
}

// digestIfDifferent returns the digest of the rows shared with the region, or nil if its root is the given one. A root of
// zero is sent as 1, since zero stands for no root in a message.
func (g *Gossiper) digestIfDifferent(root uint64, region ibisid.RegionName) *Digest {
	shared := g.view.SharedDigest(region)
	if max(shared.Root(), 1) == root {
		return nil
	}
	return &shared
}

// differingHeads returns up to bucketsPerExchange buckets that differ, and the heads of their rows. Each digest round starts
// at another bucket.
func (g *Gossiper) differingHeads(remote Digest, region ibisid.RegionName) ([]int, []Head) {
	local := g.view.SharedDigest(region)
	var buckets []int
	var heads []Head
	for i := range Buckets {
		b := (i + g.digestRound*bucketsPerExchange) % Buckets
		if local[b] == remote[b] || len(buckets) == bucketsPerExchange {
			continue
		}
		buckets = append(buckets, b)
		for _, row := range g.view.Bucket(b, region) {
			heads = append(heads, row.head())
		}
	}
	return buckets, heads
}

// compareHeads returns the rows of which the sender has an older version or none, and the keys of which it has a newer one.
func (g *Gossiper) compareHeads(m Message, l *link, now time.Time) ([]Row, []string) {
	remote := make(map[string]Head, len(m.Heads))
	for _, h := range m.Heads {
		remote[h.Key] = h
	}
	var rows []Row
	for _, b := range m.Compare {
		if b < 0 || b >= Buckets {
			continue
		}
		for _, row := range g.view.Bucket(b, l.node.Place.Region) {
			if remote[row.Key].Version < row.Version {
				rows = append(rows, row)
			}
		}
	}
	return rows, g.requestNewer(l, m.Heads, now)
}

// requestSnapshot requests the initial copies of a new node, one bucket per tick, from its neighbours in turn. Digest
// exchanges repair lost responses.
func (g *Gossiper) requestSnapshot(effects []Effect) []Effect {
	g.requestedBuckets++
	l := g.links[g.requestedBuckets%len(g.links)]
	return g.send(effects, l, Message{Snapshot: g.requestedBuckets})
}

// Links returns the sorted names of the neighbours.
func (g *Gossiper) Links() []ibisid.NodeName {
	names := make([]ibisid.NodeName, 0, len(g.links))
	for _, l := range g.links {
		names = append(names, l.node.Name)
	}
	slices.Sort(names)
	return names
}
