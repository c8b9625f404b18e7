package plotter

import (
	"bytes"
	"fmt"
	"html"
	"html/template"
	"image/color"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// paint is a colour of the page: plots are drawn in a stand-in colour, which is
// replaced by the page's variable of that name.
type paint struct {
	name    string
	standIn color.RGBA
}

// Colours of the page.
var (
	inkPaint      = paint{"ink", color.RGBA{R: 1, G: 2, B: 3, A: 255}}
	gridPaint     = paint{"grid", color.RGBA{R: 1, G: 2, B: 4, A: 255}}
	latencyPaint  = paint{"latency", color.RGBA{R: 1, G: 2, B: 5, A: 255}}
	coveragePaint = paint{"coverage", color.RGBA{R: 1, G: 2, B: 6, A: 255}}
	pagePaint     = paint{"page", color.RGBA{R: 1, G: 2, B: 7, A: 255}}
	ticketPaint   = paint{"ticket", color.RGBA{R: 1, G: 2, B: 8, A: 255}}
)

var paints = newReplacer(inkPaint, gridPaint, latencyPaint, coveragePaint, pagePaint, ticketPaint)

// prolog is what stands before the content of an SVG file and has no place in HTML.
var prolog = regexp.MustCompile(`(?s)^.*?<svg width="[^"]*" height="[^"]*"`)

func newReplacer(all ...paint) *strings.Replacer {
	var pairs []string
	for _, p := range all {
		c := p.standIn
		pairs = append(pairs, fmt.Sprintf("#%02X%02X%02X", c.R, c.G, c.B), "var(--"+p.name+")")
	}
	return strings.NewReplacer(pairs...)
}

// render returns a plot as an SVG element for an HTML page.
func render(p *plot.Plot, label string) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(c), 0, -sideMargin, 0, 0))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", fmt.Errorf("write SVG: %w", err)
	}
	open := fmt.Sprintf(`<svg role="img" aria-label="%s"`, html.EscapeString(label))
	text := open + prolog.ReplaceAllLiteralString(buf.String(), "")
	// vgsvg escapes the texts of a plot; the label is escaped above.
	return template.HTML(paints.Replace(text)), nil //nolint:gosec // see above
}
