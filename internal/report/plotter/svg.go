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

// themeColor is a colour of the page's theme. Plots are drawn in its placeholder
// colour, which render replaces by the CSS variable of that name.
type themeColor struct {
	name        string
	placeholder color.RGBA
}

// Colours of the page's theme.
var (
	inkColor      = themeColor{"ink", color.RGBA{R: 1, G: 2, B: 3, A: 255}}
	gridColor     = themeColor{"grid", color.RGBA{R: 1, G: 2, B: 4, A: 255}}
	latencyColor  = themeColor{"latency", color.RGBA{R: 1, G: 2, B: 5, A: 255}}
	coverageColor = themeColor{"coverage", color.RGBA{R: 1, G: 2, B: 6, A: 255}}
	pageColor     = themeColor{"page", color.RGBA{R: 1, G: 2, B: 7, A: 255}}
	ticketColor   = themeColor{"ticket", color.RGBA{R: 1, G: 2, B: 8, A: 255}}
)

// placeholderReplacer replaces placeholder colours in SVG by CSS variables.
var placeholderReplacer = newPlaceholderReplacer(inkColor, gridColor, latencyColor, coverageColor, pageColor, ticketColor)

// prolog matches the start of an SVG file up to the size of its root element. It has no
// place in HTML.
var prolog = regexp.MustCompile(`(?s)^.*?<svg width="[^"]*" height="[^"]*"`)

func newPlaceholderReplacer(colors ...themeColor) *strings.Replacer {
	var pairs []string
	for _, tc := range colors {
		c := tc.placeholder
		pairs = append(pairs, fmt.Sprintf("#%02X%02X%02X", c.R, c.G, c.B), "var(--"+tc.name+")")
	}
	return strings.NewReplacer(pairs...)
}

// render returns a plot as an SVG element for an HTML page, with label as its accessible
// name.
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
	return template.HTML(placeholderReplacer.Replace(text)), nil //nolint:gosec // see above
}
