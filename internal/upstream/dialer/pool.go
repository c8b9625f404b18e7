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

// Bounds of the wait between failed dials.
const (
	minRedial = 20 * time.Millisecond
	maxRedial = time.Second
)

// UnreachableError says that no connection to an upstream could be opened.
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

// linkKey is the context key under which a dial hands its link back.
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
	// changed is closed and replaced when a waiting request may go on.
	changed chan struct{}
	// failed is the error of the last dial, and redialAt when the next may begin.
	failed   error
	redialAt time.Duration
	redial   time.Duration
}

func newPool(cfg Config, addr string, events Events) *pool {
	p := &pool{cfg: cfg, addr: addr, events: events, changed: make(chan struct{})}
	p.transport = newTransport(&p.cfg)
	return p
}

// newTransport returns a Transport that only opens connections.
func newTransport(cfg *Config) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(cfg.HTTP1)
	protocols.SetUnencryptedHTTP2(!cfg.HTTP1)
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
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

// take returns a connection on which one request may be sent. The caller gives
// it back with release.
func (p *pool) take(ctx context.Context) (*conn, error) {
	for {
		c, changed, err := p.tryTake()
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

// tryTake returns a connection, or the channel that is closed when it is worth
// trying again, or an error.
func (p *pool) tryTake() (*conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, &UnreachableError{Addr: p.addr, Err: net.ErrClosed}
	}
	best, silent := p.pick()
	if best != nil && !silent {
		best.busy++
		return best, nil, nil
	}
	err := p.dialMore()
	if best != nil && (err != nil || p.dialing == 0) {
		best.busy++
		return best, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	return nil, p.changed, nil
}

// pick reserves the best connection: one that is not silent, with the fewest
// requests on it. It returns nil when none takes requests.
func (p *pool) pick() (best *conn, silent bool) {
	for _, c := range p.conns {
		if !c.usable() || c.http.Available() == 0 {
			continue
		}
		quiet := c.link.silentFor() > p.cfg.Silence
		if best == nil || silent && !quiet || silent == quiet && c.busy < best.busy {
			best, silent = c, quiet
		}
	}
	if best != nil && best.http.Reserve() != nil {
		return nil, false
	}
	return best, silent
}

// dialMore starts a dial unless one is under way or the bound is reached. It
// returns an error when the last dial failed a moment ago.
func (p *pool) dialMore() error {
	if p.failed != nil && clock() < p.redialAt {
		return &UnreachableError{Addr: p.addr, Err: p.failed}
	}
	if len(p.conns)+p.dialing >= p.cfg.Connections {
		return nil
	}
	if p.dialing > 0 && !p.cfg.HTTP1 {
		return nil
	}
	p.dialing++
	go p.dial()
	return nil
}

// dial opens one connection. It does not belong to any request, so that a
// cancelled request wastes none.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	l := &link{onClose: p.dropped}
	cc, err := p.transport.NewClientConn(context.WithValue(ctx, linkKey{}, l), "http", p.addr)

	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	defer p.notify()
	if err != nil {
		p.failed = err
		p.redial = min(max(p.redial*2, minRedial), maxRedial)
		p.redialAt = clock() + p.redial
		return
	}
	p.failed, p.redial = nil, 0
	if p.closed || l.closed.Load() {
		go cc.Close()
		return
	}
	p.conns = append(p.conns, &conn{http: cc, link: l})
	p.events.Opened()
}

// release gives a connection back after a request.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy--
	p.closeUnused(c)
	if p.cfg.HTTP1 {
		p.notify()
	}
}

// retire keeps new requests from a connection, and closes it once its requests
// have ended.
func (p *pool) retire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.retired = true
	p.closeUnused(c)
}

func (p *pool) closeUnused(c *conn) {
	if c.retired && c.busy == 0 {
		c.link.dropped.Store(true)
		go c.http.Close()
	}
}

// dropped takes a closed connection out of the pool.
func (p *pool) dropped(l *link) {
	p.mu.Lock()
	before := len(p.conns)
	p.conns = slices.DeleteFunc(p.conns, func(c *conn) bool { return c.link == l })
	known := len(p.conns) < before
	p.notify()
	p.mu.Unlock()
	if known {
		p.events.Closed(closeCause(l, p.cfg.HTTP1))
	}
}

// open returns the number of open connections, those being dialled included.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) + p.dialing
}

// close closes every connection once its requests have ended, and opens no more.
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
