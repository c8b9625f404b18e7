package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"cornelwood.example/platform"
)

// watchCutter is a store whose waiting watches of the searchers can be cut off, as the users' pages allow.
type watchCutter struct {
	http.Handler
	rec *record

	mu      sync.Mutex
	waiting map[*http.Request]*watch
}

// watch is a call that waits for a change.
type watch struct {
	kind   string
	since  time.Time
	cancel context.CancelFunc
}

func newWatchCutter(store http.Handler, rec *record) *watchCutter {
	return &watchCutter{Handler: store, rec: rec, waiting: make(map[*http.Request]*watch)}
}

// ServeHTTP answers one call. It closes the connection of a watch that is cut off, without an answer.
func (c *watchCutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		c.Handler.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.mu.Lock()
	c.waiting[r] = &watch{kind: strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), since: time.Now(), cancel: cancel}
	c.mu.Unlock()
	// The answer to a watch that has been cut off is thrown away with its connection.
	answer := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	c.Handler.ServeHTTP(answer, r.WithContext(ctx))
	c.mu.Lock()
	delete(c.waiting, r)
	isCut := ctx.Err() != nil
	c.mu.Unlock()
	if isCut {
		panic(http.ErrAbortHandler)
	}
	answer.sendTo(w)
}

// awaitWatches waits until a watch of each kind waits, and has waited for less than maxTime.
func (c *watchCutter) awaitWatches(ctx context.Context, maxTime time.Duration, kinds ...string) error {
	for !c.watchesWait(maxTime, kinds) {
		if err := sleep(ctx, 2*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func (c *watchCutter) watchesWait(maxTime time.Duration, kinds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make(map[string]bool)
	for _, w := range c.waiting {
		if time.Since(w.since) < maxTime {
			found[w.kind] = true
		}
	}
	for _, kind := range kinds {
		if !found[kind] {
			return false
		}
	}
	return true
}

// cutTime is how long the watches that wait are cut off. An HTTP client may send a call again at once when a connection that it
// has used before is closed.
const cutTime = 50 * time.Millisecond

// cut cuts off the watches of the searchers that wait, from the next moment on at which one does, for cutTime.
func (c *watchCutter) cut(ctx context.Context) error {
	var end time.Time
	for end.IsZero() || time.Now().Before(end) {
		if c.cutWaiting() && end.IsZero() {
			end = time.Now().Add(cutTime)
		}
		if err := sleep(ctx, 2*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// cutWaiting cuts off the watches that wait now and reports whether there is one.
func (c *watchCutter) cutWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for r, w := range c.waiting {
		if w.kind != platform.KindServers {
			continue
		}
		w.cancel()
		delete(c.waiting, r)
		c.rec.addf("the store cuts off a waiting watch of the searchers")
		found = true
	}
	return found
}

// heldAnswer is an answer that is not sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the headers.
func (h *heldAnswer) Header() http.Header {
	return h.header
}

// WriteHeader sets the status.
func (h *heldAnswer) WriteHeader(status int) {
	h.status = status
}

// Write adds to the body.
func (h *heldAnswer) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}

func (h *heldAnswer) sendTo(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.status)
	// The caller may have disconnected.
	_, _ = w.Write(h.body)
}
