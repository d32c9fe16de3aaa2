package ibisgossip_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
)

const round = 100 * time.Millisecond

// graph simulates many gossipers in rounds. A message arrives one round after it was sent.
type graph struct {
	nodes     []ibisgossip.Neighbour
	gossipers []*ibisgossip.Gossiper
	index     map[ibisid.NodeName]int
	links     []map[int]struct{}
	rnd       *rand.Rand
	loss      float64
	now       time.Time
	inFlight  []envelope
	onRow     func(to int, row ibisgossip.Row)
	dropped   int
}

type envelope struct {
	from, to int
	message  ibisgossip.Message
}

func newGraph(n, domains int) *graph {
	g := &graph{
		index: make(map[ibisid.NodeName]int),
		rnd:   rand.New(rand.NewPCG(7, 7)),
		now:   time.Unix(1000, 0),
		links: make([]map[int]struct{}, n),
	}
	for i := range n {
		node := ibisgossip.Neighbour{
			Name: ibisid.NodeName(fmt.Sprintf("node-%05d", i)),
			Place: ibisid.Place{
				Region: ibisid.RegionName(fmt.Sprintf("region-%d", i%4)),
				Domain: ibisid.DomainName(fmt.Sprintf("domain-%02d", i%domains)),
			},
		}
		g.nodes = append(g.nodes, node)
		g.index[node.Name] = i
		g.gossipers = append(g.gossipers, ibisgossip.New(ibisgossip.NewView(node.Place.Region)))
		g.links[i] = make(map[int]struct{})
	}
	g.link()
	return g
}

func (g *graph) link() {
	byDomain := make(map[ibisid.DomainName][]ibisgossip.Neighbour)
	for _, n := range g.nodes {
		byDomain[n.Place.Domain] = append(byDomain[n.Place.Domain], n)
	}
	for i, n := range g.nodes {
		for _, c := range ibisgossip.ChooseNeighbours(n, g.sample(n, byDomain)) {
			j := g.index[c.Name]
			g.links[i][j] = struct{}{}
			g.links[j][i] = struct{}{}
		}
	}
	for i := range g.nodes {
		var list []ibisgossip.Neighbour
		for _, j := range slices.Sorted(maps.Keys(g.links[i])) {
			list = append(list, g.nodes[j])
		}
		g.gossipers[i].Update(ibisgossip.LinksEvent{Neighbours: list}, g.now)
	}
}

// sample returns all nodes of the node's failure domain and 64 random nodes, to keep the setup of large graphs fast.
func (g *graph) sample(n ibisgossip.Neighbour, byDomain map[ibisid.DomainName][]ibisgossip.Neighbour) []ibisgossip.Neighbour {
	live := append([]ibisgossip.Neighbour(nil), byDomain[n.Place.Domain]...)
	for range 64 {
		live = append(live, g.nodes[g.rnd.IntN(len(g.nodes))])
	}
	return live
}

func (g *graph) addRows(i int, rows ...ibisgossip.Row) {
	g.sendAll(i, g.gossipers[i].Update(ibisgossip.LocalRowsEvent{Rows: rows}, g.now))
}

func (g *graph) sendAll(from int, effects []ibisgossip.Effect) {
	for _, effect := range effects {
		send, ok := effect.(ibisgossip.SendEffect)
		if !ok {
			continue
		}
		g.inFlight = append(g.inFlight, envelope{
			from:    from,
			to:      g.index[send.To],
			message: send.Message,
		})
	}
}

// step delivers the messages in flight and sends every node one TickEvent.
func (g *graph) step() {
	g.now = g.now.Add(round)
	inFlight := g.inFlight
	g.inFlight = nil
	for _, e := range inFlight {
		if g.rnd.Float64() < g.loss {
			g.dropped++
			continue
		}
		for _, row := range e.message.Rows {
			if g.onRow != nil {
				g.onRow(e.to, row)
			}
		}
		g.sendAll(e.to, g.gossipers[e.to].Update(ibisgossip.MessageEvent{
			From:    g.nodes[e.from].Name,
			Message: e.message,
		}, g.now))
	}
	for i, s := range g.gossipers {
		g.sendAll(i, s.Update(ibisgossip.TickEvent{}, g.now))
	}
}

// roundsUntil runs rounds until every node in the row's homes has the version, up to the limit. It returns the number of
// rounds and whether all nodes have the version.
func (g *graph) roundsUntil(row ibisgossip.Row, limit int) (int, bool) {
	for r := range limit {
		if g.countUpToDate(row) == len(g.gossipers) {
			return r, true
		}
		g.step()
	}
	return limit, g.countUpToDate(row) == len(g.gossipers)
}

func (g *graph) countUpToDate(row ibisgossip.Row) int {
	n := 0
	for _, s := range g.gossipers {
		if !row.AllowedIn(s.View().Region()) || s.View().Version(row.Key) == row.Version {
			n++
		}
	}
	return n
}

func (g *graph) sentBytes() int {
	n := 0
	for _, s := range g.gossipers {
		n += s.SentBytes()
	}
	return n
}
