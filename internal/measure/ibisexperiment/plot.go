package ibisexperiment

import (
	"image/color"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/ibisridge/ibisridge/internal/measure/ibismodel"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 10 * vg.Millimeter / 3
)

// colors tell policies apart, also without colour vision.
var colors = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 86, G: 86, B: 86, A: 255},
}

// drawn is a plot in a file.
type drawn struct {
	title string
	file  string
}

// writePlots draws worth over time, and by class worth, times to an answer and to a refusal, and the imbalance.
func (e Experiment) writePlots(dir string, rows []Row) ([]drawn, error) {
	type bars struct {
		drawn
		unit   string
		figure func(ibismodel.Result, int) float64
	}
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	all := []bars{
		{drawn{"Worth by class", "classes.svg"}, "share of what was owed", func(r ibismodel.Result, i int) float64 { return r.Classes[i].Share() }},
		{drawn{"Median time to an answer", "median.svg"}, "seconds", func(r ibismodel.Result, i int) float64 { return seconds(r.Classes[i].P50) }},
		{drawn{"Time that 99 in 100 answers kept", "p99.svg"}, "seconds", func(r ibismodel.Result, i int) float64 { return seconds(r.Classes[i].P99) }},
		{drawn{"Time that 99 in 100 refusals took", "refusals.svg"}, "seconds", func(r ibismodel.Result, i int) float64 { return seconds(r.Classes[i].RefusalP99) }},
	}
	out := []drawn{{"Worth over time", "worth.svg"}}
	if err := worthOverTime(out[0].title, filepath.Join(dir, out[0].file), rows); err != nil {
		return nil, err
	}
	var classes []string
	for _, c := range rows[0].Results[0].Classes {
		classes = append(classes, string(c.Class))
	}
	for _, b := range all {
		if err := groupedBars(b.title, b.unit, filepath.Join(dir, b.file), classes, rows, b.figure); err != nil {
			return nil, err
		}
		out = append(out, b.drawn)
	}
	last := drawn{"Load of the busiest server over the mean", "imbalance.svg"}
	err := groupedBars(last.title, "times", filepath.Join(dir, last.file), []string{"all services"}, rows,
		func(r ibismodel.Result, _ int) float64 { return r.Imbalance })
	return append(out, last), err
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

func worthOverTime(title, file string, rows []Row) error {
	p := newPlot(title, "share of what was owed")
	p.X.Label.Text = "seconds"
	p.Y.Max = 1
	for i, r := range rows {
		var points plotter.XYs
		for s := range r.Results[0].Seconds {
			var owed, earned float64
			for _, result := range r.Results {
				owed += result.Seconds[s].Owed
				earned += result.Seconds[s].Earned
			}
			if owed > 0 {
				points = append(points, plotter.XY{X: float64(s), Y: earned / owed})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = colors[i%len(colors)]
		p.Add(line)
		p.Legend.Add(string(r.Policy), line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

func groupedBars(title, unit, file string, names []string, rows []Row, figure func(ibismodel.Result, int) float64) error {
	p := newPlot(title, unit)
	for i, r := range rows {
		var values plotter.Values
		for j := range names {
			values = append(values, r.Mean(func(x ibismodel.Result) float64 { return figure(x, j) }))
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		chart.Color = colors[i%len(colors)]
		chart.Offset = barWidth * vg.Length(float64(i)-float64(len(rows)-1)/2)
		p.Add(chart)
		p.Legend.Add(string(r.Policy), chart)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}
