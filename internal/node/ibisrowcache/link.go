package ibisrowcache

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

// incomingLinkTimeout is the time after its last message for which a node that chose this one stays a neighbour.
const incomingLinkTimeout = 2 * time.Minute

// links holds the neighbours of a node: those that it chose, and those that chose it (incoming, by the time of their last
// message).
type links struct {
	self     ibisgossip.Neighbour
	live     map[ibisid.NodeName]ibisgossip.Neighbour
	chosen   []ibisgossip.Neighbour
	incoming map[ibisid.NodeName]time.Time
	changed  bool
}

func newLinks(self ibisgossip.Neighbour) links {
	return links{
		self:     self,
		live:     make(map[ibisid.NodeName]ibisgossip.Neighbour),
		incoming: make(map[ibisid.NodeName]time.Time),
	}
}

// setLive chooses neighbours among the live nodes.
func (l *links) setLive(live []ibismember.Node) {
	all := make([]ibisgossip.Neighbour, len(live))
	clear(l.live)
	for i, n := range live {
		all[i] = neighbour(n)
		l.live[n.Name] = all[i]
	}
	l.chosen = ibisgossip.ChooseNeighbours(l.self, all)
	l.changed = true
}

// recordMessage records the time of a message from a live node, which may have chosen this one as a neighbour.
func (l *links) recordMessage(from ibisid.NodeName, now time.Time) {
	if _, live := l.live[from]; !live {
		return
	}
	_, known := l.incoming[from]
	l.changed = l.changed || !known
	l.incoming[from] = now
}

// expire removes the incoming links of nodes that are not live or have sent nothing for incomingLinkTimeout. It reports
// whether the links have changed since the last call.
func (l *links) expire(now time.Time) bool {
	for name, at := range l.incoming {
		_, live := l.live[name]
		if !live || now.Sub(at) > incomingLinkTimeout {
			delete(l.incoming, name)
			l.changed = true
		}
	}
	changed := l.changed
	l.changed = false
	return changed
}

// list returns the neighbours that the node chose, followed by those that chose it, ordered by name.
func (l *links) list() []ibisgossip.Neighbour {
	list := slices.Clone(l.chosen)
	names := make([]ibisid.NodeName, 0, len(l.incoming))
	for name := range l.incoming {
		if !slices.ContainsFunc(list, func(n ibisgossip.Neighbour) bool { return n.Name == name }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		list = append(list, l.live[name])
	}
	return list
}

// updateLinks applies the live nodes, which are empty if they have not changed, and passes changed links to the core.
func (r *Rows) updateLinks(live []ibismember.Node, now time.Time) {
	r.mu.Lock()
	if len(live) > 0 {
		r.links.setLive(live)
		for _, n := range live {
			r.addresses[n.Name] = n.Address
		}
	}
	if !r.links.expire(now) {
		r.mu.Unlock()
		return
	}
	list := r.links.list()
	r.mu.Unlock()
	r.update(ibisgossip.LinksEvent{
		Neighbours: list,
	})
}
