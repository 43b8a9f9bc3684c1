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
	// shownPrices is how many kinds of prices have a bar; the rest are too small
	// to see.
	shownPrices = 6
	// legendPart is the room for the legend, in parts of that for the bars.
	legendPart = 0.4
	// labelTurn is the angle of the days' names in radians, so that they fit.
	labelTurn = 0.4
)

// moves draws how the worth and the credit of a day moved from run to run.
func moves(s series) (template.HTML, error) {
	worth, served := make(plotter.XYs, len(s.runs)), make(plotter.XYs, len(s.runs))
	for i, r := range s.runs {
		worth[i] = plotter.XY{X: float64(i + 1), Y: r.day.Worth}
		served[i] = plotter.XY{X: float64(i + 1), Y: r.day.Served}
	}
	p := plot.New()
	p.Title.Text = s.Site + " " + s.Day
	p.X.Label.Text, p.Y.Label.Text = "run", "part of the credit owed"
	if err := plotutil.AddLinePoints(p, "worth", worth, "credit", served); err != nil {
		return "", fmt.Errorf("plot %s: %w", p.Title.Text, err)
	}
	p.Y.Min, p.Y.Max = 0, 1
	return draw(p)
}

// charges draws the highest prices of the latest run of each day of a site.
func charges(site string, days []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = site + ": prices of the latest runs"
	p.Y.Label.Text = "part of the credit owed"
	kinds := highest(days)
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
	// The legend stands beside the last bars.
	p.X.Min, p.X.Max = -0.5, float64(len(days))*(1+legendPart)-0.5
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = labelTurn, vgdraw.XRight
	return draw(p)
}

// highest returns the kinds of prices that cost most, summed over days.
func highest(days []series) []string {
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
	return kinds[:min(shownPrices, len(kinds))]
}

func (s series) latest() *Day { return s.runs[len(s.runs)-1].day }

// price returns what the day was charged for a kind.
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
	// What stands before the first element is for a file of its own.
	text := svg.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}
