package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"cornelwood.example/internal/upstream/connector"
	"cornelwood.example/platform"
)

const (
	healthPath = "/health"
	// coldHeader says for how many milliseconds a searcher stays cold.
	coldHeader = "X-Cornelwood-Cold-Ms"
)

// searcher is a searcher of the users' pages. The last segment of a request's path is its work in milliseconds.
type searcher struct {
	id, service, zone string
	site              *site
	lis               net.Listener
	// slots is the number of requests that it runs at once; it refuses what is beyond.
	slots chan struct{}
	// crashRate is the number of requests in one second beyond which it crashes while it is cold; 0 means that it never does.
	crashRate int
	// copiesRefusals makes it send each refusal a second time, late: when the connection's next answer is expected.
	copiesRefusals bool

	mu sync.Mutex
	// isFull is true until it has refused one request, although it has a free slot.
	isFull    bool
	conns     map[net.Conn]struct{}
	isClosed  bool
	coldUntil time.Time
	arrivals  []arrival
}

// arrival is a request that has reached a searcher.
type arrival struct {
	id string
	at time.Time
	// ran is true when the searcher ran it, done when it has sent the answer.
	ran, done bool
}

// addSearcher starts a searcher, which is not registered yet.
func (s *site) addSearcher(ctx context.Context, id, service, zone string, slots int) (*searcher, error) {
	lis, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	sr := &searcher{
		id: id, service: service, zone: zone, site: s, lis: lis, slots: make(chan struct{}, slots),
		conns: make(map[net.Conn]struct{}),
	}
	s.searchers = append(s.searchers, sr)
	go sr.accept()
	return sr, nil
}

// register writes the searcher's entry.
func (sr *searcher) register(state string, warmup time.Duration) {
	spec, err := json.Marshal(map[string]any{
		"service": sr.service, "address": sr.lis.Addr().String(), "zone": sr.zone, "version": "v1", "slots": cap(sr.slots),
		"state": state, "warmup_left_ms": warmup.Milliseconds(), "sequence": 1, "born": sr.site.rec.started.UnixMilli(),
	})
	if err != nil {
		// Strings and numbers always have a JSON form.
		panic(err)
	}
	sr.site.store.Set(platform.KindServers, sr.id, spec)
	sr.site.rec.addf("store: entry of searcher %s is %s, warm-up %s", sr.id, state, warmup)
}

// deregister removes the searcher's entry.
func (sr *searcher) deregister() {
	sr.site.store.Delete(platform.KindServers, sr.id)
	sr.site.rec.addf("store: entry of searcher %s is removed", sr.id)
}

// close ends the searcher and its connections.
func (sr *searcher) close() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if !sr.isClosed {
		sr.site.rec.addf("searcher %s exits", sr.id)
	}
	sr.isClosed = true
	sr.lis.Close()
	for c := range sr.conns {
		c.Close()
	}
}

// turnCold makes the searcher cold for a time, which its health page says at once.
func (sr *searcher) turnCold(d time.Duration) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.coldUntil = time.Now().Add(d)
	sr.site.rec.addf("searcher %s turns cold for %s", sr.id, d)
}

// seen returns the requests that have arrived.
func (sr *searcher) seen() []arrival {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return append([]arrival(nil), sr.arrivals...)
}

func (sr *searcher) accept() {
	for {
		c, err := sr.lis.Accept()
		if err != nil {
			return
		}
		sr.mu.Lock()
		if sr.isClosed {
			c.Close()
		}
		sr.conns[c] = struct{}{}
		sr.mu.Unlock()
		go func() {
			sr.serve(c)
			c.Close()
			sr.mu.Lock()
			defer sr.mu.Unlock()
			delete(sr.conns, c)
		}()
	}
}

// serve answers the requests of one connection until it fails.
func (sr *searcher) serve(c net.Conn) {
	r := bufio.NewReader(c)
	var second []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if len(second) > 0 {
			sr.site.rec.addf("searcher %s sends the second copy of its last answer on this connection", sr.id)
			if _, err := c.Write(second); err != nil {
				return
			}
		}
		answer, refused := sr.answer(req)
		if _, err := c.Write(answer); err != nil {
			return
		}
		second = nil
		if refused && sr.copiesRefusals {
			second = answer
		}
	}
}

// fillUp makes the searcher full until it has refused one request.
func (sr *searcher) fillUp() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.isFull = true
}

// takeSlot takes a slot, and returns false when none is free.
func (sr *searcher) takeSlot() bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.isFull {
		sr.isFull = false
		return false
	}
	select {
	case sr.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// answer runs or refuses one request. It returns the bytes of the answer, and whether that is a refusal since it is full.
func (sr *searcher) answer(req *http.Request) ([]byte, bool) {
	in := platform.ReadRequestHeaders(req.Header)
	meta := connector.Meta{RequestID: in.RequestID, Instance: sr.id}
	switch {
	case req.URL.Path == healthPath:
		return sr.healthAnswer(), false
	case in.Instance != "" && in.Instance != sr.id:
		meta.NotRun = true
		return encode(http.StatusMisdirectedRequest, &meta, nil), false
	case !sr.takeSlot():
		sr.add(in.RequestID, false)
		sr.site.rec.addf("searcher %s refuses %s: it is full", sr.id, in.RequestID)
		meta.NotRun = true
		return encode(http.StatusServiceUnavailable, &meta, nil), true
	}
	defer func() { <-sr.slots }()
	n := sr.add(in.RequestID, true)
	sr.site.rec.addf("searcher %s runs %s", sr.id, in.RequestID)
	sr.crashIfOverloaded()
	ms, err := strconv.Atoi(path.Base(req.URL.Path))
	if err != nil {
		ms = 0
	}
	time.Sleep(time.Duration(ms) * time.Millisecond)
	sr.mu.Lock()
	sr.arrivals[n].done = !sr.isClosed
	sr.mu.Unlock()
	meta.Stamp = fmt.Sprintf("%s.%d", sr.id, n)
	return encode(http.StatusOK, &meta, []byte("answer to "+in.RequestID)), false
}

func (sr *searcher) healthAnswer() []byte {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	h := make(http.Header)
	if left := time.Until(sr.coldUntil); left > 0 {
		h.Set(coldHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	platform.WriteAnswerHeaders(h, connector.Meta{Instance: sr.id})
	return encodeHead(http.StatusOK, h, nil)
}

// crashIfOverloaded ends the searcher when it is cold and got more requests in the last second than it can take.
func (sr *searcher) crashIfOverloaded() {
	now, n := time.Now(), 0
	sr.mu.Lock()
	for _, a := range sr.arrivals {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	overloaded := sr.crashRate > 0 && now.Before(sr.coldUntil) && n > sr.crashRate
	sr.mu.Unlock()
	if overloaded {
		sr.site.rec.addf("searcher %s crashes: %d requests in one second while it is cold", sr.id, n)
		sr.close()
	}
}

// add notes a request and returns its number.
func (sr *searcher) add(id string, ran bool) int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.arrivals = append(sr.arrivals, arrival{id: id, at: time.Now(), ran: ran})
	return len(sr.arrivals) - 1
}

func encode(status int, meta *connector.Meta, body []byte) []byte {
	h := make(http.Header)
	platform.WriteAnswerHeaders(h, *meta)
	return encodeHead(status, h, body)
}

func encodeHead(status int, h http.Header, body []byte) []byte {
	h.Set("Content-Length", strconv.Itoa(len(body)))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// A write to a buffer never fails.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
