package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cornelwood.example/platform"
)

const (
	// coldPerS is cold_per_s of the service, coldOverage and coldSlack are the bounds of the small deployments.
	coldPerS    = 10
	coldOverage = 1.5
	coldSlack   = 5
	coldTime    = 3 * time.Second
	// evacuationTime is for_s of an evacuation.
	evacuationTime = 6 * time.Second
	// coldBefore is how long before the end of the evacuation the zone's searcher turns cold.
	coldBefore  = 200 * time.Millisecond
	evacuations = 6
)

// zones are those of the site.
var zones = []string{"glasgow", "edinburgh", "dundee"}

// coldSite is three daemons of three zones before a service with a searcher in each.
func coldSite(s *site) ([]*searcher, error) {
	var all []*searcher
	for _, zone := range zones {
		p, err := s.addSearcher("i-"+zone, "till", zone)
		if err != nil {
			return nil, err
		}
		p.crashAt = 3 * coldPerS
		all = append(all, p)
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return nil, err
		}
	}
	s.declare(fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"path_prefix":"/goka/","kind":"non_idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"service":"till","attempts":2}],`+
		`"services":[{"name":"till","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":%d}],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`, host, coldPerS))
	return all, s.startAll()
}

// coldZone takes each zone out and brings it back. Its searcher turns cold shortly before it is brought back, while it gets nothing, says so
// on its health page at once and in its entry at its next check-in.
func coldZone(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	all, err := coldSite(s)
	if err != nil {
		return false, err
	}
	c := newClients(s)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.load(ctx, 180, "POST", "/goka/1", "x", 1200*time.Millisecond)
	time.Sleep(3 * time.Second)
	type span struct {
		p    *searcher
		from time.Time
	}
	var spans []span
	for i := range evacuations {
		p := all[i%len(all)]
		s.store.Set(platform.KindEvacuations, p.zone, json.RawMessage(`{}`))
		rec.notef("zone %s is taken out", p.zone)
		time.Sleep(evacuationTime - coldBefore)
		spans = append(spans, span{p, time.Now()})
		if trouble {
			p.turnCold(coldTime)
			rec.notef("searcher %s turns cold for %s", p.id, coldTime)
		}
		time.Sleep(coldBefore)
		s.store.Delete(platform.KindEvacuations, p.zone)
		rec.notef("zone %s is brought back", p.zone)
		time.Sleep(5 * time.Second)
	}
	stop()
	c.running.Wait()
	const most = coldPerS*coldOverage + coldSlack
	broken := 0
	for _, sp := range spans {
		n := worstSecond(sp.p, c, sp.from, sp.from.Add(coldTime))
		line := fmt.Sprintf("searcher %s after its zone was brought back: %d requests in its worst second; a cold one may get %g", sp.p.id, n, most)
		rec.notef("%s", line)
		fmt.Println(line)
		if trouble && float64(n) > most {
			broken++
		}
	}
	fmt.Printf("answers by status: %v; crashes of searchers that got well above their rate: %d\n", c.statuses(), crashes(all))
	return broken > 0, nil
}

func crashes(all []*searcher) int {
	n := 0
	for _, p := range all {
		n += p.crashCount()
	}
	return n
}

// worstSecond returns the largest number of requests that were sent and arrived in one second of a span.
func worstSecond(p *searcher, c *clients, from, to time.Time) int {
	worst := 0
	arrivals := p.arrivalsBetween(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			isInside := !a.at.Before(first.at) && a.at.Sub(first.at) < time.Second
			// The first one was sent before it arrived: the second begins with its sending.
			if isInside && a.at.Sub(c.replies[first.id].sentAt) < time.Second && !c.replies[a.id].sentAt.Before(c.replies[first.id].sentAt) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}
