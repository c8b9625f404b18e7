package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playWatches removes the entry of a searcher while the store cuts off two waiting watches, and checks DRAIN.
func playWatches(ctx context.Context, s *site, trouble bool) ([]string, error) {
	const (
		// removeAfter is the time from the first cut to the removal, and secondCut that from the removal to the second.
		removeAfter = 400 * time.Millisecond
		secondCut   = 1200 * time.Millisecond
		// lingers is how long the searcher serves on after its entry has been removed, before it exits.
		lingers  = 3600 * time.Millisecond
		interval = 20 * time.Millisecond
		work     = "/desk/200"
	)
	var all []*searcher
	for i := range 2 {
		sr, err := s.addSearcher(ctx, fmt.Sprintf("i-desk-%d", i+1), "desk", ownZone, 20)
		if err != nil {
			return nil, err
		}
		sr.register("ready", 0)
		all = append(all, sr)
	}
	if err := s.declare(ctx, onceRoute("desk"), ""); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.sendAtInterval(load, http.MethodPost, work, interval) })
	defer group.Wait()
	defer stop()
	if trouble {
		if err := s.cutter.cut(ctx); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, removeAfter); err != nil {
		return nil, err
	}
	gone := all[0]
	gone.deregister()
	goneAt := time.Now()
	if err := sleep(ctx, secondCut); err != nil {
		return nil, err
	}
	if trouble {
		if err := s.cutter.cut(ctx); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, time.Until(goneAt.Add(lingers))); err != nil {
		return nil, err
	}
	gone.close()
	return arrivalsAfter(gone, goneAt.Add(drainLimit), "its entry was removed", goneAt), nil
}

// arrivalsAfter returns the requests that reached a searcher after a time; since is when the store confirmed what happened.
func arrivalsAfter(sr *searcher, limit time.Time, what string, since time.Time) []string {
	var breaches []string
	for _, a := range sr.seen() {
		if a.at.After(limit) {
			breaches = append(breaches, fmt.Sprintf("DRAIN: request %s reached searcher %s %.3f s after the store confirmed that %s", a.id, sr.id, a.at.Sub(since).Seconds(), what))
		}
	}
	return breaches
}

// sendAtInterval sends a request at each interval, each on a connection of its own, until ctx ends.
func (s *site) sendAtInterval(ctx context.Context, method, path string, interval time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; sleep(ctx, interval) == nil; n++ {
		group.Go(func() {
			c, err := s.dial(context.WithoutCancel(ctx))
			if err != nil {
				s.rec.addf("client cannot connect: %v", err)
				return
			}
			defer c.close()
			c.do(&call{id: fmt.Sprintf("load-%d", n), method: method, path: path})
		})
	}
}
