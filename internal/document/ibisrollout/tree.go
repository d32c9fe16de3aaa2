package ibisrollout

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Peer is a live node.
type Peer struct {
	// Name is the name of the node.
	Name ibisid.NodeName
	// Domain is the failure domain of the node.
	Domain ibisid.DomainName
}

// Tree holds one tree of the live nodes for each failure domain; hints go down it and reports go up.
type Tree struct {
	domains     map[ibisid.DomainName][]ibisid.NodeName
	domainNames []ibisid.DomainName
	positions   map[ibisid.NodeName]position
}

// position is the place of a node in the tree of its failure domain; the node at rank 0 is the watcher.
type position struct {
	domain ibisid.DomainName
	rank   int
}

// fanOut is the greatest number of children of a node.
const fanOut = 8

// NewTree returns the tree of the given live nodes; the same set of nodes always gives the same tree.
func NewTree(peers []Peer) Tree {
	t := Tree{
		domains:   make(map[ibisid.DomainName][]ibisid.NodeName),
		positions: make(map[ibisid.NodeName]position, len(peers)),
	}
	scores := make(map[ibisid.NodeName]uint64, len(peers))
	for _, peer := range peers {
		scores[peer.Name] = xxh3.HashString(string(peer.Domain) + "/" + string(peer.Name))
		t.domains[peer.Domain] = append(t.domains[peer.Domain], peer.Name)
	}
	for domain, nodes := range t.domains {
		slices.SortFunc(nodes, func(a, b ibisid.NodeName) int {
			return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
		})
		t.domainNames = append(t.domainNames, domain)
		for rank, node := range nodes {
			t.positions[node] = position{
				domain: domain,
				rank:   rank,
			}
		}
	}
	slices.Sort(t.domainNames)
	return t
}

// Domains returns the failure domains that have a live node, in order.
func (t Tree) Domains() []ibisid.DomainName { return t.domainNames }

// Watcher returns the node that reads the head for a failure domain, and whether there is one.
func (t Tree) Watcher(domain ibisid.DomainName) (ibisid.NodeName, bool) {
	nodes := t.domains[domain]
	if len(nodes) == 0 {
		return "", false
	}
	return nodes[0], true
}

// IsWatcher reports whether the node reads the head for its failure domain.
func (t Tree) IsWatcher(node ibisid.NodeName) bool {
	at, live := t.positions[node]
	return live && at.rank == 0
}

// Parent returns the node that sends hints to a node, and whether there is one.
func (t Tree) Parent(node ibisid.NodeName) (ibisid.NodeName, bool) {
	at, live := t.positions[node]
	if !live || at.rank == 0 {
		return "", false
	}
	return t.domains[at.domain][(at.rank-1)/fanOut], true
}

// Children returns the nodes to which a node sends hints, in order.
func (t Tree) Children(node ibisid.NodeName) []ibisid.NodeName {
	at, live := t.positions[node]
	if !live {
		return nil
	}
	nodes := t.domains[at.domain]
	first := min(at.rank*fanOut+1, len(nodes))
	return nodes[first:min(first+fanOut, len(nodes))]
}

// otherWatchers returns the watchers of the other failure domains.
func (t Tree) otherWatchers(node ibisid.NodeName) []ibisid.NodeName {
	var watchers []ibisid.NodeName
	for _, domain := range t.domainNames {
		if watcher := t.domains[domain][0]; watcher != node {
			watchers = append(watchers, watcher)
		}
	}
	return watchers
}
