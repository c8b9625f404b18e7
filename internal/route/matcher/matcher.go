// Package matcher finds the route of a request: of the routes of its host, the one with the longest prefix of its path.
package matcher

import (
	"net"
	"slices"
	"strings"

	"cornelwood.example/internal/contract/declarer"
)

// Matcher finds routes in one version of the desired state. It is immutable.
type Matcher struct {
	routing *declarer.Routing
	// hosts holds the routes of each host in lower case, longest prefix first.
	hosts map[string][]*declarer.Route
	// names holds the routes by name.
	names map[string]*declarer.Route
}

// New returns a Matcher for the routes of r; routes that are invalid by Route.Check are left out.
func New(r *declarer.Routing) *Matcher {
	m := &Matcher{routing: r, hosts: make(map[string][]*declarer.Route), names: make(map[string]*declarer.Route)}
	for i := range r.Routes {
		rt := &r.Routes[i]
		if rt.Check() != nil {
			continue
		}
		host := strings.ToLower(rt.Host)
		m.hosts[host] = append(m.hosts[host], rt)
		m.names[rt.Name] = rt
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *declarer.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// Routing returns the desired state that the Matcher was made from.
func (m *Matcher) Routing() *declarer.Routing {
	return m.routing
}

// Route returns the route of a name, or nil when there is none.
func (m *Matcher) Route(name string) *declarer.Route {
	return m.names[name]
}

// Match returns the route of a request, or nil when there is none. The host may include a port.
func (m *Matcher) Match(host, path string) *declarer.Route {
	for _, rt := range m.hosts[normalize(host)] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

// normalize returns the host in lower case and without its port.
func normalize(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
