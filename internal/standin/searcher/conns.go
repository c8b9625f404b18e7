package searcher

import (
	"net"
	"sync"
	"time"
)

// connKey is the context key of the *conn that a request came on.
type connKey struct{}

// conns accepts connections up to a cap and can reset or silence them.
type conns struct {
	limit int
	delay time.Duration

	mu   sync.Mutex
	open map[*conn]struct{}
	// accepted counts connections that were served, refused those beyond the cap.
	accepted, refused, mostOpen int
}

func newConns(limit int, delay time.Duration) *conns {
	return &conns{limit: limit, delay: delay, open: make(map[*conn]struct{})}
}

func (c *conns) wrap(ln net.Listener) net.Listener {
	return &listener{Listener: ln, conns: c}
}

// add takes in a connection, or returns nil when there are too many.
func (c *conns) add(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		c.refused++
		return nil
	}
	n := &conn{
		Conn:   raw,
		owner:  c,
		ready:  time.Now().Add(c.delay),
		silent: make(chan struct{}),
		closed: make(chan struct{}),
	}
	c.open[n] = struct{}{}
	c.accepted++
	c.mostOpen = max(c.mostOpen, len(c.open))
	return n
}

func (c *conns) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
}

// take removes and returns all open connections but the spared one.
func (c *conns) take(spared *conn) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := make([]*conn, 0, len(c.open))
	for n := range c.open {
		if n == spared {
			continue
		}
		taken = append(taken, n)
		delete(c.open, n)
	}
	return taken
}

// reset closes all open connections but the spared one with a TCP reset.
func (c *conns) reset(spared *conn) {
	for _, n := range c.take(spared) {
		if t, ok := n.Conn.(*net.TCPConn); ok {
			// Fails only on a connection that is closed already.
			_ = t.SetLinger(0)
		}
		n.Close()
	}
}

// silence makes all open connections but the spared one silent for good: nothing more is read
// from them, and what is written is lost. They no longer count against the cap.
func (c *conns) silence(spared *conn) {
	for _, n := range c.take(spared) {
		close(n.silent)
	}
}

// listener hands out connections that conns knows.
type listener struct {
	net.Listener
	conns *conns
}

// Accept returns the next connection within the cap, and closes those beyond.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.conns.add(raw); n != nil {
			return n, nil
		}
		raw.Close()
	}
}

// conn is one connection of a searcher.
type conn struct {
	net.Conn
	owner  *conns
	ready  time.Time
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Read reads once the connect delay is over, and never again once the
// connection is silent.
func (n *conn) Read(p []byte) (int, error) {
	if wait := time.Until(n.ready); wait > 0 {
		n.pause(wait)
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

// Write sends p, or drops it when the connection is silent.
func (n *conn) Write(p []byte) (int, error) {
	select {
	case <-n.silent:
		return len(p), nil
	default:
		return n.Conn.Write(p)
	}
}

// Close closes the connection and ends a Read that waits.
func (n *conn) Close() error {
	n.once.Do(func() { close(n.closed) })
	n.owner.remove(n)
	return n.Conn.Close()
}

func (n *conn) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.closed:
	}
}
