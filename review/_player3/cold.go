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
	// coldBefore is how long before the end of the evacuation the zone's searchers turn cold.
	coldBefore  = 200 * time.Millisecond
	evacuations = 6
	// zoneSearchers is the number of searchers in a zone, coldLoad the number of requests a second.
	zoneSearchers = 3
	coldLoad      = 450
)

// zones are those of the site.
var zones = []string{"glasgow", "edinburgh", "dundee"}

// coldSite is three daemons of three zones before a service with some searchers in each. It returns these by zone.
func coldSite(s *site) (map[string][]*searcher, error) {
	all := make(map[string][]*searcher)
	for _, zone := range zones {
		for i := range zoneSearchers {
			p, err := s.addSearcher(fmt.Sprintf("i-%s-%d", zone, i), "till", zone)
			if err != nil {
				return nil, err
			}
			p.crashAt = 3 * coldPerS
			all[zone] = append(all[zone], p)
		}
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return nil, err
		}
	}
	s.declare(fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"path_prefix":"/goka/","kind":"non_idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"service":"till","attempts":2}],`+
		`"services":[{"name":"till","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":%d}],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`, host, coldPerS))
	return all, s.startAll()
}

// coldZone takes each zone out and brings it back. Its searchers turn cold shortly before it is brought back, while they get nothing, say so
// on their health pages at once and in their entries at their next check-ins.
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
	c.load(ctx, coldLoad, "POST", "/goka/1", "x", 1200*time.Millisecond)
	time.Sleep(3 * time.Second)
	type span struct {
		p    *searcher
		from time.Time
	}
	var spans []span
	for i := range evacuations {
		zone := zones[i%len(zones)]
		s.store.Set(platform.KindEvacuations, zone, json.RawMessage(`{}`))
		rec.notef("zone %s is taken out", zone)
		time.Sleep(evacuationTime - coldBefore)
		for _, p := range all[zone] {
			spans = append(spans, span{p, time.Now()})
			if trouble {
				p.turnCold(coldTime)
				rec.notef("searcher %s turns cold for %s", p.id, coldTime)
			}
		}
		time.Sleep(coldBefore)
		s.store.Delete(platform.KindEvacuations, zone)
		rec.notef("zone %s is brought back", zone)
		time.Sleep(5 * time.Second)
	}
	stop()
	c.running.Wait()
	const most = coldPerS*coldOverage + coldSlack
	broken := 0
	for _, sp := range spans {
		n := worstSecond(sp.p, c, sp.from, sp.from.Add(coldTime))
		line := fmt.Sprintf("searcher %s after its zone was brought back: %d requests in its worst second while it was cold; %g are allowed", sp.p.id, n, most)
		rec.notef("%s", line)
		fmt.Println(line)
		if float64(n) > most {
			broken++
		}
	}
	fmt.Printf("answers by status: %v; crashes of searchers that got well above their rate: %d\n", c.statuses(), crashes(all))
	return broken > 0, nil
}

func crashes(all map[string][]*searcher) int {
	n := 0
	for _, zone := range zones {
		for _, p := range all[zone] {
			n += p.crashCount()
		}
	}
	return n
}

// worstSecond returns the largest number of requests that were sent and reached a cold searcher in one second of a span.
func worstSecond(p *searcher, c *clients, from, to time.Time) int {
	worst := 0
	arrivals := p.arrivalsBetween(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			isInside := first.isCold && a.isCold && !a.at.Before(first.at) && a.at.Sub(first.at) < time.Second
			// The first one was sent before it arrived: the second begins with its sending.
			if isInside && a.at.Sub(c.replies[first.id].sentAt) < time.Second && !c.replies[a.id].sentAt.Before(c.replies[first.id].sentAt) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}
