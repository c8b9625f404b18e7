package plotter

import (
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/formatter"
)

// Sizes of a plot and its parts, in points.
const (
	plotWidth  vg.Length = 420
	plotHeight vg.Length = 190
	lineWidth  vg.Length = 1.6
	ruleWidth  vg.Length = 0.9
	textSize   vg.Length = 10
	// sideMargin leaves room for the half of a tick label that extends beyond the axis.
	sideMargin vg.Length = 14
)

const (
	// minBurnAxisMax is the lowest upper end of a burn rate axis, at which all alert
	// limits are visible.
	minBurnAxisMax = 20
	// minBudget is the lowest budget share that is drawn; lower ones are drawn at it.
	minBudget = -1
	// maxTimeSteps is the highest number of steps between the ticks of a time axis.
	maxTimeSteps = 6
)

var (
	coverageDashes = []vg.Length{5, 2}
	ruleDashes     = []vg.Length{1, 2}
)

// chart draws the history of one service.
type chart struct {
	service *burner.Service
	scale   burner.Scale
}

// newChartRow returns the plots of a service, none if it has no history.
func newChartRow(s *burner.Service, scale burner.Scale) (chartRow, error) {
	row := chartRow{Name: s.Name}
	if len(s.History) == 0 {
		return row, nil
	}
	c := chart{service: s, scale: scale}
	trailing := formatter.Duration(scale.Trailing)
	plots := []struct {
		caption string
		build   func() (*plot.Plot, error)
	}{
		{"Burn rate over the last " + trailing, c.burnRates},
		{"Share of good queries over the last " + trailing, c.goodShares},
		{"Error budget left, cut off at −100%", c.budgetLeft},
	}
	for _, p := range plots {
		svg, err := c.draw(p.caption, p.build)
		if err != nil {
			return chartRow{}, err
		}
		row.Plots = append(row.Plots, plotRow{Caption: p.caption, SVG: svg})
	}
	return row, nil
}

// draw builds a plot and returns it as an SVG element.
func (c *chart) draw(caption string, build func() (*plot.Plot, error)) (template.HTML, error) {
	p, err := build()
	if err != nil {
		return "", err
	}
	return render(p, c.service.Name+": "+caption)
}

// burnRates plots the burn rates against the limits of the alerts.
func (c *chart) burnRates() (*plot.Plot, error) {
	p := c.newPlot()
	highest := float64(minBurnAxisMax)
	for _, pt := range c.service.History {
		highest = max(highest, pt.Latency.BurnRate, pt.Coverage.BurnRate)
	}
	p.Y.Min, p.Y.Max = 0, highest*1.1
	p.Y.Scale = logScale{}
	p.Y.Tick.Marker = plot.ConstantTicks(burnTicks(highest))
	c.addRule(p, burner.SlowBurn, inkColor)
	c.addRule(p, burner.TicketBurn, ticketColor)
	c.addRule(p, burner.PageBurn, pageColor)
	return p, c.addLevels(p, func(l burner.Level) float64 { return l.BurnRate }, true)
}

// goodShares plots the shares of good queries against the target.
func (c *chart) goodShares() (*plot.Plot, error) {
	p := c.newPlot()
	target := c.service.Objectives[0].Target
	lowest := target
	for _, pt := range c.service.History {
		lowest = min(lowest, pt.Latency.GoodShare, pt.Coverage.GoodShare)
	}
	p.Y.Min, p.Y.Max = max(0, lowest-(1-lowest)/10), 1
	p.Y.Tick.Marker = percentTicks{}
	c.addRule(p, target, ticketColor)
	return p, c.addLevels(p, func(l burner.Level) float64 { return l.GoodShare }, true)
}

// budgetLeft plots the shares of the error budget that were left.
func (c *chart) budgetLeft() (*plot.Plot, error) {
	p := c.newPlot()
	lowest := 0.0
	for _, pt := range c.service.History {
		lowest = min(lowest, pt.Latency.BudgetLeft, pt.Coverage.BudgetLeft)
	}
	p.Y.Min, p.Y.Max = max(minBudget, lowest), 1
	p.Y.Tick.Marker = percentTicks{}
	c.addRule(p, 0, pageColor)
	return p, c.addLevels(p, func(l burner.Level) float64 { return max(minBudget, l.BudgetLeft) }, false)
}

// newPlot returns an empty plot with a time axis in hours before the report.
func (c *chart) newPlot() *plot.Plot {
	p := plot.New()
	ink := inkColor.placeholder
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Color = ink
		a.Tick.Color = ink
		a.Tick.Label.Color = ink
		a.Tick.Label.Font.Size = textSize
		a.Tick.Label.Font.Variant = "Sans"
	}
	p.BackgroundColor = color.Transparent
	p.X.Min, p.X.Max = -c.scale.Span.Hours(), 0
	p.X.Tick.Marker = plot.ConstantTicks(timeTicks(c.scale.Span))
	return p
}

// addRule adds a horizontal line across the plot.
func (c *chart) addRule(p *plot.Plot, y float64, tc themeColor) {
	l := &plotter.Line{XYs: plotter.XYs{{X: p.X.Min, Y: y}, {X: p.X.Max, Y: y}}}
	l.Color = tc.placeholder
	l.Width = ruleWidth
	l.Dashes = ruleDashes
	p.Add(l)
}

// addLevels adds the lines of both objectives. With gaps, a line is interrupted where
// the trailing window holds no query.
func (c *chart) addLevels(p *plot.Plot, value func(burner.Level) float64, gaps bool) error {
	lines := []struct {
		color  themeColor
		dashes []vg.Length
		level  func(*burner.Point) burner.Level
	}{
		{latencyColor, nil, func(pt *burner.Point) burner.Level { return pt.Latency }},
		{coverageColor, coverageDashes, func(pt *burner.Point) burner.Level { return pt.Coverage }},
	}
	for _, l := range lines {
		for _, segment := range c.segments(func(pt *burner.Point) float64 { return value(l.level(pt)) }, gaps) {
			line, err := plotter.NewLine(segment)
			if err != nil {
				return fmt.Errorf("line of a plot: %w", err)
			}
			line.Color = l.color.placeholder
			line.Width = lineWidth
			line.Dashes = l.dashes
			p.Add(line)
		}
	}
	return nil
}

// segments returns the points of a line in one or more segments. With gaps, points whose
// trailing window holds no query are left out and end a segment.
func (c *chart) segments(value func(*burner.Point) float64, gaps bool) []plotter.XYs {
	var (
		segments []plotter.XYs
		segment  plotter.XYs
	)
	for i := range c.service.History {
		pt := &c.service.History[i]
		if gaps && pt.Total == 0 {
			segments, segment = appendSegment(segments, segment), nil
			continue
		}
		segment = append(segment, plotter.XY{X: -pt.Age.Hours(), Y: value(pt)})
	}
	return appendSegment(segments, segment)
}

// appendSegment appends a segment unless it is empty.
func appendSegment(segments []plotter.XYs, segment plotter.XYs) []plotter.XYs {
	if len(segment) == 0 {
		return segments
	}
	return append(segments, segment)
}

// logScale is a logarithmic scale that includes 0. It fits burn rates from 0 to far above
// the alert limits on one axis.
type logScale struct{}

// Normalize returns the position of x between lo and hi, 0 to 1.
func (logScale) Normalize(lo, hi, x float64) float64 {
	return (math.Log1p(x) - math.Log1p(lo)) / (math.Log1p(hi) - math.Log1p(lo))
}

// burnTicks returns ticks at 0, at the limits, and at powers of ten above them.
func burnTicks(highest float64) []plot.Tick {
	values := []float64{0, burner.SlowBurn, burner.TicketBurn, burner.PageBurn}
	for v := 100.0; v <= highest; v *= 10 {
		values = append(values, v)
	}
	ticks := make([]plot.Tick, 0, len(values))
	for _, v := range values {
		ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'f', -1, 64)})
	}
	return ticks
}

// percentTicks labels shares in percent.
type percentTicks struct{}

// Ticks returns the ticks between two shares.
func (percentTicks) Ticks(lo, hi float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(100*lo, 100*hi)
	for i := range ticks {
		ticks[i].Value /= 100
		if ticks[i].Label != "" {
			ticks[i].Label += "%"
		}
	}
	return ticks
}

// timeTicks returns the ticks of a time axis over a span before now, at multiples of a
// round step.
func timeTicks(span time.Duration) []plot.Tick {
	steps := []time.Duration{
		time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute,
		time.Hour, 2 * time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour,
	}
	step := steps[len(steps)-1]
	for _, s := range steps {
		if span/s <= maxTimeSteps {
			step = s
			break
		}
	}
	unit, size := "min", time.Minute
	if step >= time.Hour {
		unit, size = "h", time.Hour
	}
	ticks := []plot.Tick{{Value: 0, Label: "now"}}
	for ago := step; ago <= span; ago += step {
		ticks = append(ticks, plot.Tick{Value: -ago.Hours(), Label: fmt.Sprintf("−%d %s", ago/size, unit)})
	}
	return ticks
}
