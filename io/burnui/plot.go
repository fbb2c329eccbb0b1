//nolint:misspell // the plot library spells color and centimeter
package burnui

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cranberryrail/core/burn"
)

// Sizes and limits of the plots.
const (
	plotWidth         = 24 * vg.Centimeter
	plotHeight        = 6 * vg.Centimeter
	barHeight         = 0.7 * vg.Centimeter
	barWidth          = 0.4 * vg.Centimeter
	axisHeight        = 2.2 * vg.Centimeter
	margin            = 0.3 * vg.Centimeter
	lineWidth         = vg.Length(1.6)
	dashLength        = vg.Length(5)
	barSpace          = 0.5
	maxBarLabelLength = 24
	maxSteps          = 96
	minRateRange      = 2
	minBudgetShown    = -1
	secondsPerHour    = 3600
)

// colours returns the colours of the objectives in the order of burn.Objectives.
func colours() []color.Color {
	return []color.Color{
		color.RGBA{R: 0x1f, G: 0x5f, B: 0xbf, A: 0xff}, color.RGBA{R: 0xd9, G: 0x7a, B: 0x00, A: 0xff},
		color.RGBA{R: 0xc0, G: 0x20, B: 0x30, A: 0xff}, color.RGBA{R: 0x2a, G: 0x8a, B: 0x4a, A: 0xff},
	}
}

func grey() color.Color { return color.Gray{Y: 0x70} }

// burnPlot plots the hourly burn rates of one organisation.
func burnPlot(r burn.Report, o burn.Organisation) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "hours before the report", "burn rate"
	p.Y.Min, p.Y.Max = 0, minRateRange
	p.Legend.Top, p.Legend.Left = true, true
	for i, l := range o.Levels {
		points := ratePoints(l, r.At.Unix())
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot %s of %s: %w", l.Objective, printable(o.Organisation), err)
		}
		line.StepStyle, line.Width, line.Color = plotter.PostStep, lineWidth, colours()[i%len(colours())]
		if i%2 == 1 {
			line.Dashes = []vg.Length{dashLength, dashLength} // keeps an identical line below visible
		}
		p.Add(line)
		p.Legend.Add(string(l.Objective), line)
	}
	sustainable := plotter.NewFunction(func(float64) float64 { return 1 })
	sustainable.Color, sustainable.Dashes = grey(), []vg.Length{2, 2}
	p.Add(sustainable)
	p.Legend.Add("sustainable rate", sustainable)
	p.X.Max = 0
	p.Y.Max *= 1.5 // room for the legend
	return svg(p, plotHeight)
}

// ratePoints returns the burn rates of the most recent steps, at most maxSteps, with x in hours relative to at, which
// is in Unix seconds. If there are any, a further point extends the last step to at.
func ratePoints(l burn.Level, at int64) plotter.XYs {
	s, points := l.Series, plotter.XYs{}
	for i := max(0, len(s.Counts)-maxSteps); i < len(s.Counts); i++ {
		x := float64(s.FromUnix+int64(i)*s.StepSeconds-at) / secondsPerHour
		points = append(points, plotter.XY{X: x, Y: s.Counts[i].BurnRate(l.TargetRatio)})
	}
	if n := len(points); n > 0 {
		points = append(points, plotter.XY{Y: points[n-1].Y}) // extends the last step to the time of the report
	}
	return points
}

// budgetPlot plots the smallest remaining error budget of each organisation.
func budgetPlot(organisations []burn.Organisation) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "least error budget left, % (-100 and less are shown as -100)"
	p.X.Min, p.X.Max = 0, percent
	left := make(plotter.Values, 0, len(organisations))
	names := make([]string, 0, len(organisations))
	for i := range organisations {
		o := organisations[len(organisations)-1-i] // the chart is drawn bottom-up; the worst is on top
		left = append(left, math.Max(minBudgetLeft(o), minBudgetShown)*percent)
		names = append(names, truncate(printable(o.Organisation), maxBarLabelLength))
	}
	bars, err := plotter.NewBarChart(left, barWidth)
	if err != nil {
		return "", fmt.Errorf("plot budgets left: %w", err)
	}
	bars.Horizontal, bars.Color = true, colours()[0]
	p.Add(bars)
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -barSpace, float64(len(names)-1)+barSpace
	return svg(p, axisHeight+barHeight*vg.Length(len(names)))
}

// svg renders a plot as an SVG element.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(plotWidth, height)
	p.Draw(draw.Crop(draw.New(c), margin, -margin, margin, -margin))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, element, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element)), nil //nolint:gosec // the canvas escapes text
}
