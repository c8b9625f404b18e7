package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// manySearchers is the number of searchers of the service hotel-bookings.
	manySearchers = 28
	// fewAttempts is the number of attempts of the site's routes.
	fewAttempts = 2
)

// manyAttempts writes a version that adds a route whose requests may be sent to each searcher of its service.
func manyAttempts(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range manySearchers {
		if _, err := s.addSearcher(fmt.Sprintf("i-%02d", i), "bookings", zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return false, err
		}
	}
	const state = `{"version":%d,"routes":[%s],"services":[{"name":"bookings","health_path":"/health","max_conns":35,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],` +
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`
	route := func(name, prefix string, attempts int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"bookings","attempts":%d}`, name, host, prefix, attempts)
	}
	first := route("r", "/goka/", fewAttempts)
	s.declare(fmt.Sprintf(state, 1, first))
	if err := s.startAll(); err != nil {
		return false, err
	}
	attempts := fewAttempts
	if trouble {
		attempts = manySearchers
	}
	s.declare(fmt.Sprintf(state, 2, strings.Join([]string{first, route("added", "/added/", attempts)}, ",")))
	confirmed := time.Now()
	rec.notef("version 2 confirmed: it adds the route /added/ with attempts = %d", attempts)
	time.Sleep(configApply)
	c := newClients(s)
	got := make(map[string]map[int]int)
	for range 20 {
		for _, path := range []string{"/goka/1", "/added/1"} {
			for _, d := range s.daemons {
				if got[path] == nil {
					got[path] = make(map[int]int)
				}
				got[path][c.send(context.Background(), d, "GET", path, "", 5*time.Second, nil).status]++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	line := fmt.Sprintf("answers %s to %s after the confirmation, by status: /goka/ %v, /added/ %v", configApply, time.Since(confirmed).Round(time.Second), got["/goka/1"], got["/added/1"])
	rec.notef("%s", line)
	fmt.Println(line)
	return got["/added/1"][http.StatusNotFound] > 0, nil
}
