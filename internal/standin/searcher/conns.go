package searcher

import (
	"net"
	"sync"
	"time"
)

// connKey is the context key of the *conn that a request arrived on.
type connKey struct{}

// connTracker limits the number of open connections and can reset or silence them.
type connTracker struct {
	// limit is the largest number of open connections; 0 means no limit.
	limit int
	// delay is the connect delay, see Config.ConnectDelay.
	delay time.Duration

	mu   sync.Mutex
	open map[*conn]struct{}
	// accepted counts connections within the limit, refused those beyond it; maxOpen is the most open at one time.
	accepted, refused, maxOpen int
}

func newConnTracker(limit int, delay time.Duration) *connTracker {
	return &connTracker{limit: limit, delay: delay, open: make(map[*conn]struct{})}
}

// wrap returns a listener whose connections are tracked.
func (c *connTracker) wrap(ln net.Listener) net.Listener {
	return &listener{Listener: ln, tracker: c}
}

// add tracks a new connection; it returns nil when the limit is reached.
func (c *connTracker) add(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		c.refused++
		return nil
	}
	n := &conn{
		Conn:    raw,
		tracker: c,
		readyAt: time.Now().Add(c.delay),
		silent:  make(chan struct{}),
		closed:  make(chan struct{}),
	}
	c.open[n] = struct{}{}
	c.accepted++
	c.maxOpen = max(c.maxOpen, len(c.open))
	return n
}

func (c *connTracker) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
}

// isOpen reports whether a connection is open and was neither reset nor silenced.
func (c *connTracker) isOpen(n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.open[n]
	return ok
}

// removeAllExcept stops tracking all open connections except the given one, which may be nil, and returns them.
func (c *connTracker) removeAllExcept(except *conn) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	removed := make([]*conn, 0, len(c.open))
	for n := range c.open {
		if n == except {
			continue
		}
		removed = append(removed, n)
		delete(c.open, n)
	}
	return removed
}

// resetAll closes all open connections except the given one with a TCP reset.
func (c *connTracker) resetAll(except *conn) {
	for _, n := range c.removeAllExcept(except) {
		if t, ok := n.Conn.(*net.TCPConn); ok {
			// Fails only on a connection that is already closed.
			_ = t.SetLinger(0)
		}
		n.Close()
	}
}

// silenceAll makes all open connections except the given one permanently silent: nothing more is read from them,
// and what is written to them is dropped. They no longer count toward the limit.
func (c *connTracker) silenceAll(except *conn) {
	for _, n := range c.removeAllExcept(except) {
		close(n.silent)
	}
}

// listener accepts connections that a connTracker tracks.
type listener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection within the limit and closes those beyond it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.tracker.add(raw); n != nil {
			return n, nil
		}
		raw.Close()
	}
}

// conn is one tracked connection of a searcher.
type conn struct {
	net.Conn
	tracker *connTracker
	// readyAt is when the connect delay ends.
	readyAt time.Time
	// silent is closed when the connection is silenced, closed when it is closed.
	silent    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Read waits for the end of the connect delay and then reads. On a silent connection it blocks until the connection
// is closed.
func (n *conn) Read(p []byte) (int, error) {
	if wait := time.Until(n.readyAt); wait > 0 {
		n.sleep(wait)
	}
	got, err := n.Conn.Read(p)
	select {
	case <-n.silent:
		<-n.closed
		return 0, net.ErrClosed
	default:
		return got, err
	}
}

// Write sends p. On a silent connection it drops p and reports success.
func (n *conn) Write(p []byte) (int, error) {
	select {
	case <-n.silent:
		return len(p), nil
	default:
		return n.Conn.Write(p)
	}
}

// Close closes the connection and ends a waiting Read.
func (n *conn) Close() error {
	n.closeOnce.Do(func() { close(n.closed) })
	n.tracker.remove(n)
	return n.Conn.Close()
}

// sleep waits for d or until the connection is closed.
func (n *conn) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.closed:
	}
}
