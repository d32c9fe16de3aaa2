package ibisdocsync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

const (
	// exchangePeriod is the time between two exchanges of versions; each goes to the next neighbour in turn.
	exchangePeriod = 2 * time.Second
	// otherNeighbours is the number of neighbours from any failure domain, besides the one in the own failure domain.
	otherNeighbours = 2
)

// neighboursOf returns the nodes that follow self in the ring of all live nodes, ordered by name: the first one in its
// failure domain, and the first otherNeighbours of all others.
func neighboursOf(self ibismember.Node, live []ibismember.Node) []ibisid.NodeName {
	ring := slices.Clone(live)
	slices.SortFunc(ring, func(a, b ibismember.Node) int { return cmp.Compare(a.Name, b.Name) })
	selfIndex, _ := slices.BinarySearchFunc(ring, self.Name, func(m ibismember.Node, name ibisid.NodeName) int { return cmp.Compare(m.Name, name) })
	var own, others []ibisid.NodeName
	for i := range ring {
		m := ring[(selfIndex+i)%len(ring)]
		switch {
		case m.Name == self.Name:
		case m.Place.Domain == self.Place.Domain && len(own) == 0:
			own = append(own, m.Name)
		case len(others) < otherNeighbours:
			others = append(others, m.Name)
		}
	}
	return append(own, others...)
}

// exchange swaps versions with the next neighbour, so that this node has evidence that it is not cut off from updates.
func (r *Replicator) exchange(ctx context.Context) {
	r.mu.Lock()
	var to ibisid.NodeName
	if len(r.neighbours) > 0 {
		r.exchanges++
		to = r.neighbours[r.exchanges%len(r.neighbours)]
	}
	r.mu.Unlock()
	if to != "" {
		go r.exchangeWith(ctx, to)
	}
}

func (r *Replicator) exchangeWith(ctx context.Context, to ibisid.NodeName) {
	args := HintArgs{
		From:    r.self.Name,
		Version: r.inForce(),
	}
	var reply HintArgs
	if err := r.call(ctx, to, "Exchange", &args, &reply); err != nil || reply.Version == "" {
		return
	}
	r.update(ibisrollout.HintEvent{
		From:    reply.From,
		Version: reply.Version,
	})
}

// Exchange applies a neighbour's version, if it has one, and replies with this node's own; it returns nil.
func (s *Service) Exchange(args *HintArgs, reply *HintArgs) error {
	if args.Version != "" {
		s.replicator.update(ibisrollout.HintEvent{
			From:    args.From,
			Version: args.Version,
		})
	}
	reply.From = s.replicator.self.Name
	reply.Version = s.replicator.inForce()
	return nil
}
