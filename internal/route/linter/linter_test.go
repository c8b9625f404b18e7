package linter

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
)

// fakeDocument is a document whose fields are named as in package declarer.
type fakeDocument struct {
	routing    *declarer.Routing
	problems   []Finding
	incomplete bool
	secret     string
}

func (d *fakeDocument) Routing() *declarer.Routing { return d.routing }
func (d *fakeDocument) IsDecoded() bool            { return !d.incomplete }
func (d *fakeDocument) Problems() []Finding        { return d.problems }
func (d *fakeDocument) Field(path string) string   { return path }
func (d *fakeDocument) Value(_ string, v any) any  { return v }
func (d *fakeDocument) Redact(text string) string {
	if d.secret == "" {
		return text
	}
	return strings.ReplaceAll(text, d.secret, "(key)")
}

func ms(n int) declarer.Duration {
	return declarer.Duration{Duration: time.Duration(n) * time.Millisecond}
}

// newRouting returns a desired state without faults: a query and a route of single requests.
func newRouting() *declarer.Routing {
	priority := 1
	return &declarer.Routing{
		Version: 4,
		Routes: []declarer.Route{
			{Name: "q", Host: "a.example", Prefix: "/q/", Idempotent: true, Timeout: ms(800), LatencyGoal: ms(200), Attempts: 2, Shards: []string{"s0", "s1"}, TopK: 5, Coverage: 0.95},
			{Name: "p", Host: "a.example", Prefix: "/q/p/", Timeout: ms(800), LatencyGoal: ms(200), Attempts: 2, Targets: []declarer.Target{{Service: "t", Weight: 1}}},
		},
		Services: []declarer.ServiceLimits{{Name: "s0"}, {Name: "s1"}, {Name: "t", Connections: 10}},
		Limits:   declarer.RequestLimits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: ms(1), IdleTimeout: ms(1)},
		Accounts: []declarer.Account{{Name: "x", Keys: []string{"sesame-1"}, Priority: &priority, Rate: 5, Burst: 10}},
	}
}

// brief returns the severities and fields of findings.
func brief(findings []Finding) []string {
	var out []string
	for _, f := range findings {
		out = append(out, string(f.Severity)+" "+f.Field)
	}
	return out
}

// TestCheck guards against a fault of a desired state that is not found, is found at another field, or brings findings that only
// follow from it.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*declarer.Routing)
		want   []string
	}{
		{"no fault", func(*declarer.Routing) {}, nil},
		{"no version", func(r *declarer.Routing) { r.Version = 0 }, []string{"error version"}},
		{"invalid prefix", func(r *declarer.Routing) { r.Routes[1].Prefix = "p" }, []string{"error routes[1].prefix"}},
		{"no attempts", func(r *declarer.Routing) { r.Routes[1].Attempts = 0 }, []string{"error routes[1].attempts"}},
		{"no records", func(r *declarer.Routing) { r.Routes[0].TopK = 0 }, []string{"error routes[0].top"}},
		{"neither services nor shards", func(r *declarer.Routing) { r.Routes[1].Targets = nil }, []string{"error routes[1]", "warning services[2].name"}},
		{"key held twice by one account", func(r *declarer.Routing) { r.Accounts[0].Keys = []string{"k", "k"} }, []string{"error accounts[0].keys[1]"}},
		{"key held by two accounts", func(r *declarer.Routing) {
			r.Accounts = append(r.Accounts, declarer.Account{Name: "y", Keys: []string{"sesame-1"}})
		}, []string{"error accounts[1].keys[0]"}},
		{"account without keys", func(r *declarer.Routing) { r.Accounts[0].Keys = nil }, []string{"warning accounts[0].keys"}},
		{"keys that no header can hold", func(r *declarer.Routing) { r.Accounts[0].Keys = []string{"a\tb", " a", "a\n", "a\x00b", "\u00a0a"} }, []string{"warning accounts[0].keys[1]", "warning accounts[0].keys[2]", "warning accounts[0].keys[3]"}},
		{"burst below one request", func(r *declarer.Routing) { r.Accounts[0].Burst = 0.5 }, []string{"warning accounts[0].burst"}},
		{"burst of one request", func(r *declarer.Routing) { r.Accounts[0].Burst = 1 }, nil},
		{"burst without a rate", func(r *declarer.Routing) { r.Accounts[0].Rate = 0 }, []string{"warning accounts[0].burst"}},
		{"same host and prefix", func(r *declarer.Routing) { r.Routes[1].Host, r.Routes[1].Prefix = "A.example", "/q/" }, []string{"warning routes[1].prefix"}},
		{"same prefix of another host", func(r *declarer.Routing) { r.Routes[1].Host, r.Routes[1].Prefix = "b.example", "/q/" }, nil},
		{"host with a port", func(r *declarer.Routing) { r.Routes[1].Host = "a.example:80" }, []string{"warning routes[1].host"}},
		{"same name", func(r *declarer.Routing) { r.Routes[1].Name = "q" }, []string{"warning routes[1].name"}},
		{"no name", func(r *declarer.Routing) { r.Routes[1].Name = "" }, []string{"warning routes[1].name"}},
		{"goal beyond the timeout", func(r *declarer.Routing) { r.Routes[1].LatencyGoal = ms(801) }, []string{"warning routes[1].goal"}},
		{"attempts beyond the timeout", func(r *declarer.Routing) { r.Routes[1].Attempts = 5 }, []string{"warning routes[1].attempts"}},
		{"attempts that just fit", func(r *declarer.Routing) { r.Routes[1].Attempts = 4 }, nil},
		{"no timeout", func(r *declarer.Routing) { r.Routes[1].Timeout = ms(0) }, nil},
		{"weights of 0", func(r *declarer.Routing) { r.Routes[1].Targets[0].Weight = 0 }, []string{"warning routes[1].targets"}},
		{"service twice in a route", func(r *declarer.Routing) { r.Routes[1].Targets = append(r.Routes[1].Targets, r.Routes[1].Targets[0]) }, []string{"warning routes[1].targets[1].service"}},
		{"shard twice", func(r *declarer.Routing) { r.Routes[0].Shards, r.Routes[0].Coverage = []string{"s0", "s1", "s1"}, 0.5 }, []string{"warning routes[0].shards[2]"}},
		{"share met by counting shards twice", func(r *declarer.Routing) { r.Routes[0].Shards = []string{"s0", "s1", "s1"} }, []string{"warning routes[0].shards[2]", "warning routes[0].coverage"}},
		{"share that cannot be reached", func(r *declarer.Routing) { r.Routes[0].Shards = []string{"s0", "s1", ""} }, []string{"warning routes[0].shards[2]", "warning routes[0].coverage"}},
		{"settings of a query at single requests", func(r *declarer.Routing) { r.Routes[1].TopK, r.Routes[1].Coverage = 1, 0.5 }, []string{"warning routes[1].top", "warning routes[1].coverage"}},
		{"service that no route names", func(r *declarer.Routing) { r.Services = append(r.Services, declarer.ServiceLimits{Name: "u"}) }, []string{"warning services[3].name"}},
		{"service without limits", func(r *declarer.Routing) { r.Services = r.Services[:2] }, []string{"warning routes[1].targets[0].service"}},
		{"service listed twice", func(r *declarer.Routing) { r.Services = append(r.Services, r.Services[0]) }, []string{"warning services[3].name"}},
		{"negative limits of a service", func(r *declarer.Routing) { r.Services[0].Connections, r.Services[0].ColdRate = -1, -1 }, []string{"warning services[0].connections", "warning services[0].coldrate"}},
		{"no limits of bytes", func(r *declarer.Routing) { r.Limits.HeaderBytes, r.Limits.BodyBytes = 0, -1 }, []string{"warning limits.header", "warning limits.body"}},
		{"no limits of time", func(r *declarer.Routing) { r.Limits.HeaderTimeout, r.Limits.IdleTimeout = ms(0), ms(-1) }, []string{"warning limits.headertime", "warning limits.idletime"}},
		{"order", func(r *declarer.Routing) { r.Limits.BodyBytes, r.Routes[1].Attempts = 0, 0 }, []string{"error routes[1].attempts", "warning limits.body"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouting()
			tt.change(r)
			rep := Check(&fakeDocument{routing: r}, nil)
			if diff := cmp.Diff(tt.want, brief(rep.Findings)); diff != "" {
				t.Errorf("findings (-want +got):\n%s\n%+v", diff, rep.Findings)
			}
		})
	}
}

// TestCheckIncomplete guards against findings that only follow from a field that could not be decoded.
func TestCheckIncomplete(t *testing.T) {
	r := newRouting()
	r.Routes[1].Attempts, r.Routes[1].Targets = 0, nil
	problems := []Finding{{Error, "routes[1].attempts", "want a number"}, {Error, "routes[1].targets[0]", "want an object"}, {Info, "routes[0]", "unknown"}}
	r.Routes[0].TopK = 0
	rep := Check(&fakeDocument{routing: r, problems: problems, incomplete: true}, nil)
	want := []string{"error routes[1].attempts", "error routes[1].targets[0]", "error routes[0].top", "info routes[0]"}
	if diff := cmp.Diff(want, brief(rep.Findings)); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

// TestCheckVersion guards against a version that daemons would ignore and the check passes.
func TestCheckVersion(t *testing.T) {
	tests := []struct {
		name    string
		version uint64
		change  func(*fakeDocument)
		want    []string
	}{
		{"above", 3, func(*fakeDocument) {}, nil},
		{"equal", 4, func(*fakeDocument) {}, []string{"error version"}},
		{"below", 5, func(*fakeDocument) {}, []string{"error version"}},
		{"invalid version in force", 3, func(d *fakeDocument) { d.routing.Accounts[0].Name = "" }, []string{"warning "}},
		{"version in force that cannot be decoded", 3, func(d *fakeDocument) { d.incomplete = true }, []string{"warning "}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			current := &fakeDocument{routing: newRouting()}
			current.routing.Version = tt.version
			tt.change(current)
			rep := Check(&fakeDocument{routing: newRouting()}, current)
			if diff := cmp.Diff(tt.want, brief(rep.Findings)); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDifferences guards against a difference that is not reported, or is reported with a key.
func TestDifferences(t *testing.T) {
	tests := []struct {
		name   string
		change func(*declarer.Routing)
		want   []Difference
	}{
		{"none", func(*declarer.Routing) {}, nil},
		{"order", func(r *declarer.Routing) { r.Routes[0], r.Routes[1] = r.Routes[1], r.Routes[0] }, nil},
		{"field of a route", func(r *declarer.Routing) { r.Routes[1].Timeout = ms(900) }, []Difference{{List: "routes", Name: "p", Change: Changed, Field: "timeout", Old: ms(800), New: ms(900)}}},
		{"shards", func(r *declarer.Routing) { r.Routes[0].Shards = []string{"s0"} }, []Difference{{List: "routes", Name: "q", Change: Changed, Field: "shards", Old: []string{"s0", "s1"}, New: []string{"s0"}}}},
		{"route removed", func(r *declarer.Routing) { r.Routes = r.Routes[:1] }, []Difference{{List: "routes", Name: "p", Change: Removed}}},
		{"route renamed", func(r *declarer.Routing) { r.Routes[1].Name = "z" }, []Difference{{List: "routes", Name: "p", Change: Removed}, {List: "routes", Name: "z", Change: Added}}},
		{"second route of a name", func(r *declarer.Routing) { r.Routes = append(r.Routes, r.Routes[1]) }, []Difference{{List: "routes", Name: "p#2", Change: Added}}},
		{"service", func(r *declarer.Routing) { r.Services[2].Connections = 20 }, []Difference{{List: "services", Name: "t", Change: Changed, Field: "connections", Old: 10, New: 20}}},
		{"limit", func(r *declarer.Routing) { r.Limits.HeaderBytes = 2 }, []Difference{{List: "limits", Change: Changed, Field: "header", Old: 1, New: 2}}},
		{"account added", func(r *declarer.Routing) { r.Accounts = append(r.Accounts, declarer.Account{Name: "y"}) }, []Difference{{List: "accounts", Name: "y", Change: Added}}},
		{"account removed", func(r *declarer.Routing) { r.Accounts = nil }, []Difference{{List: "accounts", Name: "x", Change: Removed}}},
		{"key removed", func(r *declarer.Routing) { r.Accounts[0].Keys = nil }, []Difference{{List: "accounts", Name: "x", Change: Changed, Field: "keys", Note: "1 key removed"}}},
		{"keys replaced", func(r *declarer.Routing) { r.Accounts[0].Keys = []string{"sesame-2", "sesame-3"} }, []Difference{{List: "accounts", Name: "x", Change: Changed, Field: "keys", Note: "1 key removed, 2 keys added"}}},
		{"name that holds a key", func(r *declarer.Routing) { r.Routes[1].Host = "sesame-1.example" }, []Difference{{List: "routes", Name: "p", Change: Changed, Field: "host", Old: "a.example", New: "(key).example"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := newRouting()
			tt.change(next)
			next.Version++
			rep := Check(&fakeDocument{routing: next, secret: "sesame-1"}, &fakeDocument{routing: newRouting(), secret: "sesame-1"})
			if diff := cmp.Diff(tt.want, rep.Differences); diff != "" {
				t.Errorf("differences (-want +got):\n%s", diff)
			}
		})
	}
}
