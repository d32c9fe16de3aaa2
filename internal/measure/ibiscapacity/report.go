package ibiscapacity

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Sizes are the numbers of nodes that slopes are measured with.
var Sizes = []int{100, 1_000, 17_000}

// Report measures every slope and writes the tables; it fails where a node gets no lease or loopback fails.
func Report(ctx context.Context, out io.Writer) error {
	for _, part := range []func(context.Context, io.Writer) error{reportControl, reportCalls, reportConnections} {
		if err := part(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

func reportControl(ctx context.Context, out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "nodes\tslots\trows MB\tview MB\towner MB\tdocument spread MB\tall MB\tstart ms\tat rest ms/s\trow renewed us\tmembers changed ms\tdomain lost ms")
	for _, n := range Sizes {
		c, err := MeasureControl(ctx, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(tab, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%.0f\t%.2f\t%.0f\n", c.Nodes, c.Slots,
			megabytes(c.RowBytes), megabytes(c.ViewMemory), megabytes(c.OwnerMemory), megabytes(c.ForceMemory), megabytes(c.Memory()),
			millis(c.Start), millis(c.Rest), millis(c.RenewedRow)*1e3, millis(c.ChangedRow), millis(c.LostDomain))
	}
	return tab.Flush()
}

func reportCalls(ctx context.Context, out io.Writer) error {
	measured, err := MeasureCalls(ctx)
	if err != nil {
		return err
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\ncall\tbytes both ways\tprocessor us, both ends")
	for _, c := range measured {
		fmt.Fprintf(tab, "%s\t%.0f\t%.0f\n", c.Name, c.Bytes, millis(c.Processor)*1e3)
	}
	return tab.Flush()
}

func reportConnections(ctx context.Context, out io.Writer) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "\nnodes forwarded to\theap KB a connection, both ends\tstacks KB a connection, both ends")
	for _, n := range ConnectionCounts {
		c, err := MeasureConnections(ctx, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(tab, "%d\t%.1f\t%.1f\n", c.Nodes, c.Heap/1e3, c.Stacks/1e3)
	}
	return tab.Flush()
}

func megabytes(n int) float64 { return float64(n) / 1e6 }

func millis(d time.Duration) float64 { return d.Seconds() * 1e3 }
