// Package linter validates a desired state before it is sent to the store, and compares it with the version in force. It reads and
// writes nothing.
package linter

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/route/matcher"
)

// Severity says what becomes of a desired state with a finding.
type Severity string

// Severities, most severe first.
const (
	// Error means that daemons reject or ignore the version, leave a part of it out, or take a part otherwise than it is written.
	Error Severity = "error"
	// Warning means that daemons take the version over, but a part of it has no effect or contradicts another.
	Warning Severity = "warning"
	// Info is what an operator may want to know.
	Info Severity = "info"
)

// severities ranks the severities.
var severities = []Severity{Error, Warning, Info}

// Finding is one fault of a desired state.
type Finding struct {
	Severity Severity `json:"severity"`
	// Field is the path of the field in the operator's document, such as "routes[3].path_prefix"; empty means the whole document.
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Document is a desired state as its operator wrote it.
type Document interface {
	// Routing returns what could be decoded.
	Routing() *declarer.Routing
	// IsDecoded reports whether daemons can decode the document.
	IsDecoded() bool
	// Problems returns the findings about the document's format.
	Problems() []Finding
	// Field returns the document's name for a field path of package declarer.
	Field(path string) string
	// Value returns the document's form of the value of a field, by the field's path.
	Value(path string, v any) any
	// Redact returns text without the accounts' keys.
	Redact(text string) string
}

// Report is the result of a check.
type Report struct {
	// Version is the document's, and Current the version in force, 0 when it is not known.
	Version     uint64       `json:"version"`
	Current     uint64       `json:"current,omitempty"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences,omitempty"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Check validates next and compares it with current, the version in force, which may be nil. The findings are ordered by severity.
func Check(next, current Document) *Report {
	problems := next.Problems()
	rep := &Report{Version: next.Routing().Version, Findings: slices.Clone(problems)}
	for _, f := range lint(next.Routing(), !next.IsDecoded()) {
		f.Field = next.Field(f.Field)
		if !followsFrom(f, problems) {
			rep.Findings = append(rep.Findings, f)
		}
	}
	if current != nil {
		rep.Current = current.Routing().Version
		rep.Findings = append(rep.Findings, lintVersions(next, current)...)
		rep.Differences = compare(next, current)
	}
	rep.redact(next, current)
	slices.SortStableFunc(rep.Findings, func(a, b Finding) int {
		return slices.Index(severities, a.Severity) - slices.Index(severities, b.Severity)
	})
	return rep
}

func (r *Report) redact(docs ...Document) {
	for _, d := range docs {
		if d == nil {
			continue
		}
		for i := range r.Findings {
			f := &r.Findings[i]
			f.Field, f.Reason = d.Redact(f.Field), d.Redact(f.Reason)
		}
		for i := range r.Differences {
			r.Differences[i].redact(d)
		}
	}
}

// followsFrom reports whether f may only follow from a field that could not be decoded: from itself, from one that it is part of,
// or from one of its parts. A warning may follow from any field of its object, because it compares several.
func followsFrom(f Finding, problems []Finding) bool {
	field := f.Field
	if object, _, ok := strings.Cut(field, "]"); ok && f.Severity == Warning {
		field = object + "]"
	}
	return slices.ContainsFunc(problems, func(p Finding) bool {
		return p.Severity == Error && (contains(p.Field, field) || contains(field, p.Field))
	})
}

// contains reports whether the field path inner is outer or a part of it.
func contains(outer, inner string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// lintVersions checks that daemons take next over: they ignore a version that is not above the one that they have.
func lintVersions(next, current Document) []Finding {
	var out []Finding
	if !current.IsDecoded() || current.Routing().Version == 0 || declarer.CheckAccounts(current.Routing().Accounts) != nil {
		out = append(out, Finding{Warning, "", "the version to compare with is invalid: daemons reject it, and have the version before it in force"})
	}
	n, c := next.Routing().Version, current.Routing().Version
	if n > 0 && n <= c {
		reason := fmt.Sprintf("want a version above %d, the one in force, got %d: daemons ignore it", c, n)
		out = append(out, Finding{Error, next.Field("version"), reason})
	}
	return out
}

// linter collects findings, whose fields are named as in package declarer.
type linter struct {
	routing *declarer.Routing
	// isPartial is true when parts of the document could not be decoded. What refers to a missing part is then no finding.
	isPartial bool
	findings  []Finding
}

// lint returns the findings about r.
func lint(r *declarer.Routing, isPartial bool) []Finding {
	l := &linter{routing: r, isPartial: isPartial}
	l.addErrors(errors.Join(r.Check(), declarer.CheckAccounts(r.Accounts)))
	l.lintMatches()
	l.lintNames()
	for i := range r.Routes {
		l.lintRoute(&r.Routes[i], fmt.Sprintf("routes[%d]", i))
	}
	l.lintServices()
	for i := range r.Accounts {
		l.lintAccount(&r.Accounts[i], fmt.Sprintf("accounts[%d]", i))
	}
	l.lintLimits(&r.Limits)
	return l.findings
}

func (l *linter) addErrors(err error) {
	for _, e := range declarer.FieldErrors(err) {
		severity := Error
		if e.Field == "routes" {
			// Entry daemons do not enforce the largest number of routes.
			severity = Warning
		}
		l.findings = append(l.findings, Finding{severity, e.Field, e.Reason})
	}
}

func (l *linter) warnf(field, format string, args ...any) {
	l.findings = append(l.findings, Finding{Warning, field, fmt.Sprintf(format, args...)})
}

// lintMatches finds the routes that never get a request. Prefixes end in a slash, so a longer one does not cover the path that is
// the prefix itself: a route that does not get this path gets none.
func (l *linter) lintMatches() {
	m := matcher.New(l.routing)
	for i := range l.routing.Routes {
		rt := &l.routing.Routes[i]
		if rt.Check() != nil {
			continue
		}
		switch got := m.Match(rt.Host, rt.Prefix); {
		case got == rt:
		case got == nil || !strings.EqualFold(got.Host, rt.Host):
			l.warnf(fmt.Sprintf("routes[%d].host", i), "never matches: a request's host is compared without its port, got %q", rt.Host)
		default:
			l.warnf(fmt.Sprintf("routes[%d].prefix", i), "never matches: routes[%d] has the same host and prefix", l.index(got))
		}
	}
}

func (l *linter) index(rt *declarer.Route) int {
	return slices.IndexFunc(l.routing.Routes, func(other declarer.Route) bool {
		return strings.EqualFold(other.Host, rt.Host) && other.Prefix == rt.Prefix && other.Check() == nil
	})
}

// lintNames checks that the routes' names are unique: daemons that gather a query for another find its route by name.
func (l *linter) lintNames() {
	first := make(map[string]int)
	for i, rt := range l.routing.Routes {
		field := fmt.Sprintf("routes[%d].name", i)
		if j, ok := first[rt.Name]; ok {
			l.warnf(field, "routes[%d] has the same name: daemons find only one of them by its name", j)
			continue
		}
		first[rt.Name] = i
		if rt.Name == "" {
			l.warnf(field, "want a name")
		}
	}
}

func (l *linter) lintRoute(rt *declarer.Route, path string) {
	timeout, goal := rt.Timeout.Duration, rt.LatencyGoal.Duration
	if timeout > 0 && goal > timeout {
		l.warnf(path+".goal", "the goal of %s is beyond the timeout of %s", goal, timeout)
	}
	if timeout > 0 && goal <= timeout && rt.Attempts > 1 && goal > timeout/time.Duration(rt.Attempts) {
		l.warnf(path+".attempts", "%d attempts of %s each, the goal, do not fit into the timeout of %s", rt.Attempts, goal, timeout)
	}
	if len(rt.Targets) > 0 {
		l.lintTargets(rt, path)
	}
	if len(rt.Shards) > 0 {
		l.lintShards(rt, path)
		return
	}
	if rt.TopK != 0 {
		l.warnf(path+".top", "has no effect on a route without shards")
	}
	if rt.Coverage != 0 {
		l.warnf(path+".coverage", "has no effect on a route without shards")
	}
}

func (l *linter) lintTargets(rt *declarer.Route, path string) {
	total := 0.0
	seen := make(map[string]bool)
	for i, t := range rt.Targets {
		total += t.Weight
		if seen[t.Service] {
			l.warnf(fmt.Sprintf("%s.targets[%d].service", path, i), "service %q is listed before", t.Service)
		}
		seen[t.Service] = true
	}
	if total == 0 {
		l.warnf(path+".targets", "the weights sum to 0: the first service gets every request")
	}
}

func (l *linter) lintShards(rt *declarer.Route, path string) {
	seen := make(map[string]bool)
	unnamed := 0
	for i, s := range rt.Shards {
		field := fmt.Sprintf("%s.shards[%d]", path, i)
		switch {
		case s == "":
			l.warnf(field, "want a service name: this shard is always missing")
			unnamed++
		case seen[s]:
			l.warnf(field, "shard %q is listed before", s)
		default:
			seen[s] = true
		}
	}
	n := len(rt.Shards)
	switch {
	case n-unnamed < rt.RequiredShards():
		l.warnf(path+".coverage", "cannot be reached: %d of %d shards have no service", unnamed, n)
	case len(seen) < rt.RequiredShards():
		l.warnf(path+".coverage", "only %d of %d shards are different: the minimum share of %g is met only by counting some twice", len(seen), n, rt.Coverage)
	}
}

// lintServices compares the services that routes name with those that have limits.
func (l *linter) lintServices() {
	limits := make(map[string]int)
	for i, s := range l.routing.Services {
		path := fmt.Sprintf("services[%d]", i)
		if j, ok := limits[s.Name]; ok {
			l.warnf(path+".name", "services[%d] has the same name", j)
		} else {
			limits[s.Name] = i
		}
		if s.Connections < 0 {
			l.warnf(path+".connections", "want 0 or more, got %d", s.Connections)
		}
		if s.ColdRate < 0 {
			l.warnf(path+".coldrate", "want 0 or more, got %g", s.ColdRate)
		}
	}
	if l.isPartial {
		return
	}
	named := make(map[string]bool)
	note := func(service, field string) {
		if _, ok := limits[service]; !ok && service != "" && !named[service] {
			l.warnf(field, "service %q has no entry in the list of services: its limits are unknown", service)
		}
		named[service] = true
	}
	for i, rt := range l.routing.Routes {
		for j, t := range rt.Targets {
			note(t.Service, fmt.Sprintf("routes[%d].targets[%d].service", i, j))
		}
		for j, s := range rt.Shards {
			note(s, fmt.Sprintf("routes[%d].shards[%d]", i, j))
		}
	}
	for i, s := range l.routing.Services {
		if !named[s.Name] {
			l.warnf(fmt.Sprintf("services[%d].name", i), "no route names service %q", s.Name)
		}
	}
}

func (l *linter) lintAccount(a *declarer.Account, path string) {
	if len(a.Keys) == 0 {
		l.warnf(path+".keys", "the account has no key: no request can be its own")
	}
	for i, key := range a.Keys {
		// HTTP trims the values of headers and allows no control characters in them but tabs.
		if key != strings.Trim(key, " \t") || strings.ContainsFunc(key, isNoHeaderText) {
			l.warnf(fmt.Sprintf("%s.keys[%d]", path, i), "never matches: a header cannot hold a key with space around it or control characters")
		}
	}
	switch {
	case a.Rate > 0 && a.Burst < 1 && a.Burst >= 0:
		l.warnf(path+".burst", "want 1 or more with a rate: a burst of %g is below one request", a.Burst)
	case a.Rate == 0 && a.Burst > 0:
		l.warnf(path+".burst", "has no effect without a rate: the account has no limit")
	}
}

func isNoHeaderText(c rune) bool {
	return c < ' ' && c != '\t' || c == 0x7f
}

func (l *linter) lintLimits(lim *declarer.RequestLimits) {
	fields := []struct {
		name  string
		value float64
	}{
		{"limits.header", float64(lim.HeaderBytes)},
		{"limits.body", float64(lim.BodyBytes)},
		{"limits.headertime", float64(lim.HeaderTimeout.Duration)},
		{"limits.idletime", float64(lim.IdleTimeout.Duration)},
	}
	for _, f := range fields {
		switch {
		case f.value < 0:
			l.warnf(f.name, "want a limit above 0: the daemon's own limit applies")
		case f.value == 0:
			l.warnf(f.name, "0 or absent sets no limit: the daemon's own applies")
		}
	}
}
