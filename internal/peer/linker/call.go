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
	// Remaining is the time left for the call, measured when sent.
	Remaining time.Duration   `json:"d"`
	Body      cbor.RawMessage `json:"b"`
}

// response is the envelope of an answer.
type response struct {
	Error *RemoteError    `json:"e,omitempty"`
	Body  cbor.RawMessage `json:"b,omitempty"`
}

// errShutdown is the cause of calls after the clean-up.
var errShutdown = errors.New("this daemon is stopping")

// Call sends in to the peer's handler of name and decodes the answer into out,
// which is checked when it has a Check method. Its errors are an
// *UnreachableError or a *RemoteError.
func (l *Linker) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	ctx, cancel := l.bound(ctx)
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
	l.meter.sent[use].Inc()
	err = c.conn.Invoke(ctx, rpcPrefix+name, wireCodec, &req, &resp)
	c.w.settle(use)
	if err != nil {
		p.discard(c)
		return &UnreachableError{Peer: peer, Sent: true, Err: err}
	}
	l.meter.recv[use].Inc()
	if resp.Error != nil && resp.Error.Code == CodeTimeout {
		// The peer saw the deadline pass first; for the caller it is the same as
		// silence.
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

// bound returns a context with a deadline.
func (l *Linker) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, l.cfg.CallTimeout)
}

// pool returns the pool of peer, and false after the clean-up.
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

// caller is one connection for unary calls, one at a time.
type caller struct {
	conn *drpcconn.Conn
	w    *wire
}

// pool holds the idle connections for unary calls to one peer.
type pool struct {
	l    *Linker
	peer netip.AddrPort

	mu     sync.Mutex
	closed bool
	idle   []*caller
	// unused counts turns of the watch since the last call.
	unused int
}

// get returns an idle connection, or dials.
func (p *pool) get(ctx context.Context) (*caller, error) {
	p.mu.Lock()
	p.unused = 0
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
	return &caller{conn: drpcconn.NewWithOptions(w, drpcconn.Options{Manager: p.l.managerOptions()}), w: w}, nil
}

func (p *pool) put(c *caller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.l.cfg.Pool {
		go c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that failed and the idle ones beside it, which
// the same fault may have met.
func (p *pool) discard(c *caller) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	c.close()
	for _, c := range idle {
		c.close()
	}
}

// tick counts a turn of the watch, and closes connections that were unused for
// idle turns.
func (p *pool) tick(idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unused++
	if p.unused < idle {
		return
	}
	for _, c := range p.idle {
		go c.close()
	}
	p.idle = nil
	p.unused = 0
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
func (c *caller) close() {
	c.w.Close()
	c.conn.Close()
}

func isClosed(c *caller) bool {
	select {
	case <-c.conn.Closed():
		return true
	default:
		return false
	}
}
