package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// encodedSlash sends requests whose path has an encoded slash, which is data within a segment and begins no longer prefix.
func encodedSlash(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, zone := range zones {
		for _, service := range []string{"till", "ledger"} {
			if _, err := s.addSearcher("i-"+service+"-"+zone, service, zone); err != nil {
				return false, err
			}
		}
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return false, err
		}
	}
	s.declare(fmt.Sprintf(`{"version":1,"routes":[`+
		`{"name":"r","host":%q,"path_prefix":"/goka/","kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"service":"till","attempts":2},`+
		`{"name":"y","host":%q,"path_prefix":"/goka/2026/","kind":"idempotent","timeout_ms":1200,"goal_ms":120,"priority":1,"service":"ledger","attempts":2}],`+
		`"services":[{"name":"till","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0},`+
		`{"name":"ledger","health_path":"/health","max_conns":31,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`, host, host))
	if err := s.startAll(); err != nil {
		return false, err
	}
	path := "/goka/2026-17"
	if trouble {
		path = "/goka/2026%2F17"
	}
	c := newClients(s)
	ran := make(map[string]int)
	for range 10 {
		for _, d := range s.daemons {
			r := c.send(context.Background(), d, "GET", path, "", 1200*time.Millisecond, nil)
			service, _, _ := strings.Cut(strings.TrimPrefix(r.stamp, "i-"), "-")
			ran[service]++
		}
	}
	line := fmt.Sprintf("requests to %s by the service that ran them: %v; the longest prefix that begins this path is that of till", path, ran)
	rec.notef("%s", line)
	fmt.Println(line)
	return ran["ledger"] > 0, nil
}
