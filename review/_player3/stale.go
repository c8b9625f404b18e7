package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/platform"
)

const (
	// drainTime is drain_ms.
	drainTime = 3 * time.Second
	// lateWrite is how long after it was sent the store executes a check-in that got no answer: 1 to 6 s by the bench's kinds.
	lateWrite = 5900 * time.Millisecond
	// drainAt is when the next process of the searcher reports that it drains, after that check-in was sent.
	drainAt = 2700 * time.Millisecond
	// serveOn is how long it serves on after that.
	serveOn = drainTime + 1900*time.Millisecond
	// staleWork is the time that a request takes.
	staleWork = 120 * time.Millisecond
	// staleRounds is the number of times that a searcher does all this.
	staleRounds = 10
)

// staleEntry lets the store execute the last check-in of a searcher's former process while its next process drains.
func staleEntry(rec *record, trouble bool) (bool, error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	var all []*searcher
	for _, zone := range zones {
		p, err := s.addSearcher("i-"+zone, "till", zone)
		if err != nil {
			return false, err
		}
		p.work = staleWork
		all = append(all, p)
	}
	for _, zone := range zones {
		if _, err := s.addDaemon("front-"+zone, zone); err != nil {
			return false, err
		}
	}
	s.declare(fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"path_prefix":"/goka/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":500,"priority":2,"service":"till","attempts":2}],`+
		`"services":[{"name":"till","health_path":"/health","max_conns":35,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":0.0}],`+
		`"limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}}`, host))
	if err := s.startAll(); err != nil {
		return false, err
	}
	c := newClients(s)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c.load(ctx, 180, "POST", "/goka/1", "x", 5*time.Second)
	time.Sleep(3 * time.Second)
	late, lost := 0, 0
	for round := range staleRounds {
		p := all[round%len(all)]
		drained := p.replaceAndDrain(trouble)
		exited := time.Now()
		time.Sleep(time.Second)
		n, m := c.afterLeaving(p, drained, exited)
		late, lost = late+n, lost+m
		if err := p.start(0); err != nil {
			return false, err
		}
	}
	stop()
	c.running.Wait()
	line := fmt.Sprintf("%d requests that were sent later than %s after a machine had passed on an answer with %s reached that searcher from that machine; %d of them were lost", late, drainTime, leavingHeader, lost)
	rec.notef("%s", line)
	fmt.Println(line)
	fmt.Println("answers by status:", c.statuses())
	return late > 0, nil
}

// afterLeaving counts the requests of a span that reached a searcher from a machine that had passed on an answer with leavingHeader of it
// drainTime and more before the client sent them, and those of them that got no success. That a client has such an answer shows that it was
// passed on.
func (c *clients) afterLeaving(p *searcher, from, to time.Time) (late, lost int) {
	arrivals := p.arrivalsBetween(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	passedOn := make(map[*daemon]time.Time)
	for _, a := range arrivals {
		r := c.replies[a.id]
		at := r.sentAt.Add(r.took)
		if first, known := passedOn[r.daemon]; r.leaving && (!known || at.Before(first)) {
			passedOn[r.daemon] = at
		}
	}
	for _, a := range arrivals {
		r := c.replies[a.id]
		first, known := passedOn[r.daemon]
		if !known || r.sentAt.Sub(first) <= drainTime {
			continue
		}
		late++
		if r.status != http.StatusOK {
			lost++
		}
		p.site.record.notef("%s reached %s from %s; it was sent %s after that machine had passed on an answer with %s", a.id, p.id, r.daemon.name, r.sentAt.Sub(first).Round(time.Millisecond), leavingHeader)
	}
	return late, lost
}

// replaceAndDrain sends a check-in that the store executes late if trouble is set, ends the process, starts the next one, drains it and ends it.
// It returns when the store acknowledged that it drains.
func (p *searcher) replaceAndDrain(trouble bool) time.Time {
	rec := p.site.record
	p.mu.Lock()
	p.sequence++
	former := p.entry()
	p.mu.Unlock()
	sent := time.Now()
	rec.notef("%s sends a check-in that gets no answer, and ends", p.id)
	p.stop()
	time.Sleep(300 * time.Millisecond)
	if err := p.start(0); err != nil {
		rec.notef("%s not started again: %v", p.id, err)
	}
	rec.notef("%s starts again", p.id)
	time.Sleep(time.Until(sent.Add(drainAt)))
	p.mu.Lock()
	p.state = "draining"
	p.writeEntry()
	p.mu.Unlock()
	drained := time.Now()
	rec.notef("%s drains", p.id)
	time.Sleep(time.Until(sent.Add(lateWrite)))
	if trouble {
		p.site.store.Set(platform.KindServers, p.id, former)
		rec.notef("the store executes the check-in of the former process of %s", p.id)
	}
	time.Sleep(time.Until(drained.Add(serveOn)))
	p.crash()
	p.site.store.Delete(platform.KindServers, p.id)
	rec.notef("%s has served on for %s and exits", p.id, serveOn)
	return drained
}
