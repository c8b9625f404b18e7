package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// playRefusals sends requests that may run once at most to a service of two searchers. Now and then both are full for a
// moment, and send their refusal a second time, late. It checks TWICE.
func playRefusals(ctx context.Context, s *site, trouble bool) ([]string, error) {
	const (
		moments = 10
		// calm is the number of requests before each moment at which the searchers are full: about 5 in 100 answers are then
		// refusals, with a second copy each.
		calm  = 40
		pause = 5 * time.Millisecond
	)
	for i := range 2 {
		sr, err := s.addSearcher(ctx, fmt.Sprintf("i-till-%d", i+1), "till", ownZone, 3)
		if err != nil {
			return nil, err
		}
		sr.copiesRefusals = trouble
		sr.register("ready", 0)
	}
	if err := s.declare(ctx, onceRoute("till"), ""); err != nil {
		return nil, err
	}
	c, err := s.dial(ctx)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for n := 1; n <= moments*(calm+1); n++ {
		if n%(calm+1) == 0 {
			s.rec.addf("both searchers are full for a moment")
			for _, sr := range s.searchers {
				sr.fillUp()
			}
		}
		c.do(&call{id: fmt.Sprintf("charge-%d", n), method: http.MethodPost, path: "/till/10", body: "charge", pieces: 1})
		if err := sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
	return runsTwice(s), nil
}

// runsTwice returns the requests that ran more than once.
func runsTwice(s *site) []string {
	runs := make(map[string][]string)
	var ids []string
	for _, sr := range s.searchers {
		for _, a := range sr.seen() {
			if !a.ran {
				continue
			}
			if len(runs[a.id]) == 0 {
				ids = append(ids, a.id)
			}
			runs[a.id] = append(runs[a.id], sr.id)
		}
	}
	var breaches []string
	for _, id := range ids {
		if len(runs[id]) > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: request %s ran %d times, at %v", id, len(runs[id]), runs[id]))
		}
	}
	return breaches
}
