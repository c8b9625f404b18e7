package commander

import (
	"net/http"
	"slices"
	"strings"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// objectList is the answer to a call that lists objects.
type objectList struct {
	Objects []declarer.Object `json:"objects"`
}

func (c *Commander) listServices(*http.Request) (int, any, error) {
	return http.StatusOK, c.list(declarer.KindService), nil
}

func (c *Commander) showService(r *http.Request) (int, any, error) {
	return c.show(declarer.KindService, r.PathValue("name"))
}

func (c *Commander) createService(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{service: required})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Service.Check(); err != nil {
		return 0, nil, invalidValue("service.", err)
	}
	o, err := c.run(r.Context(), change{
		id:      req.Change,
		key:     declarer.Key{Kind: declarer.KindService, Name: req.Service.Name},
		creates: true,
		edit: func(declarer.Object) (declarer.Object, error) {
			return declarer.Object{Service: req.Service}, nil
		},
	})
	return http.StatusCreated, o, err
}

func (c *Commander) changeService(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: required, service: required})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Service.Check(); err != nil {
		return 0, nil, invalidValue("service.", err)
	}
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindService, Name: r.PathValue("name")},
		expect: req.Version,
		edit: func(declarer.Object) (declarer.Object, error) {
			return declarer.Object{Service: req.Service}, nil
		},
	})
	return http.StatusOK, o, err
}

func (c *Commander) deleteService(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: required})
	if err != nil {
		return 0, nil, err
	}
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindService, Name: r.PathValue("name")},
		expect: req.Version,
		edit:   tombstone,
	})
	return http.StatusOK, o, err
}

// setUpstreamOut returns the handler that takes an upstream out of service, or puts it back in.
func (c *Commander) setUpstreamOut(out bool) handler {
	return func(r *http.Request) (int, any, error) {
		req, err := decodeRequest(r.Body, fields{})
		if err != nil {
			return 0, nil, err
		}
		name := r.PathValue("upstream")
		o, err := c.run(r.Context(), change{
			id:  req.Change,
			key: declarer.Key{Kind: declarer.KindService, Name: r.PathValue("name")},
			edit: func(cur declarer.Object) (declarer.Object, error) {
				return withUpstream(cur, name, out)
			},
		})
		return http.StatusOK, o, err
	}
}

// withUpstream returns the service of cur with an upstream taken out of service or put back in.
func withUpstream(cur declarer.Object, name string, out bool) (declarer.Object, error) {
	s := *cur.Service
	exists := slices.ContainsFunc(s.Upstreams(), func(u declarer.Upstream) bool { return u.Name == name })
	if !exists {
		return declarer.Object{}, refuse(answerer.CodeNotFound, "upstream", "service "+s.Name+" has no upstream "+name)
	}
	s.Out = slices.DeleteFunc(slices.Clone(s.Out), func(n string) bool { return n == name })
	if out {
		s.Out = append(s.Out, name)
		slices.Sort(s.Out)
	}
	return declarer.Object{Service: &s}, nil
}

// tombstone returns the tombstone of an object.
func tombstone(declarer.Object) (declarer.Object, error) {
	return declarer.Object{Deleted: true}, nil
}

// list returns the objects of a kind that are in force at this daemon, ordered by name.
func (c *Commander) list(kind declarer.Kind) objectList {
	l := objectList{Objects: []declarer.Object{}}
	for key, o := range c.views.View().Objects {
		if key.Kind == kind && !o.Deleted {
			l.Objects = append(l.Objects, *o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b declarer.Object) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// show returns an object that is in force at this daemon.
func (c *Commander) show(kind declarer.Kind, name string) (int, any, error) {
	o, ok := c.views.View().Objects[declarer.Key{Kind: kind, Name: name}]
	if !ok || o.Deleted {
		return 0, nil, refuse(answerer.CodeNotFound, "name", "this daemon has no "+string(kind)+" "+name)
	}
	return http.StatusOK, o, nil
}
