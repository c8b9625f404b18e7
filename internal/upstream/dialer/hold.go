package dialer

import (
	"context"
	"net/http"
	"time"
)

// healthPath is the page that a nudge reads.
const healthPath = "/health"

// Hold is a request that was given up while the upstream may still be running
// it. Its slot stays taken until the upstream surely has stopped.
type Hold struct {
	client *Client
	conn   *conn
	// from is when the request was given up, and until when the upstream has
	// stopped by its deadline whatever was lost.
	from, until time.Duration
	grace       time.Duration
}

// hold returns a Hold that begins now.
func (x *exchange) hold() *Hold {
	cfg := &x.client.cfg
	return &Hold{
		client: x.client,
		conn:   x.conn,
		from:   clock(),
		until:  x.began + x.timeout + cfg.Margin,
		grace:  cfg.Grace,
	}
}

// Wait returns when the upstream has stopped the request: a grace after the
// cancellation was sent if the connection has been heard from since, or was
// ended by the upstream; else after the request's deadline and a margin.
func (h *Hold) Wait() {
	for left := h.left(); left > 0; left = h.left() {
		time.Sleep(left)
	}
}

// left returns the time to the next check, or 0 when the upstream has stopped.
func (h *Hold) left() time.Duration {
	now := clock()
	if now >= h.until {
		return 0
	}
	if now < h.from+h.grace {
		return min(h.from+h.grace, h.until) - now
	}
	if h.conn.link.ended.Load() || h.conn.link.heardSince(h.from) {
		return 0
	}
	h.client.nudge(h.conn, h.until-now)
	return min(h.grace, h.until-now)
}

// nudge makes the upstream send bytes on a connection: it reads the connection's
// frames in order, so that its answer comes after it has read a cancellation.
func (c *Client) nudge(cn *conn, timeout time.Duration) {
	if c.cfg.HTTP1 || !cn.nudged.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer cn.nudged.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if cn.http.Reserve() != nil {
			return
		}
		cn.link.owe()
		req := &http.Request{Method: http.MethodGet, URL: c.url(healthPath), Header: http.Header{}}
		res, err := cn.http.RoundTrip(req.WithContext(ctx))
		if err == nil {
			res.Body.Close()
		}
	}()
}
