package commander

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// setters parses and sets each setting of a service, by its key.
var setters = map[string]func(s *declarer.Service, text string) error{
	"deadline":    func(s *declarer.Service, text string) error { return setDuration(&s.Contract.Deadline, text) },
	"latency":     func(s *declarer.Service, text string) error { return setDuration(&s.Contract.Latency, text) },
	"quantile":    func(s *declarer.Service, text string) error { return setFloat(&s.Contract.Quantile, text) },
	"coverage":    func(s *declarer.Service, text string) error { return setFloat(&s.Contract.Coverage, text) },
	"priority":    func(s *declarer.Service, text string) error { return setInt(&s.Contract.Priority, text) },
	"hedge":       func(s *declarer.Service, text string) error { return setBool(&s.Contract.Hedge, text) },
	"slots":       func(s *declarer.Service, text string) error { return setInt(&s.Capacity.Slots, text) },
	"cold":        func(s *declarer.Service, text string) error { return setInt(&s.Capacity.ColdSlots, text) },
	"connections": func(s *declarer.Service, text string) error { return setInt(&s.Capacity.Connections, text) },
}

// setContract changes single settings of a service.
func (c *Commander) setContract(r *http.Request) (int, any, error) {
	req, err := decodeRequest(r.Body, fields{version: optional, set: required})
	if err != nil {
		return 0, nil, err
	}
	if err := checkSettings(req.Set); err != nil {
		return 0, nil, err
	}
	o, err := c.run(r.Context(), change{
		id:     req.Change,
		key:    declarer.Key{Kind: declarer.KindService, Name: r.PathValue("name")},
		expect: req.Version,
		edit: func(cur declarer.Object) (declarer.Object, error) {
			return withSettings(cur, req.Set)
		},
	})
	return http.StatusOK, o, err
}

// checkSettings refuses unknown keys and values that cannot be parsed.
func checkSettings(set map[string]string) error {
	_, err := withSettings(declarer.Object{Service: &declarer.Service{}}, set)
	return err
}

// withSettings returns the service of cur with settings changed.
func withSettings(cur declarer.Object, set map[string]string) (declarer.Object, error) {
	s := *cur.Service
	for _, key := range sortedKeys(set) {
		fn, ok := setters[key]
		if !ok {
			return declarer.Object{}, refuse(answerer.CodeBadField, "set."+key, "unknown setting")
		}
		if err := fn(&s, set[key]); err != nil {
			return declarer.Object{}, refuse(answerer.CodeBadField, "set."+key, err.Error())
		}
	}
	return declarer.Object{Service: &s}, nil
}

func sortedKeys(set map[string]string) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func setDuration(d *declarer.Duration, text string) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as 120ms, got %q", text)
	}
	d.Duration = v
	return nil
}

func setFloat(f *float64, text string) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("want a number, got %q", text)
	}
	*f = v
	return nil
}

func setInt(n *int, text string) error {
	v, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("want an integer, got %q", text)
	}
	*n = v
	return nil
}

func setBool(b *bool, text string) error {
	v, err := strconv.ParseBool(text)
	if err != nil {
		return fmt.Errorf("want true or false, got %q", text)
	}
	*b = v
	return nil
}
