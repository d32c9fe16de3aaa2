package ibiscli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

type statusCommand struct {
	JSON  bool   `arg:"--json" help:"write the status as JSON"`
	Relay string `arg:"--relay" placeholder:"URL" help:"metrics address of a relay's node, which is asked instead"`
	operatorFlags
}

// Description returns what the command is for, for its help.
func (statusCommand) Description() string {
	return "Shows what a node knows: nodes and their leases, failure domains, slots, and its own histograms of times as bars."
}

func (*statusCommand) examples() string {
	return `  ibisridge status
  ibisridge status --node http://10.0.0.7:8082 --json
  ibisridge status --relay http://10.1.0.38:7380`
}

func (c *statusCommand) run(ctx context.Context, t Terminal) error {
	if c.Relay != "" {
		return c.showRelay(ctx, t)
	}
	status, err := c.client().Status(ctx)
	if err != nil {
		return operatorError(err)
	}
	if c.JSON {
		return writeJSON(t.Out, status)
	}
	ready := green(t, "ready")
	if !status.Ready {
		ready = red(t, "not ready")
	}
	_, _ = fmt.Fprintf(t.Out, "node %s, %s, revision %d\n\n", status.Node, ready, status.Revision)
	writeNodes(t, status)
	writeDomains(t, status)
	writeSlots(t, status)
	writeCounts(t, status)
	writeHistograms(t, status)
	return nil
}

func writeNodes(t Terminal, status ibisoperator.Status) {
	list := table{
		header: []string{"NODE", "REGION", "DOMAIN", "SERVICE", "LEASE", "REVISION", "SLOTS", "ADDRESS"},
	}
	for _, n := range status.Nodes {
		list.add(string(n.Name), string(n.Region), string(n.Domain), orDash(string(n.Service)), orDash(n.Lease),
			strconv.FormatUint(uint64(n.Revision), 10), strconv.Itoa(n.Slots), n.Address)
	}
	list.write(t)
}

func writeDomains(t Terminal, status ibisoperator.Status) {
	list := table{
		header: []string{"REGION", "DOMAIN", "STATE", "NODES", "REVISION", "LAGGING"},
	}
	for _, d := range status.Domains {
		list.add(string(d.Region), string(d.Domain), d.State, strconv.Itoa(d.Nodes),
			strconv.FormatUint(uint64(d.Revision), 10), orDash(joinNames(d.Lagging)))
	}
	_, _ = fmt.Fprintln(t.Out)
	list.write(t)
}

func joinNames(nodes []ibisid.NodeName) string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = string(n)
	}
	return strings.Join(names, ", ")
}

func writeSlots(t Terminal, status ibisoperator.Status) {
	list := table{
		header: []string{"SLOT SPACE", "SLOTS", "OWNED"},
	}
	for _, s := range status.Slots {
		list.add(s.Space, strconv.Itoa(s.Slots), strconv.Itoa(s.Owned))
	}
	_, _ = fmt.Fprintln(t.Out)
	list.write(t)
}

func writeCounts(t Terminal, status ibisoperator.Status) {
	if len(status.Counts) == 0 {
		return
	}
	list := table{
		header: []string{"COUNTER", "OF", "COUNT"},
	}
	for _, c := range status.Counts {
		list.add(c.Name, strings.Join(c.Values, " "), strconv.FormatUint(c.Count, 10))
	}
	_, _ = fmt.Fprintln(t.Out)
	list.write(t)
}

const barMargin = 30

func writeHistograms(t Terminal, status ibisoperator.Status) {
	for _, h := range status.Histograms {
		_, _ = fmt.Fprintf(t.Out, "\n%s %s: %d, median %s, 99 in 100 within %s\n", bold(t, h.Name), h.Value,
			h.Durations.Count(), h.Durations.Quantile(0.5), h.Durations.Quantile(0.99))
		for _, bar := range h.Durations.Bars(max(10, t.Width-barMargin)) {
			_, _ = fmt.Fprintln(t.Out, bar)
		}
	}
}
