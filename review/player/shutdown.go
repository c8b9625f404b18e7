package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playShutdown sends requests on open connections to a daemon that is being stopped, and checks LOST.
func playShutdown(ctx context.Context, s *site, trouble bool) ([]string, error) {
	const (
		searchers = 4
		clients   = 8
		// sendAfter is the time from SIGTERM to the requests, work the time that they take.
		sendAfter = 3100 * time.Millisecond
		work      = 2400 * time.Millisecond
	)
	for i := range searchers {
		sr, err := s.addSearcher(ctx, fmt.Sprintf("i-desk-%d", i+1), "desk", ownZone, 3)
		if err != nil {
			return nil, err
		}
		sr.register("ready", 0)
	}
	if err := s.declare(ctx, onceRoute("desk"), ""); err != nil {
		return nil, err
	}
	callers := make([]*caller, clients)
	for i := range callers {
		c, err := s.dial(ctx)
		if err != nil {
			return nil, err
		}
		defer c.close()
		callers[i] = c
		c.do(&call{id: fmt.Sprintf("first-%d", i), method: http.MethodPost, path: "/desk/20", body: "order", pieces: 1})
	}
	if trouble {
		if err := s.terminate(); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, sendAfter); err != nil {
		return nil, err
	}
	calls := make([]call, clients)
	var group sync.WaitGroup
	for i, c := range callers {
		calls[i] = call{id: fmt.Sprintf("second-%d", i), method: http.MethodPost, path: fmt.Sprintf("/desk/%d", work.Milliseconds()), body: "order", pieces: 1}
		group.Go(func() { c.do(&calls[i]) })
	}
	group.Wait()
	// The searchers finish what they run.
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if !trouble {
		return nil, allServed(calls)
	}
	return cutRequests(s, calls), nil
}

// cutRequests returns the requests that a searcher has finished and whose connection ended without an answer.
func cutRequests(s *site, calls []call) []string {
	finished := make(map[string]string)
	for _, sr := range s.searchers {
		for _, a := range sr.seen() {
			if a.done {
				finished[a.id] = sr.id
			}
		}
	}
	var breaches []string
	for i := range calls {
		l := &calls[i]
		if by, ok := finished[l.id]; ok && l.err != nil {
			breaches = append(breaches, fmt.Sprintf("LOST: request %s was passed on, ran at %s to its end, and its connection ended after %.3f s without an answer: %v",
				l.id, by, l.endedAt.Sub(l.sentAt).Seconds(), l.err))
		}
	}
	return breaches
}
