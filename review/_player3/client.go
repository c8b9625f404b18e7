package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	id string
	// daemon is the daemon that it was sent to.
	daemon *daemon
	sentAt time.Time
	took   time.Duration
	status int
	stamp  string
	body   string
	// leaving is true for an answer that says that its searcher leaves.
	leaving bool
	err     error
}

// clients send requests at a rate to the daemons.
type clients struct {
	site    *site
	http    *http.Client
	count   atomic.Int64
	mu      sync.Mutex
	replies map[string]reply
	running sync.WaitGroup
}

func newClients(s *site) *clients {
	return &clients{
		site: s, replies: make(map[string]reply),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
	}
}

// send sends one attempt.
func (c *clients) send(ctx context.Context, d *daemon, method, path, body string, timeout time.Duration, header http.Header) reply {
	id := fmt.Sprintf("q%07d", c.count.Add(1))
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = io.MultiReader(strings.NewReader(body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, content)
	if err != nil {
		return reply{id: id, err: err}
	}
	r.ContentLength = int64(len(body))
	r.Host = host
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("X-Cornelwood-Request-Id", id)
	r.Header.Set("X-Cornelwood-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	out := reply{id: id, daemon: d, sentAt: time.Now()}
	resp, err := c.http.Do(r)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		out.leaving = resp.Header.Get(leavingHeader) != ""
		out.status, out.stamp, out.body = resp.StatusCode, resp.Header.Get("X-Cornelwood-Server-Stamp"), string(raw)
	}
	out.err, out.took = err, time.Since(out.sentAt)
	c.mu.Lock()
	c.replies[id] = out
	c.mu.Unlock()
	c.site.record.notef("answer %s by %s status=%d stamp=%q took=%s err=%v", id, d.name, out.status, out.stamp, out.took.Round(time.Millisecond), err)
	return out
}

// load sends requests to all daemons at a rate until ctx ends.
func (c *clients) load(ctx context.Context, perSecond float64, method, path, body string, timeout time.Duration) {
	c.running.Go(func() {
		next := time.Now()
		for i := 0; ctx.Err() == nil; i++ {
			next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			time.Sleep(time.Until(next))
			d := c.site.daemons[rand.IntN(len(c.site.daemons))]
			c.running.Go(func() { c.send(context.Background(), d, method, path, body, timeout, nil) })
		}
	})
}

// statuses counts the replies by status.
func (c *clients) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int)
	for _, r := range c.replies {
		out[r.status]++
	}
	return out
}
