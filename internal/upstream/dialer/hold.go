package dialer

import (
	"context"
	"net/http"
	"time"
)

// healthPath is the page that a probe reads.
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

// Wait returns when the upstream has stopped the request: a grace after it has
// answered something that was sent after the cancellation, or when it has ended
// the connection; else after the request's deadline and a margin.
func (h *Hold) Wait() {
	for left := h.left(); left > 0; left = h.left() {
		time.Sleep(left)
	}
}

// left returns the time to the next check, or 0 when the upstream has stopped.
func (h *Hold) left() time.Duration {
	now := clock()
	if now >= h.until || h.conn.link.ended.Load() {
		return 0
	}
	if n := h.conn.probe.Load(); n != nil && n.sent > h.from {
		return min(n.answered+h.grace, h.until) - now
	}
	h.client.probe(h.conn, h.until-now)
	return min(h.grace, h.until-now)
}

// probe is a request that the upstream has answered. It reads the frames of a
// connection in order, so it had read every cancellation written before sent.
type probe struct {
	sent, answered time.Duration
}

// probe makes the upstream answer on a connection. Bytes that merely come in
// prove nothing: they may have been on their way before the cancellation.
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
		cn.link.owe()
		sent := clock()
		req := &http.Request{Method: http.MethodGet, URL: c.url(healthPath), Header: http.Header{}}
		res, err := cn.http.RoundTrip(req.WithContext(ctx))
		if err != nil {
			return
		}
		res.Body.Close()
		cn.probe.Store(&probe{sent: sent, answered: clock()})
	}()
}
