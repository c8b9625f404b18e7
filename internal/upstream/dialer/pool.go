package dialer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the exponential backoff after failed dials.
const (
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = time.Second
)

// maxHeaderBytes is the maximum size of an answer's header.
const maxHeaderBytes = 16 << 10

// UnreachableError means that no connection to an upstream could be opened.
type UnreachableError struct {
	Addr string
	Err  error
}

// Error returns the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("connect to upstream at %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// linkKey is the context key of the link that a dial fills in.
type linkKey struct{}

// pool holds the open connections to one upstream.
type pool struct {
	cfg       Config
	addr      string
	transport *http.Transport
	events    Events

	mu      sync.Mutex
	conns   []*conn
	dialing int
	closed  bool
	// changed is closed and replaced when waiting requests should try again.
	changed chan struct{}
	// dialErr is the error of the last dial, and redialAt when the next may begin.
	dialErr     error
	redialAt    time.Duration
	redialDelay time.Duration
}

func newPool(cfg Config, addr string, events Events) *pool {
	p := &pool{cfg: cfg, addr: addr, events: events, changed: make(chan struct{})}
	p.transport = newTransport(&p.cfg)
	return p
}

// newTransport returns a Transport that is used only to open connections.
func newTransport(cfg *Config) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(cfg.HTTP1)
	protocols.SetUnencryptedHTTP2(!cfg.HTTP1)
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  cfg.PingAfter,
			PingTimeout:      cfg.PingTimeout,
			WriteByteTimeout: cfg.PingAfter + cfg.PingTimeout,
		},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			l := ctx.Value(linkKey{}).(*link)
			l.Conn = nc
			return l, nil
		},
	}
}

// acquire returns a connection reserved for one request, and waits for one if necessary.
// The caller returns it with release.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, changed, err := p.tryAcquire()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire returns a connection, or a channel that is closed when the caller should try
// again, or an error.
func (p *pool) tryAcquire() (*conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, &UnreachableError{Addr: p.addr, Err: net.ErrClosed}
	}
	best, silent := p.reserveBest()
	if best != nil && !silent {
		best.busy++
		return best, nil, nil
	}
	err := p.startDial()
	if best != nil && (err != nil || p.dialing == 0) {
		best.busy++
		return best, nil, nil
	}
	if best != nil {
		best.http.Release()
	}
	if err != nil {
		return nil, nil, err
	}
	return nil, p.changed, nil
}

// reserveBest reserves a request on the best connection: one that is not silent if possible,
// and with the fewest requests. It reports whether that connection is silent, and returns nil
// when none accepts requests.
func (p *pool) reserveBest() (best *conn, silent bool) {
	for _, c := range p.conns {
		if !c.usable() || c.http.Available() == 0 {
			continue
		}
		isSilent := c.link.silence() > p.cfg.SilenceThreshold
		if best == nil || silent && !isSilent || silent == isSilent && c.busy < best.busy {
			best, silent = c, isSilent
		}
	}
	if best != nil && best.http.Reserve() != nil {
		return nil, false
	}
	return best, silent
}

// startDial starts a dial unless MaxConnections is reached or, over HTTP/2, another dial is
// running. It returns an error during the backoff after a failed dial.
func (p *pool) startDial() error {
	if p.dialErr != nil && monotonicNow() < p.redialAt {
		return &UnreachableError{Addr: p.addr, Err: p.dialErr}
	}
	if len(p.conns)+p.dialing >= p.cfg.MaxConnections {
		return nil
	}
	if p.dialing > 0 && !p.cfg.HTTP1 {
		return nil
	}
	p.dialing++
	go p.dial()
	return nil
}

// dial opens one connection. It does not use the context of a request, so that a cancelled
// request does not abort it.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	l := &link{onClose: p.removeClosed}
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, linkKey{}, l), "http", p.addr)

	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	defer p.notify()
	if err != nil {
		p.dialErr = err
		p.redialDelay = min(max(p.redialDelay*2, minRedialDelay), maxRedialDelay)
		p.redialAt = monotonicNow() + p.redialDelay
		return
	}
	p.dialErr, p.redialDelay = nil, 0
	if p.closed || l.closed.Load() {
		go cc.Close()
		return
	}
	p.conns = append(p.conns, &conn{http: cc, link: l})
	p.events.Opened()
}

// release returns a connection after a request.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy--
	p.closeUnused(c)
	if p.cfg.HTTP1 {
		p.notify()
	}
}

// retire excludes a connection from new requests, and closes it once its requests have
// ended.
func (p *pool) retire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.retired = true
	p.closeUnused(c)
}

func (p *pool) closeUnused(c *conn) {
	if c.retired && c.busy == 0 {
		c.link.closedByClient.Store(true)
		go c.http.Close()
	}
}

// removeClosed removes a closed connection from the pool.
func (p *pool) removeClosed(l *link) {
	p.mu.Lock()
	before := len(p.conns)
	p.conns = slices.DeleteFunc(p.conns, func(c *conn) bool { return c.link == l })
	removed := len(p.conns) < before
	p.notify()
	p.mu.Unlock()
	if removed {
		p.events.Closed(closeCause(l, p.cfg.HTTP1))
	}
}

// open returns the number of open connections, including those being dialled.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// close closes every connection once its requests have ended, and makes the pool open no
// more.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		c.retired = true
		p.closeUnused(c)
	}
	p.notify()
}

func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
