package declarer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func seconds(n int) Duration {
	return Duration{time.Duration(n) * time.Second}
}

func TestRouteCheck(t *testing.T) {
	single := Route{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Targets: []Target{{"s", 1}}}
	query := Route{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Idempotent: true, Shards: []string{"a"}, TopK: 1}
	tests := []struct {
		name string
		base Route
		edit func(r *Route)
		want string
	}{
		{"single", single, func(*Route) {}, ""},
		{"query", query, func(*Route) {}, ""},
		{"no host", single, func(r *Route) { r.Host = "" }, "route.host"},
		{"prefix without slash", single, func(r *Route) { r.Prefix = "/a" }, "route.prefix"},
		{"no attempts", single, func(r *Route) { r.Attempts = 0 }, "route.attempts"},
		{"negative timeout", single, func(r *Route) { r.Timeout = seconds(-1) }, "route.timeout"},
		{"targets and shards", query, func(r *Route) { r.Targets = single.Targets }, "route"},
		{"neither", single, func(r *Route) { r.Targets = nil }, "route"},
		{"negative weight", single, func(r *Route) { r.Targets = []Target{{"s", -1}} }, "route.targets[0]"},
		{"query that is not idempotent", query, func(r *Route) { r.Idempotent = false }, "route.idempotent"},
		{"query without records", query, func(r *Route) { r.TopK = 0 }, "route.top"},
		{"coverage above 1", query, func(r *Route) { r.Coverage = 1.1 }, "route.coverage"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := tt.base
			tt.edit(&r)
			got := ""
			for _, fe := range FieldErrors(r.Check()) {
				got += fe.Field
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("invalid field (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRouteRequiredShards(t *testing.T) {
	tests := []struct {
		shards   int
		coverage float64
		want     int
	}{
		{10, 0.89, 9},
		{10, 0.75, 8},
		{15, 0.89, 14},
		{36, 0.95, 35},
		{54, 0.85, 46},
		{4, 0.75, 3},
		{10, 1, 10},
		{10, 0, 1},
		{1, 0.5, 1},
	}
	for _, tt := range tests {
		r := Route{Shards: make([]string, tt.shards), Coverage: tt.coverage}
		if got := r.RequiredShards(); got != tt.want {
			t.Errorf("%d shards, coverage %g: want %d, got %d", tt.shards, tt.coverage, tt.want, got)
		}
	}
}

func TestRouteEffectiveTimeout(t *testing.T) {
	r := Route{Timeout: seconds(2)}
	for clientTimeout, want := range map[time.Duration]time.Duration{
		0: 2 * time.Second, time.Second: time.Second, 3 * time.Second: 2 * time.Second,
	} {
		if got := r.EffectiveTimeout(clientTimeout); got != want {
			t.Errorf("client timeout %s: want %s, got %s", clientTimeout, want, got)
		}
	}
	if got := (&Route{}).EffectiveTimeout(time.Second); got != time.Second {
		t.Errorf("route without a timeout: want 1s, got %s", got)
	}
}

func TestSearcherCheck(t *testing.T) {
	valid := Searcher{ID: "i", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
	if err := valid.Check(); err != nil {
		t.Errorf("valid searcher: %v", err)
	}
	for name, s := range map[string]Searcher{
		"no id":      {Service: "s", Addr: valid.Addr},
		"no service": {ID: "i", Addr: valid.Addr},
		"no address": {ID: "i", Service: "s"},
		"slots":      {ID: "i", Service: "s", Addr: valid.Addr, Slots: -1},
	} {
		if s.Check() == nil {
			t.Errorf("%s: want an error", name)
		}
	}
}
