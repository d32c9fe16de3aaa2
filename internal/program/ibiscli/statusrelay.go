package ibiscli

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstatus"
)

// showRelay shows what a relay's node knows of itself.
func (c *statusCommand) showRelay(ctx context.Context, t Terminal) error {
	status, err := ibisstatus.Read(ctx, &http.Client{
		Timeout: c.Timeout,
	}, c.Relay)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnavailable, err)
	}
	if c.JSON {
		return writeJSON(t.Out, status)
	}
	state := green(t, "ready")
	switch {
	case status.Stopping:
		state = red(t, "stopping")
	case !status.Ready:
		state = red(t, "not ready")
	}
	_, _ = fmt.Fprintf(t.Out, "node %s in %s, %s, %s\n\n", status.Node, status.Domain, status.Region, state)
	list := table{
		header: []string{"OF", "STATE"},
	}
	list.add("configuration", fmt.Sprintf("version %d, %d routes, in force for %s", status.Config.Version, status.Config.Routes, rounded(status.Config.Age.Duration)))
	list.add("backend server", serverLine(status))
	list.add("lease", fmt.Sprintf("%s left, %d ranges with %d keys, page %d", rounded(status.Lease.Remaining.Duration), status.Lease.Ranges, status.Lease.Keys, status.Lease.Page))
	list.add("gate", fmt.Sprintf("%d running, %d waiting, %d admitted, %d refused", status.Gate.Running, status.Gate.Waiting, status.Gate.Admitted, status.Gate.Refused))
	list.add("nodes", fmt.Sprintf("%d known, unreachable: %s", status.Members, orDash(joinNames(status.Unreachable))))
	for _, d := range status.Store {
		answers := "answers"
		if !d.Reachable {
			answers = red(t, "does not answer")
		}
		list.add("store, table "+d.Table, fmt.Sprintf("%s for %s", answers, rounded(d.Age.Duration)))
	}
	for _, domain := range status.Out {
		list.add("failure domain "+string(domain), "out")
	}
	list.write(t)
	if len(status.RequestCounts) == 0 {
		return nil
	}
	ended := table{
		header: []string{"CLASS", "OUTCOME", "REASON", "REQUESTS"},
	}
	for _, e := range status.RequestCounts {
		ended.add(string(e.Class), string(e.Outcome), orDash(string(e.Reason)), strconv.FormatUint(e.Count, 10))
	}
	_, _ = fmt.Fprintln(t.Out)
	ended.write(t)
	return nil
}

func serverLine(status ibisstatus.Status) string {
	if status.Server.ID == "" {
		return "none has announced itself"
	}
	text := fmt.Sprintf("%s, %s, %d slots, heartbeat %s ago", status.Server.ID, status.Server.State, status.Server.Slots, rounded(status.Server.HeartbeatAge.Duration))
	if status.Server.Silent {
		text += ", silent"
	}
	return text
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
