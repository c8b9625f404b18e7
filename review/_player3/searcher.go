package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"

	"cornelwood.example/platform"
)

// leavingHeader is in all answers of a searcher that leaves.
const leavingHeader = "Server-Leaving"

// checkInInterval is heartbeat_ms of the small deployments.
const checkInInterval = 1200 * time.Millisecond

// arrival is one request at a searcher.
type arrival struct {
	id string
	at time.Time
	// isCold is true when the searcher was cold.
	isCold bool
}

// searcher is a stand-in of a searcher: one process lifetime after the other under the same ID and address.
type searcher struct {
	site    *site
	id      string
	service string
	zone    string
	slots   int
	// work is the time that a request takes.
	work time.Duration
	addr string

	mu       sync.Mutex
	srv      *http.Server
	lis      net.Listener
	conns    map[net.Conn]struct{}
	born     int64
	sequence int
	state    string
	coldTill time.Time
	isUp     bool
	arrivals []arrival
	// crashAt is the number of requests in one second at which the searcher crashes while it is cold, 0 for none; crashed counts its
	// crashes.
	crashAt, crashed int
}

func (s *site) addSearcher(id, service, zone string) (*searcher, error) {
	addr, err := s.freeAddr()
	if err != nil {
		return nil, err
	}
	p := &searcher{
		site: s, id: id, service: service, zone: zone, slots: 3, work: 5 * time.Millisecond, addr: addr,
		conns: make(map[net.Conn]struct{}),
	}
	if err := p.start(0); err != nil {
		return nil, err
	}
	go p.checkIn()
	return p, nil
}

// start begins a lifetime that is cold for a time. It registers before it accepts connections.
func (p *searcher) start(cold time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.born, p.sequence, p.state, p.isUp = time.Now().UnixMilli(), 0, "ready", true
	p.coldTill = time.Now().Add(cold)
	p.writeEntry()
	lis, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.lis = lis
	srv := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute, ConnState: p.track}
	p.srv = srv
	go func() { _ = srv.Serve(lis) }()
	return nil
}

func (p *searcher) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateNew {
		p.conns[c] = struct{}{}
	}
	if state == http.StateClosed {
		delete(p.conns, c)
	}
}

// crash ends the lifetime without a word: its connections are reset.
func (p *searcher) crash() {
	p.mu.Lock()
	p.isUp = false
	lis, srv := p.lis, p.srv
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	lis.Close()
	srv.Close()
}

// stop ends the lifetime once it has answered what it has got.
func (p *searcher) stop() {
	p.mu.Lock()
	p.isUp = false
	srv := p.srv
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// After that time it ends without an answer to the rest.
	_ = srv.Shutdown(ctx)
}

// restartTime is how long a searcher is down after a crash of its own.
const restartTime = 2 * time.Second

// crashAndRestart crashes the searcher, once, and starts it again later.
func (p *searcher) crashAndRestart() {
	p.mu.Lock()
	wasUp := p.isUp
	p.isUp = false
	if wasUp {
		p.crashed++
	}
	p.mu.Unlock()
	if !wasUp {
		return
	}
	p.site.record.notef("searcher %s crashes: it got well above its rate", p.id)
	go func() {
		p.crash()
		time.Sleep(restartTime)
		if err := p.start(coldTime); err != nil {
			p.site.record.notef("searcher %s not started again: %v", p.id, err)
		}
	}()
}

func (p *searcher) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// turnCold makes the searcher cold for a time. Its entry says so from its next check-in on.
func (p *searcher) turnCold(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldTill = time.Now().Add(d)
}

// checkIn writes the entry each checkInInterval, from a random moment on.
func (p *searcher) checkIn() {
	time.Sleep(time.Duration(rand.Float64() * float64(checkInInterval)))
	for range time.Tick(checkInInterval) {
		p.mu.Lock()
		if p.isUp {
			p.writeEntry()
		}
		p.mu.Unlock()
	}
}

// writeEntry writes the entry; mu is held. The store's entry changes when more than its sequence changes.
func (p *searcher) writeEntry() {
	p.sequence++
	spec := p.entry()
	stored, exists := p.site.store.Get(platform.KindServers, p.id)
	if !exists || !equalButSequence(stored.Spec, spec) {
		p.site.store.Set(platform.KindServers, p.id, spec)
	}
}

// equalButSequence reports whether two entries differ in their sequence at most.
func equalButSequence(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return reflect.DeepEqual(x, y)
}

// entry returns the entry of now; mu is held.
func (p *searcher) entry() json.RawMessage {
	spec, err := json.Marshal(map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state,
		"warmup_left_ms": max(0, time.Until(p.coldTill).Milliseconds()), "sequence": p.sequence, "born": p.born,
	})
	if err != nil {
		// Strings and numbers always have a JSON form.
		panic(err)
	}
	return spec
}

// ServeHTTP answers a request or a check.
func (p *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	p.mu.Lock()
	cold := max(0, p.coldTill.Sub(now).Milliseconds())
	if r.URL.Path == "/health" {
		p.mu.Unlock()
		w.Header().Set("X-Cornelwood-Instance-Id", p.id)
		w.Header().Set("X-Cornelwood-Cold-Ms", strconv.FormatInt(cold, 10))
		return
	}
	id, expect := r.Header.Get("X-Cornelwood-Request-Id"), r.Header.Get("X-Cornelwood-Expect-Instance")
	if expect != "" && expect != p.id {
		p.mu.Unlock()
		w.Header().Set("X-Cornelwood-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.arrivals = append(p.arrivals, arrival{id: id, at: now, isCold: cold > 0})
	n := len(p.arrivals)
	mustCrash := cold > 0 && p.crashAt > 0 && n > p.crashAt && now.Sub(p.arrivals[n-1-p.crashAt].at) < time.Second
	p.mu.Unlock()
	p.site.record.notef("run %s at %s cold_ms=%d", id, p.id, cold)
	if mustCrash {
		p.crashAndRestart()
		return
	}
	w.Header().Set("X-Cornelwood-Request-Id", id)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	if p.state == "draining" {
		w.Header().Set(leavingHeader, "1")
	}
	p.mu.Unlock()
	w.Header().Set("X-Cornelwood-Server-Stamp", fmt.Sprintf("%s.%d.%s", p.id, n, id))
	_, _ = w.Write([]byte("0123456789abcdef"))
}

// arrivalsBetween returns the arrivals of a span.
func (p *searcher) arrivalsBetween(from, to time.Time) []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []arrival
	for _, a := range p.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}
