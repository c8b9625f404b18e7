package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// configApply is config_apply_ms.
	configApply = 3 * time.Second
	// stateBytes is the size of the desired states, below value_bytes (1,048,576), the most that an object of the store has.
	stateBytes = 1_000_000
	// stormGap and stormTime are the shortest gap_s of a config_storm in the site file, and its for_s.
	stormGap  = 60 * time.Millisecond
	stormTime = 1500 * time.Millisecond
)

// largeState returns a desired state of just under size bytes. Its route goes to a service; the others are idle.
func largeState(version int, service string, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"till","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0},`+
		`{"name":"ledger","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000},"routes":[`, version)
	fmt.Fprintf(&b, `{"name":"r","host":%q,"path_prefix":"/goka/","kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"service":%q,"attempts":2}`, host, service)
	for i := 0; ; i++ {
		route := fmt.Sprintf(`,{"name":"r-%05d","host":"idle.example","path_prefix":"/idle%05d/","kind":"idempotent","timeout_ms":600,"goal_ms":60,"priority":2,"service":"till","attempts":2}`, i, i)
		if b.Len()+len(route)+2 > size {
			break
		}
		b.WriteString(route)
	}
	b.WriteString("]}")
	return b.String()
}

// configStorm writes desired states in quick succession. The last one moves the route to another service.
func configStorm(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	old := make(map[string]bool)
	for _, zone := range []string{"glasgow", "edinburgh", "dundee"} {
		for _, service := range []string{"till", "ledger"} {
			p, err := s.addSearcher("i-"+service+"-"+zone, service, zone)
			if err != nil {
				return false, err
			}
			old[p.id] = service == "till"
		}
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return false, err
		}
	}
	version := 1
	s.declare(largeState(version, "till", stateBytes))
	if err := s.startAll(); err != nil {
		return false, err
	}
	c := newClients(s)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.load(ctx, 60, "GET", "/goka/1", "", 1200*time.Millisecond)
	time.Sleep(3 * time.Second)
	var storm []string
	if trouble {
		for range int(stormTime / stormGap) {
			version++
			storm = append(storm, largeState(version, "till", stateBytes))
		}
	}
	for _, spec := range storm {
		s.declare(spec)
		time.Sleep(stormGap)
	}
	version++
	last := largeState(version, "ledger", stateBytes)
	s.declare(last)
	confirmed := time.Now()
	rec.notef("version %d confirmed: the route goes to ledger", version)
	time.Sleep(configApply + 12*time.Second)
	stop()
	c.running.Wait()
	late, after := 0, 0
	var lastOld time.Duration
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replies {
		since := r.sentAt.Sub(confirmed)
		if since <= configApply {
			continue
		}
		after++
		if id, _, ok := strings.Cut(r.stamp, "."); ok && old[id] {
			late++
			lastOld = max(lastOld, since)
		}
	}
	rec.notef("%d of %d requests that were sent later than %s after the confirmation ran at the old service, the last %s after it", late, after, configApply, lastOld)
	fmt.Printf("%d of %d requests sent later than %s after the confirmation ran at the old service, the last %s after it\n", late, after, configApply, lastOld)
	for _, d := range s.daemons {
		for i, line := range d.logLines("unreachable") {
			if i < 3 {
				fmt.Println(d.name, line)
			}
		}
	}
	return late > 0, nil
}
