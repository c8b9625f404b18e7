package dialer

import (
	"context"
	"net/http"
	"time"
)

// healthPath is the page that a probe requests.
const healthPath = "/health"

// Hold keeps the slot of an abandoned request taken until the upstream has certainly stopped
// running it.
type Hold struct {
	client *Client
	conn   *conn
	// since is when the request was abandoned. By until the upstream has stopped it because
	// of its deadline, even if the cancellation was lost.
	since, until time.Duration
	grace        time.Duration
}

// hold returns a Hold for a request that is abandoned now.
func (x *exchange) hold() *Hold {
	cfg := &x.client.cfg
	return &Hold{
		client: x.client,
		conn:   x.conn,
		since:  monotonicNow(),
		until:  x.began + x.timeout + cfg.DeadlineMargin,
		grace:  cfg.CancelGrace,
	}
}

// Wait returns when the upstream has stopped the request: CancelGrace after it has answered
// a probe that was sent after the cancellation, when it has closed the connection, or at the
// latest DeadlineMargin after the request's deadline.
func (h *Hold) Wait() {
	for left := h.untilNextCheck(); left > 0; left = h.untilNextCheck() {
		time.Sleep(left)
	}
}

// untilNextCheck returns the time to the next check, or 0 when the upstream has stopped.
func (h *Hold) untilNextCheck() time.Duration {
	now := monotonicNow()
	if now >= h.until || h.conn.link.closedByUpstream.Load() {
		return 0
	}
	if n := h.conn.lastProbe.Load(); n != nil && n.sent > h.since {
		return min(n.answered+h.grace, h.until) - now
	}
	h.client.probe(h.conn, h.until-now)
	return min(h.grace, h.until-now)
}

// probe is a request that the upstream has answered. The upstream reads the frames of a
// connection in order, so it has read every cancellation written before sent.
type probe struct {
	sent, answered time.Duration
}

// probe requests a page on a connection and records when it is answered. Other incoming bytes
// do not show that the upstream has read a cancellation, because they may have been sent
// before.
func (c *Client) probe(cn *conn, timeout time.Duration) {
	if c.cfg.HTTP1 || !cn.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer cn.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if cn.http.Reserve() != nil {
			return
		}
		cn.link.startWaiting()
		sent := monotonicNow()
		req := &http.Request{Method: http.MethodGet, URL: c.url(healthPath), Header: http.Header{}}
		res, err := cn.http.RoundTrip(req.WithContext(ctx))
		if err != nil {
			return
		}
		res.Body.Close()
		cn.lastProbe.Store(&probe{sent: sent, answered: monotonicNow()})
	}()
}
