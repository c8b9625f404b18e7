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

// Sizes of a plot, in points.
const (
	plotWidth  vg.Length = 420
	plotHeight vg.Length = 190
	lineWidth  vg.Length = 1.6
	ruleWidth  vg.Length = 0.9
	textSize   vg.Length = 10
	// sideMargin leaves room for the half of a label that stands out.
	sideMargin vg.Length = 14
)

const (
	// leastBurn is the lowest upper end of a burn axis: every limit shows.
	leastBurn = 20
	// leastBudget is the lowest budget that is drawn.
	leastBudget = -1
	// ticksWanted is the number of ticks on a time axis.
	ticksWanted = 6
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

func newChartRow(s *burner.Service, scale burner.Scale) (chartRow, error) {
	row := chartRow{Name: s.Name}
	if len(s.History) == 0 {
		return row, nil
	}
	c := chart{service: s, scale: scale}
	trailing := formatter.Duration(scale.Trailing)
	draws := []struct {
		caption string
		make    func() (*plot.Plot, error)
	}{
		{"Burn rate over the last " + trailing, c.burn},
		{"Share of good queries over the last " + trailing, c.good},
		{"Error budget left, drawn down to −100%", c.budget},
	}
	for _, d := range draws {
		svg, err := c.draw(d.caption, d.make)
		if err != nil {
			return chartRow{}, err
		}
		row.Plots = append(row.Plots, plotRow{Caption: d.caption, SVG: svg})
	}
	return row, nil
}

func (c *chart) draw(caption string, build func() (*plot.Plot, error)) (template.HTML, error) {
	p, err := build()
	if err != nil {
		return "", err
	}
	return render(p, c.service.Name+": "+caption)
}

// burn plots the burn rates against the limits of the alerts.
func (c *chart) burn() (*plot.Plot, error) {
	p := c.plot()
	highest := float64(leastBurn)
	for _, pt := range c.service.History {
		highest = max(highest, pt.Latency.Burn, pt.Coverage.Burn)
	}
	p.Y.Min, p.Y.Max = 0, highest*1.1
	p.Y.Scale = logScale{}
	p.Y.Tick.Marker = plot.ConstantTicks(burnTicks(highest))
	c.addRule(p, burner.SlowBurn, inkPaint)
	c.addRule(p, burner.TicketBurn, ticketPaint)
	c.addRule(p, burner.PageBurn, pagePaint)
	return p, c.addLevels(p, func(l burner.Level) float64 { return l.Burn }, true)
}

// good plots the shares of good queries against the target.
func (c *chart) good() (*plot.Plot, error) {
	p := c.plot()
	target := c.service.Objectives[0].Target
	lowest := target
	for _, pt := range c.service.History {
		lowest = min(lowest, pt.Latency.Good, pt.Coverage.Good)
	}
	p.Y.Min, p.Y.Max = max(0, lowest-(1-lowest)/10), 1
	p.Y.Tick.Marker = percentTicks{}
	c.addRule(p, target, ticketPaint)
	return p, c.addLevels(p, func(l burner.Level) float64 { return l.Good }, true)
}

// budget plots what was left of the budget.
func (c *chart) budget() (*plot.Plot, error) {
	p := c.plot()
	lowest := 0.0
	for _, pt := range c.service.History {
		lowest = min(lowest, pt.Latency.Budget, pt.Coverage.Budget)
	}
	p.Y.Min, p.Y.Max = max(leastBudget, lowest), 1
	p.Y.Tick.Marker = percentTicks{}
	c.addRule(p, 0, pagePaint)
	return p, c.addLevels(p, func(l burner.Level) float64 { return max(leastBudget, l.Budget) }, false)
}

// plot returns an empty plot with a time axis.
func (c *chart) plot() *plot.Plot {
	p := plot.New()
	ink := inkPaint.standIn
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

// addRule adds a line across the plot.
func (c *chart) addRule(p *plot.Plot, y float64, in paint) {
	l := &plotter.Line{XYs: plotter.XYs{{X: p.X.Min, Y: y}, {X: p.X.Max, Y: y}}}
	l.Color = in.standIn
	l.Width = ruleWidth
	l.Dashes = ruleDashes
	p.Add(l)
}

// addLevels adds the lines of both objectives. With gaps, a line stops where its
// trailing window holds no query.
func (c *chart) addLevels(p *plot.Plot, value func(burner.Level) float64, gaps bool) error {
	lines := []struct {
		in     paint
		dashes []vg.Length
		level  func(*burner.Point) burner.Level
	}{
		{latencyPaint, nil, func(pt *burner.Point) burner.Level { return pt.Latency }},
		{coveragePaint, coverageDashes, func(pt *burner.Point) burner.Level { return pt.Coverage }},
	}
	for _, l := range lines {
		for _, run := range c.runs(func(pt *burner.Point) float64 { return value(l.level(pt)) }, gaps) {
			line, err := plotter.NewLine(run)
			if err != nil {
				return fmt.Errorf("line: %w", err)
			}
			line.Color = l.in.standIn
			line.Width = lineWidth
			line.Dashes = l.dashes
			p.Add(line)
		}
	}
	return nil
}

// runs returns the points of a line, in one run for each stretch without a gap.
func (c *chart) runs(value func(*burner.Point) float64, gaps bool) []plotter.XYs {
	var (
		runs []plotter.XYs
		run  plotter.XYs
	)
	for i := range c.service.History {
		pt := &c.service.History[i]
		if gaps && pt.Total == 0 {
			runs, run = endRun(runs, run), nil
			continue
		}
		run = append(run, plotter.XY{X: -pt.Ago.Hours(), Y: value(pt)})
	}
	return endRun(runs, run)
}

func endRun(runs []plotter.XYs, run plotter.XYs) []plotter.XYs {
	if len(run) == 0 {
		return runs
	}
	return append(runs, run)
}

// logScale shows burn rates from 0 to far above the limits on one axis.
type logScale struct{}

// Normalize returns where x lies between lo and hi, 0 to 1.
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

// percentTicks labels a share in percent.
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

// timeTicks returns ticks at round ages over a span before now.
func timeTicks(span time.Duration) []plot.Tick {
	steps := []time.Duration{
		time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute,
		time.Hour, 2 * time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour,
	}
	step := steps[len(steps)-1]
	for _, s := range steps {
		if span/s <= ticksWanted {
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
