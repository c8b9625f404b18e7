package dialer

import "time"

// Hold is a request that was given up while the upstream may still be running
// it. Its slot stays taken until the upstream surely has stopped.
type Hold struct {
	link *link
	// from is when the request was given up, and until when the upstream has
	// stopped by its deadline whatever was lost.
	from, until time.Duration
	grace       time.Duration
}

// hold returns a Hold that begins now.
func (x *exchange) hold() *Hold {
	cfg := &x.client.cfg
	return &Hold{
		link:  x.conn.link,
		from:  clock(),
		until: x.began + x.timeout + cfg.Margin,
		grace: cfg.Grace,
	}
}

// Wait returns when the upstream has stopped the request: a grace after the
// cancellation was sent if the connection has been heard from since, or was
// ended by the upstream; else after the request's deadline and a margin.
func (h *Hold) Wait() {
	for {
		left := h.left()
		if left <= 0 {
			return
		}
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
	if h.link.ended.Load() || h.link.heardSince(h.from) {
		return 0
	}
	return min(h.grace, h.until-now)
}
