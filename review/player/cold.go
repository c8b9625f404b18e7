package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cornelwood.example/platform"
)

// playCold ends the evacuation of a zone whose searchers have become cold, as their entries say, and checks FAILBACK.
func playCold(ctx context.Context, s *site, trouble bool) ([]string, error) {
	const (
		rate     = 8.0
		overage  = 1.5
		slack    = 5
		coldTime = 3 * time.Second
		evacuate = 2 * time.Second
		// apart is the time between the entries of the two searchers, and from the second to the end of the evacuation.
		apart    = 60 * time.Millisecond
		interval = 10 * time.Millisecond
		work     = "/desk/20"
		// crashRate is well above the rate that a cold searcher tolerates, and above what the rule allows.
		crashRate = 30
		// recent bounds how long the daemon's watches have waited: they end by themselves after 1.2 s.
		recent = 900 * time.Millisecond
	)
	var all []*searcher
	for i, zone := range []string{ownZone, ownZone, "zone-b"} {
		sr, err := s.addSearcher(ctx, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, 6)
		if err != nil {
			return nil, err
		}
		sr.crashRate = crashRate
		sr.register("ready", 0)
		all = append(all, sr)
	}
	service := fmt.Sprintf(`{"name":"desk","health_path":%q,"max_conns":35,"protocol":"h1","tls":false,"cold_s":%g,"cold_per_s":%g}`, healthPath, coldTime.Seconds(), rate)
	if err := s.declare(ctx, onceRoute("desk"), service); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.sendAtInterval(load, http.MethodPost, work, interval) })
	defer group.Wait()
	defer stop()
	s.store.Set(platform.KindEvacuations, ownZone, json.RawMessage(`{}`))
	s.rec.addf("store: %s is evacuated", ownZone)
	if err := sleep(ctx, evacuate); err != nil {
		return nil, err
	}
	if err := s.cutter.awaitWatches(ctx, recent, platform.KindServers, platform.KindEvacuations); err != nil {
		return nil, err
	}
	coldAt := time.Now()
	zone := all[:2]
	for _, sr := range zone {
		if trouble {
			sr.turnCold(coldTime)
			sr.register("ready", coldTime)
		}
		if err := sleep(ctx, apart); err != nil {
			return nil, err
		}
	}
	s.store.Delete(platform.KindEvacuations, ownZone)
	s.rec.addf("store: the evacuation of %s is taken back", ownZone)
	if err := sleep(ctx, time.Until(coldAt.Add(coldTime))); err != nil {
		return nil, err
	}
	if !trouble {
		return nil, nil
	}
	var breaches []string
	for _, sr := range zone {
		breaches = append(breaches, overload(sr, coldAt, coldAt.Add(coldTime), int(rate*overage+slack))...)
	}
	return breaches, nil
}

// overload returns the first second in which a searcher got more requests than limit, between two times.
func overload(sr *searcher, from, to time.Time, limit int) []string {
	var window []arrival
	for _, a := range sr.seen() {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		window = append(window, a)
		for a.at.Sub(window[0].at) >= time.Second {
			window = window[1:]
		}
		if len(window) > limit {
			return []string{fmt.Sprintf("FAILBACK: cold searcher %s got more than %d requests in the second up to %.3f s after the first one turned cold", sr.id, limit, a.at.Sub(from).Seconds())}
		}
	}
	return nil
}
