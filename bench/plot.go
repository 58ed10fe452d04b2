package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 8
)

// Plot draws the fraction of each rank's requests served in target for one
// scenario, with one bar per policy. The extension of the file name, such as
// .png or .svg, selects the format.
func (c Comparison) Plot(scenario, file string) error {
	p := plot.New()
	p.Title.Text = c.Plan.Site + ": " + scenario
	p.Y.Label.Text = "served in target"
	p.Y.Min = 0
	p.Y.Max = 1
	p.Legend.Top = true
	n := 0
	for _, r := range c.Rows {
		if r.Scenario != scenario {
			continue
		}
		if err := addBars(p, r, n); err != nil {
			return err
		}
		n++
	}
	var names []string
	for _, k := range Ranks() {
		names = append(names, k.Name)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}

func addBars(p *plot.Plot, r Row, n int) error {
	var values plotter.Values
	for _, k := range r.Ranks {
		values = append(values, k.InTarget.Mean)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(n)
	bars.Offset = vg.Points(barWidth) * vg.Length(n)
	p.Add(bars)
	p.Legend.Add(r.Policy, bars)
	return nil
}
