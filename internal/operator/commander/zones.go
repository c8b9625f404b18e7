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
	req, err := decodeRequest(r.Body, fields{zone: required})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Zone.Check(); err != nil {
		return 0, nil, invalidValue("zone.", err)
	}
	o, err := c.run(r.Context(), change{
		id:      req.Change,
		key:     declarer.Key{Kind: declarer.KindZone, Name: req.Zone.Name},
		creates: true,
		edit: func(declarer.Object) (declarer.Object, error) {
			// A zone that is not declared has one owner group.
			return c.withZone(&declarer.Zone{Name: req.Zone.Name, Groups: 1}, req.Zone)
		},
	})
	return http.StatusCreated, o, err
}

func (c *Commander) changeZone(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: required, zone: required})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Zone.Check(); err != nil {
		return 0, nil, invalidValue("zone.", err)
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
	req, err := decodeRequest(r.Body, fields{version: required})
	if err != nil {
		return 0, nil, err
	}
	name := r.PathValue("name")
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindZone, Name: name},
		expect: req.Version,
		edit: func(cur declarer.Object) (declarer.Object, error) {
			if s, ok := c.serviceUsing(name); ok {
				return declarer.Object{}, zoneInUse(name, s)
			}
			return tombstone(cur)
		},
	})
	return http.StatusOK, o, err
}

// setZoneOut returns the handler that takes a zone out of service, or puts it back in.
func (c *Commander) setZoneOut(out bool) handler {
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

// withZone returns next as an object. The number of owner groups determines which daemons admit work to an upstream, so
// it can change only while the zone gets no work: when the zone is out before and after the change, or no service uses
// it.
func (c *Commander) withZone(cur, next *declarer.Zone) (declarer.Object, error) {
	if next.Groups == cur.Groups || cur.Out && next.Out {
		return declarer.Object{Zone: next}, nil
	}
	if s, ok := c.serviceUsing(next.Name); ok {
		reason := fmt.Sprintf("want %d groups while service %q uses the zone and it is not out; take it out first, and put it back in after the change", cur.Groups, s)
		return declarer.Object{}, refuse(answerer.CodeBadField, "zone.groups", reason)
	}
	return declarer.Object{Zone: next}, nil
}

// serviceUsing returns the first service, by name, that has upstreams in a zone, and false when none has.
func (c *Commander) serviceUsing(zone string) (string, bool) {
	services := c.views.View().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		if slices.ContainsFunc(s.Upstreams(), func(u declarer.Upstream) bool { return u.Zone == zone }) {
			return name, true
		}
	}
	return "", false
}

func zoneInUse(zone, service string) error {
	return refuse(answerer.CodeConflict, "name", fmt.Sprintf("zone %q is in use by service %q", zone, service))
}
