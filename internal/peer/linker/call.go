package linker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc/drpcconn"
)

// request is the envelope of a unary call.
type request struct {
	From netip.AddrPort `json:"f"`
	// Remaining is the time left for the call, measured at sending.
	Remaining time.Duration   `json:"d"`
	Body      cbor.RawMessage `json:"b"`
}

// response is the envelope of the answer to a unary call.
type response struct {
	Error *RemoteError    `json:"e,omitempty"`
	Body  cbor.RawMessage `json:"b,omitempty"`
}

// errShutdown is the cause of the errors of calls after the clean-up.
var errShutdown = errors.New("this daemon is stopping")

// Call sends in to the peer's handler called name and decodes the answer into out, which is
// validated when it has a Check method. Its errors are an *UnreachableError or a *RemoteError.
func (l *Linker) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	ctx, cancel := l.withDeadline(ctx)
	defer cancel()
	p, ok := l.pool(peer)
	if !ok {
		return &UnreachableError{Peer: peer, Err: errShutdown}
	}
	body, err := wireCodec.Marshal(in)
	if err != nil {
		return &UnreachableError{Peer: peer, Err: err}
	}
	c, err := p.get(ctx)
	if err != nil {
		return &UnreachableError{Peer: peer, Refused: isRefused(err), Err: err}
	}
	deadline, _ := ctx.Deadline()
	req := request{From: l.cfg.Self, Remaining: time.Until(deadline), Body: body}
	var resp response
	use := purposeOf(name)
	l.metrics.sent[use].Inc()
	err = c.conn.Invoke(ctx, rpcPrefix+name, wireCodec, &req, &resp)
	c.w.countBytes(use)
	if err != nil {
		p.discard(c)
		return &UnreachableError{Peer: peer, Sent: true, Err: err}
	}
	l.metrics.recv[use].Inc()
	if resp.Error != nil && resp.Error.Code == CodeTimeout {
		// The deadline passed first at the peer. For the caller this is the same as no
		// answer.
		p.discard(c)
		return &UnreachableError{Peer: peer, Sent: true, Err: resp.Error}
	}
	p.put(c)
	if resp.Error != nil {
		return resp.Error
	}
	if out == nil {
		return nil
	}
	return Decode(resp.Body, out)
}

// withDeadline returns a cancellable context with a deadline: that of ctx, or one after
// CallTimeout.
func (l *Linker) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, l.cfg.CallTimeout)
}

// pool returns the connection pool of a peer, or false after the clean-up.
func (l *Linker) pool(peer netip.AddrPort) (*pool, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	p, ok := l.pools[peer]
	if !ok {
		p = &pool{l: l, peer: peer}
		l.pools[peer] = p
	}
	return p, true
}

// callConn is a connection for unary calls, which runs one call at a time.
type callConn struct {
	conn *drpcconn.Conn
	w    *peerConn
}

// pool holds the idle connections for unary calls to one peer.
type pool struct {
	l    *Linker
	peer netip.AddrPort

	mu     sync.Mutex
	closed bool
	idle   []*callConn
	// unusedTicks is the number of ticks since the last call.
	unusedTicks int
}

// get returns an idle connection, or dials a new one.
func (p *pool) get(ctx context.Context) (*callConn, error) {
	p.mu.Lock()
	p.unusedTicks = 0
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !isClosed(c) {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	w, err := p.l.dial(ctx, p.peer)
	if err != nil {
		return nil, err
	}
	return &callConn{conn: drpcconn.NewWithOptions(w, drpcconn.Options{Manager: p.l.managerOptions()}), w: w}, nil
}

func (p *pool) put(c *callConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.l.cfg.MaxIdleConns {
		go c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that failed and all idle ones, which may have the same failure.
func (p *pool) discard(c *callConn) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	c.close()
	for _, c := range idle {
		c.close()
	}
}

// tick counts one tick, and closes the idle connections after maxUnusedTicks ticks without a call.
func (p *pool) tick(maxUnusedTicks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unusedTicks++
	if p.unusedTicks < maxUnusedTicks {
		return
	}
	for _, c := range p.idle {
		go c.close()
	}
	p.idle = nil
	p.unusedTicks = 0
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// close closes the connection without waiting for a peer that does not read.
func (c *callConn) close() {
	c.w.Close()
	c.conn.Close()
}

func isClosed(c *callConn) bool {
	select {
	case <-c.conn.Closed():
		return true
	default:
		return false
	}
}
