package ibisexperiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibismodel"
)

// Header names the columns of Cells.
func Header() []string {
	return []string{"POLICY", "WORTH", "WORST 5 S", "SERVED", "REFUSALS", "OF THEM LATE", "REFUSAL P99", "IMBALANCE", "RUNS PER REQUEST", "MB BETWEEN REGIONS", "FAILED BY CALLS", "COLD OVER", "COLD CRASHES"}
}

// Cells returns a row's figures as texts, means over the seeds.
func (r Row) Cells() []string {
	number := func(format string, figure func(ibismodel.Result) float64) string {
		return fmt.Sprintf(format, r.Mean(figure))
	}
	return []string{
		string(r.Policy),
		number("%.3f", func(x ibismodel.Result) float64 { return x.Worth }),
		number("%.3f", func(x ibismodel.Result) float64 { return x.Worst }),
		number("%.3f", func(x ibismodel.Result) float64 { return x.Served }),
		number("%.0f", func(x ibismodel.Result) float64 { return float64(refusals(x)) }),
		number("%.3f", func(x ibismodel.Result) float64 { return float64(lateRefusals(x)) / float64(max(1, refusals(x))) }),
		r.span(func(x ibismodel.Result) time.Duration { return longestRefusal(x) }).String(),
		number("%.2f", func(x ibismodel.Result) float64 { return x.Imbalance }),
		number("%.2f", func(x ibismodel.Result) float64 { return float64(x.Arrivals) / float64(max(1, asked(x))) }),
		number("%.1f", func(x ibismodel.Result) float64 { return float64(x.RegionBytes) / 1e6 }),
		number("%.3f", func(x ibismodel.Result) float64 { return float64(x.FailedByCalls) / float64(max(1, x.CallingRuns)) }),
		number("%.0f", func(x ibismodel.Result) float64 { return float64(x.ColdOver) }),
		number("%.0f", func(x ibismodel.Result) float64 { return float64(x.ColdFalls) }),
	}
}

func (r Row) span(figure func(ibismodel.Result) time.Duration) time.Duration {
	return time.Duration(r.Mean(func(x ibismodel.Result) float64 { return float64(figure(x)) })).Round(time.Millisecond)
}

func longestRefusal(r ibismodel.Result) time.Duration {
	var longest time.Duration
	for _, c := range r.Classes {
		longest = max(longest, c.RefusalP99)
	}
	return longest
}

// total sums a count over the classes.
func total(r ibismodel.Result, count func(ibismodel.ClassResult) int) int {
	n := 0
	for _, c := range r.Classes {
		n += count(c)
	}
	return n
}

func asked(r ibismodel.Result) int {
	return total(r, func(c ibismodel.ClassResult) int { return c.Asked })
}

func refusals(r ibismodel.Result) int {
	return total(r, func(c ibismodel.ClassResult) int { return c.Refusals })
}

func lateRefusals(r ibismodel.Result) int {
	return total(r, func(c ibismodel.ClassResult) int { return c.LateRefusals })
}

// ClassHeader names the columns of ClassCells.
func ClassHeader() []string {
	return []string{"POLICY", "CLASS", "ASKED", "WORTH", "IN TARGET", "LATE", "REFUSED", "FAILED", "HELD", "P50", "P99"}
}

// ClassCells returns the figures of each class as texts, means over the seeds.
func (r Row) ClassCells() [][]string {
	var out [][]string
	for i, class := range r.Results[0].Classes {
		count := func(figure func(ibismodel.ClassResult) int) string {
			return fmt.Sprintf("%.0f", r.Mean(func(x ibismodel.Result) float64 { return float64(figure(x.Classes[i])) }))
		}
		out = append(out, []string{
			string(r.Policy), string(class.Class),
			count(func(c ibismodel.ClassResult) int { return c.Asked }),
			fmt.Sprintf("%.3f", r.Mean(func(x ibismodel.Result) float64 { return x.Classes[i].Share() })),
			count(func(c ibismodel.ClassResult) int { return c.InTarget }),
			count(func(c ibismodel.ClassResult) int { return c.Late }),
			count(func(c ibismodel.ClassResult) int { return c.Refused }),
			count(func(c ibismodel.ClassResult) int { return c.Failed }),
			count(func(c ibismodel.ClassResult) int { return c.Held }),
			r.span(func(x ibismodel.Result) time.Duration { return x.Classes[i].P50 }).String(),
			r.span(func(x ibismodel.Result) time.Duration { return x.Classes[i].P99 }).String(),
		})
	}
	return out
}

// Write writes a report in Markdown with its plots into a directory, which it makes; it fails where a file can't be written.
func (e Experiment) Write(dir string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "# %s\n\n%s\n\nMeans over seeds %v, %s of load, the first %s not counted.\n\n", e.Name, e.About, e.Seeds, e.Model.Duration, e.Model.Warmup)
	cells := make([][]string, 0, len(rows))
	var classes [][]string
	for _, r := range rows {
		cells = append(cells, r.Cells())
		classes = append(classes, r.ClassCells()...)
	}
	writeTable(&text, Header(), cells)
	writeTable(&text, ClassHeader(), classes)
	plots, err := e.writePlots(dir, rows)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for _, p := range plots {
		_, _ = fmt.Fprintf(&text, "![%s](%s)\n\n", p.title, p.file)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func writeTable(out *strings.Builder, header []string, rows [][]string) {
	_, _ = fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" --- |", len(header)))
	for _, row := range rows {
		_, _ = fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
	}
	out.WriteString("\n")
}
