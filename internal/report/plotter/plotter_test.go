package plotter

import (
	"bytes"
	"encoding/xml"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/report/burner"
	"cornelwood.example/internal/report/recorder"
)

// scriptInjection is a name that would run a script if it were not escaped.
const scriptInjection = `"><script>alert(1)</script>`

// at is the time of the reports.
var at = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// renderPage returns the page of a report on two daemons. The one at url recorded a
// service that refused all queries of the last 5 minutes and had no queries in the 15
// minutes before; the other daemon did not answer.
func renderPage(t *testing.T, service, url string) string {
	t.Helper()
	s := &recorder.Series{Instance: "addis-a-1", Recorded: declarer.Duration{Duration: 40 * time.Minute}, Untracked: 2}
	svc := recorder.ServiceSeries{Name: service, Contract: &recorder.Objectives{
		Latency: declarer.Duration{Duration: 120 * time.Millisecond}, Quantile: 0.99, Coverage: 0.95,
	}}
	for age := range 5 {
		svc.Buckets = append(svc.Buckets, recorder.Bucket{AgeMinutes: age, Counts: recorder.Counts{Total: 100, Refused: 100}})
	}
	for age := 20; age < 40; age++ {
		svc.Buckets = append(svc.Buckets, recorder.Bucket{AgeMinutes: age, Counts: recorder.Counts{Total: 100, Slow: 1}})
	}
	s.Services = []recorder.ServiceSeries{svc, {Name: service + "-new", Buckets: []recorder.Bucket{{Counts: recorder.Counts{Total: 1, Refused: 1}}}}}
	b := burner.New()
	b.Add(url, s)
	b.AddFailed("http://10.0.0.2", "no answer: "+url)
	var buf bytes.Buffer
	if err := Write(&buf, b.Report(), at); err != nil {
		t.Fatal(err)
	}
	return buf.String()
}

var (
	svgPattern    = regexp.MustCompile(`(?s)<svg .*?</svg>`)
	namePattern   = regexp.MustCompile(`aria-label="([^"]*)"`)
	textPattern   = regexp.MustCompile(`>([^<>]+)</text>`)
	strokePattern = regexp.MustCompile(`stroke:var\(--(\w+)\)`)
)

// outline returns the name of a plot, its texts, and the colours of its lines except
// those in ink, so that the golden file does not depend on coordinates.
func outline(svg string) string {
	parts := []string{"PLOT " + namePattern.FindStringSubmatch(svg)[1]}
	for _, m := range textPattern.FindAllStringSubmatch(svg, -1) {
		parts = append(parts, m[1])
	}
	for _, m := range strokePattern.FindAllStringSubmatch(svg, -1) {
		if m[1] != "ink" {
			parts = append(parts, m[1])
		}
	}
	return strings.Join(parts, "|")
}

// TestGolden compares the page, with its plots in outline, with testdata/page.golden,
// which "go test ./internal/report/plotter -update" rewrites.
func TestGolden(t *testing.T) {
	page := renderPage(t, "anomaly-finder", "http://10.0.0.1")
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "page", []byte(svgPattern.ReplaceAllStringFunc(page, outline)))
}

func TestEscaping(t *testing.T) {
	page := renderPage(t, scriptInjection, scriptInjection)
	if strings.Contains(page, "<script") {
		t.Error("the page contains a name without escaping")
	}
}

// TestLoadsNothing checks that the page refers to no other file, so that it can be
// opened without a network, and that plots contain no placeholder colour.
func TestLoadsNothing(t *testing.T) {
	page := renderPage(t, "s", "http://10.0.0.1")
	for _, pattern := range []string{" src=", " href=", "url(", "@import", "<link", "<script", "<?xml", "#010"} {
		if strings.Contains(page, pattern) {
			t.Errorf("the page contains %q", pattern)
		}
	}
}

func TestPlotsAreXML(t *testing.T) {
	svgs := svgPattern.FindAllString(renderPage(t, "a&b", "http://10.0.0.1"), -1)
	if len(svgs) != 3 {
		t.Errorf("%d plots, want 3: only the service with a contract has plots", len(svgs))
	}
	for _, svg := range svgs {
		var root struct{}
		if err := xml.Unmarshal([]byte(svg), &root); err != nil {
			t.Errorf("the plot is not valid XML: %v in %s", err, svg)
		}
	}
}

func TestNoData(t *testing.T) {
	b := burner.New()
	b.AddFailed("http://10.0.0.1", "connection refused")
	var buf bytes.Buffer
	if err := Write(&buf, b.Report(), at); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"0 of 1 daemons answered", "No queries were recorded.", "connection refused"} {
		if !strings.Contains(buf.String(), text) {
			t.Errorf("the page does not contain %q", text)
		}
	}
}
