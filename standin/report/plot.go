package report

import (
	"bytes"
	"fmt"
	"html/template"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
	// maxPriceBars is the number of kinds of prices that get a bar. The others are
	// too small to see.
	maxPriceBars = 6
	// legendFraction is the width reserved for the legend, as a fraction of the
	// width of the bars.
	legendFraction = 0.4
	// labelRotation is the angle of the day names in radians. Horizontal names
	// would not fit.
	labelRotation = 0.4
)

// plotWorth plots the worth and the credit of a day over its runs.
func plotWorth(s series) (template.HTML, error) {
	worth, served := make(plotter.XYs, len(s.runs)), make(plotter.XYs, len(s.runs))
	for i, r := range s.runs {
		worth[i] = plotter.XY{X: float64(i + 1), Y: r.day.Worth}
		served[i] = plotter.XY{X: float64(i + 1), Y: r.day.Served}
	}
	p := plot.New()
	p.Title.Text = s.Site + " " + s.Day
	p.X.Label.Text, p.Y.Label.Text = "run", "fraction of the credit owed"
	if err := plotutil.AddLinePoints(p, "worth", worth, "credit", served); err != nil {
		return "", fmt.Errorf("plot %s: %w", p.Title.Text, err)
	}
	p.Y.Min, p.Y.Max = 0, 1
	return draw(p)
}

// plotPrices plots the highest prices of the latest run of each day at a site.
func plotPrices(site string, days []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = site + ": prices of the latest runs"
	p.Y.Label.Text = "fraction of the credit owed"
	kinds := highestPriceKinds(days)
	for i, kind := range kinds {
		values := make(plotter.Values, len(days))
		for j, s := range days {
			values[j] = s.latest().price(kind)
		}
		bars, err := plotter.NewBarChart(values, barWidth/vg.Length(len(kinds)))
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", p.Title.Text, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth / vg.Length(len(kinds)) * (vg.Length(i) - vg.Length(len(kinds)-1)/2)
		p.Add(bars)
		p.Legend.Add(kind, bars)
	}
	p.Legend.Top = true
	names := make([]string, len(days))
	for i, s := range days {
		names[i] = s.Day
	}
	p.NominalX(names...)
	// Reserve space for the legend to the right of the bars.
	p.X.Min, p.X.Max = -0.5, float64(len(days))*(1+legendFraction)-0.5
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = labelRotation, vgdraw.XRight
	return draw(p)
}

// highestPriceKinds returns the kinds of prices with the highest sums over the
// latest runs of all days.
func highestPriceKinds(days []series) []string {
	sums := map[string]float64{}
	for _, s := range days {
		for _, price := range s.latest().Prices {
			sums[price.Kind] += price.Worth
		}
	}
	kinds := make([]string, 0, len(sums))
	for kind := range sums {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		if sums[a] != sums[b] {
			if sums[a] > sums[b] {
				return -1
			}
			return 1
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	return kinds[:min(maxPriceBars, len(kinds))]
}

func (s series) latest() *Day { return s.runs[len(s.runs)-1].day }

// price returns what was subtracted from the worth of the day for a kind of
// price.
func (d *Day) price(kind string) float64 {
	for _, p := range d.Prices {
		if p.Kind == kind {
			return p.Worth
		}
	}
	return 0
}

func draw(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("plot %s: %w", p.Title.Text, err)
	}
	// Strip the XML declaration and doctype, which are only valid in a
	text := svg.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}
