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
	req, err := decodeRequest(r.Body, fields{service: wanted})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Service.Check(); err != nil {
		return 0, nil, checkRefusal("service.", err)
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
	req, err := decodeRequest(r.Body, fields{version: wanted, service: wanted})
	if err != nil {
		return 0, nil, err
	}
	if err := req.Service.Check(); err != nil {
		return 0, nil, checkRefusal("service.", err)
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
	req, err := decodeRequest(r.Body, fields{version: wanted})
	if err != nil {
		return 0, nil, err
	}
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindService, Name: r.PathValue("name")},
		expect: req.Version,
		edit:   bury,
	})
	return http.StatusOK, o, err
}

// takeUpstream returns the call that takes an upstream out or in.
func (c *Commander) takeUpstream(out bool) call {
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

// withUpstream returns cur with an upstream out or in.
func withUpstream(cur declarer.Object, name string, out bool) (declarer.Object, error) {
	s := *cur.Service
	known := slices.ContainsFunc(s.Upstreams(), func(u declarer.Upstream) bool { return u.Name == name })
	if !known {
		return declarer.Object{}, refuse(answerer.CodeNotFound, "upstream", "service "+s.Name+" has no upstream "+name)
	}
	s.Out = slices.DeleteFunc(slices.Clone(s.Out), func(n string) bool { return n == name })
	if out {
		s.Out = append(s.Out, name)
		slices.Sort(s.Out)
	}
	return declarer.Object{Service: &s}, nil
}

// bury returns the tombstone of an object.
func bury(declarer.Object) (declarer.Object, error) {
	return declarer.Object{Deleted: true}, nil
}

// list returns the objects of a kind in force at this daemon, ordered by name.
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

func (c *Commander) show(kind declarer.Kind, name string) (int, any, error) {
	o, ok := c.views.View().Objects[declarer.Key{Kind: kind, Name: name}]
	if !ok || o.Deleted {
		return 0, nil, refuse(answerer.CodeNotFound, "name", "this daemon knows no "+string(kind)+" "+name)
	}
	return http.StatusOK, o, nil
}
