package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playUploads replaces the searchers of a service while clients upload bodies over slow links, and checks DRAIN.
func playUploads(ctx context.Context, s *site, trouble bool) ([]string, error) {
	const (
		searchers = 2
		clients   = 4
		bodyBytes = 200_000
		pieces    = 34
		pause     = 100 * time.Millisecond
		// lingers is how long an old searcher serves on after it has reported draining.
		lingers = 3900 * time.Millisecond
		work    = "/desk/700"
	)
	add := func(name string) (*searcher, error) {
		sr, err := s.addSearcher(ctx, name, "desk", ownZone, 3)
		if err == nil {
			sr.register("ready", 0)
		}
		return sr, err
	}
	var old []*searcher
	for i := range searchers {
		sr, err := add(fmt.Sprintf("i-old-%d", i+1))
		if err != nil {
			return nil, err
		}
		old = append(old, sr)
	}
	if err := s.declare(ctx, onceRoute("desk"), ""); err != nil {
		return nil, err
	}
	calls := make([]call, clients)
	var group sync.WaitGroup
	for i := range calls {
		c, err := s.dial(ctx)
		if err != nil {
			return nil, err
		}
		defer c.close()
		calls[i] = call{id: fmt.Sprintf("upload-%d", i), method: http.MethodPost, path: work, body: strings.Repeat("x", bodyBytes), pieces: pieces, pause: pause}
		group.Go(func() { c.do(&calls[i]) })
	}
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return nil, err
	}
	var breaches []string
	if trouble {
		for i := range searchers {
			if _, err := add(fmt.Sprintf("i-new-%d", i+1)); err != nil {
				return nil, err
			}
		}
		for _, sr := range old {
			sr.register("draining", 0)
		}
		drainedAt := time.Now()
		if err := sleep(ctx, lingers); err != nil {
			return nil, err
		}
		for _, sr := range old {
			sr.close()
			breaches = append(breaches, arrivalsAfter(sr, drainedAt.Add(drainLimit), "it is draining", drainedAt)...)
		}
	}
	group.Wait()
	if !trouble {
		return nil, allServed(calls)
	}
	if err := allServed(calls); err != nil {
		s.rec.addf("%v, although two searchers were ready all the time", err)
	}
	return breaches, nil
}

// allServed returns an error that names the requests without a success, or nil.
func allServed(calls []call) error {
	var ids []string
	for i := range calls {
		if calls[i].err != nil || calls[i].status != http.StatusOK {
			ids = append(ids, calls[i].id)
		}
	}
	if len(ids) > 0 {
		return fmt.Errorf("requests not served: %s", strings.Join(ids, ", "))
	}
	return nil
}
