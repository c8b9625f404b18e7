package commander

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

func (c *Commander) listZones(*http.Request) (int, any, error) {
	return http.StatusOK, c.list(declarer.KindZone), nil
}

func (c *Commander) showZone(r *http.Request) (int, any, error) {
	return c.show(declarer.KindZone, r.PathValue("name"))
}

func (c *Commander) createZone(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{zone: wanted})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Zone.Check(); err != nil {
		return 0, nil, checkRefusal("zone.", err)
	}
	o, err := c.run(r.Context(), change{
		id:      req.Change,
		key:     declarer.Key{Kind: declarer.KindZone, Name: req.Zone.Name},
		creates: true,
		edit: func(declarer.Object) (declarer.Object, error) {
			// A zone that is not declared has one group.
			return c.withZone(&declarer.Zone{Name: req.Zone.Name, Groups: 1}, req.Zone)
		},
	})
	return http.StatusCreated, o, err
}

func (c *Commander) changeZone(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: wanted, zone: wanted})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Zone.Check(); err != nil {
		return 0, nil, checkRefusal("zone.", err)
	}
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindZone, Name: r.PathValue("name")},
		expect: req.Version,
		edit: func(cur declarer.Object) (declarer.Object, error) {
			return c.withZone(cur.Zone, req.Zone)
		},
	})
	return http.StatusOK, o, err
}

func (c *Commander) deleteZone(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: wanted})
	if err != nil {
		return 0, nil, err
	}
	name := r.PathValue("name")
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindZone, Name: name},
		expect: req.Version,
		edit: func(cur declarer.Object) (declarer.Object, error) {
			if s, ok := c.userOf(name); ok {
				return declarer.Object{}, inUse(name, s)
			}
			return bury(cur)
		},
	})
	return http.StatusOK, o, err
}

// takeZone returns the call that takes a zone out or in.
func (c *Commander) takeZone(out bool) call {
	return func(r *http.Request) (int, any, error) {
		req, err := decodeRequest(r.Body, fields{})
		if err != nil {
			return 0, nil, err
		}
		o, err := c.run(r.Context(), change{
			id:  req.Change,
			key: declarer.Key{Kind: declarer.KindZone, Name: r.PathValue("name")},
			edit: func(cur declarer.Object) (declarer.Object, error) {
				z := *cur.Zone
				z.Out = out
				return declarer.Object{Zone: &z}, nil
			},
		})
		return http.StatusOK, o, err
	}
}

// withZone returns next as an object. The number of owner groups decides who
// admits work to an upstream, so it changes only while the zone gets no work:
// when it was out already, or nothing uses it.
func (c *Commander) withZone(cur, next *declarer.Zone) (declarer.Object, error) {
	if next.Groups == cur.Groups || cur.Out && next.Out {
		return declarer.Object{Zone: next}, nil
	}
	if s, ok := c.userOf(next.Name); ok {
		reason := fmt.Sprintf("want %d groups while service %q uses the zone and it is not out; take it out first, and in again after the change", cur.Groups, s)
		return declarer.Object{}, refuse(answerer.CodeBadField, "zone.groups", reason)
	}
	return declarer.Object{Zone: next}, nil
}

// userOf returns the first service by name that has upstreams in a zone.
func (c *Commander) userOf(zone string) (string, bool) {
	services := c.views.View().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		if slices.ContainsFunc(s.Upstreams(), func(u declarer.Upstream) bool { return u.Zone == zone }) {
			return name, true
		}
	}
	return "", false
}

func inUse(zone, service string) error {
	return refuse(answerer.CodeConflict, "name", fmt.Sprintf("zone %q is in use by service %q", zone, service))
}
