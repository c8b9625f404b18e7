package matcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
)

func route(name, host, prefix string) declarer.Route {
	return declarer.Route{
		Name: name, Host: host, Prefix: prefix, Attempts: 1,
		Targets: []declarer.Target{{Service: "s", Weight: 1}},
	}
}

func TestMatch(t *testing.T) {
	invalid := route("faulty", "a.example", "/broken")
	m := New(&declarer.Routing{Version: 1, Routes: []declarer.Route{
		route("short", "a.example", "/x/"),
		route("long", "A.example", "/x/y/"),
		route("other", "b.example", "/x/"),
		invalid,
	}})
	tests := []struct {
		name, host, path, want string
	}{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"the prefix itself", "a.example", "/x/", "short"},
		{"prefix without its trailing slash", "a.example", "/x", ""},
		{"other host", "b.example", "/x/y/z", "other"},
		{"host in upper case and with a port", "B.EXAMPLE:80", "/x/1", "other"},
		{"unknown host", "c.example", "/x/", ""},
		{"invalid route", "a.example", "/broken/1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if rt := m.Match(tt.host, tt.path); rt != nil {
				got = rt.Name
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}
