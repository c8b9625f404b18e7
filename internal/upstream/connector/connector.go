// Package connector carries out HTTP/1.1 exchanges with searchers over kept
// connections.
//
// It never sends a request twice, tells whether a failed request may have left,
// and takes an answer only when it is whole and belongs to the request.
package connector

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config holds the bounds of connections.
type Config struct {
	// DialTimeout bounds the time for a new connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Searchers count the
	// connections of all daemons, those of dead ones too until they time out.
	IdleTimeout time.Duration
	// SurplusTimeout is how long an unused connection beyond Request.MaxIdle is kept:
	// long enough for one use after the other at times of high load.
	SurplusTimeout time.Duration
	// FreshIdle is the longest idle time of a connection that may carry a request
	// which must not be lost: a searcher may forget an idle connection unnoticed.
	FreshIdle time.Duration
	// Silence bounds how long sent bytes may stay unacknowledged.
	Silence time.Duration
	// FullTime is how long no connection is opened to a searcher that has reset a new
	// one: it has as many as it accepts.
	FullTime time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Default returns the bounds for upstreams within one region.
func Default() Config {
	return Config{
		DialTimeout:    300 * time.Millisecond,
		IdleTimeout:    1500 * time.Millisecond,
		SurplusTimeout: 300 * time.Millisecond,
		FreshIdle:      time.Second,
		Silence:        2 * time.Second,
		FullTime:       200 * time.Millisecond,
	}
}

// ErrConnectionLimit says that no connection is idle and that the searcher has just reset a
// new one.
var ErrConnectionLimit = errors.New("the searcher accepts no more connections")

// Error says that an exchange got no answer.
type Error struct {
	Addr netip.AddrPort
	// Sent is true when bytes of the request may have left, so it may run.
	Sent bool
	// Dial is true when no connection could be opened.
	Dial bool
	Err  error
}

// Error returns the address, how far the exchange came and the cause.
func (e *Error) Error() string {
	switch {
	case e.Dial:
		return fmt.Sprintf("connect to searcher at %s: %v", e.Addr, e.Err)
	case e.Sent:
		return fmt.Sprintf("no whole answer from searcher at %s: %v", e.Addr, e.Err)
	default:
		return fmt.Sprintf("send to searcher at %s: %v", e.Addr, e.Err)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Connector holds the connections to all searchers. It is safe for concurrent
// use.
type Connector struct {
	cfg   Config
	codec Codec

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	open map[netip.AddrPort]int
	// full holds the searchers to which no connection is opened, and until when.
	full  map[netip.AddrPort]time.Time
	ended bool
	// opened counts the connections opened.
	opened uint64
}

// New returns a Connector, and a function that closes its idle connections and
// keeps no more.
func New(cfg Config, codec Codec) (*Connector, func()) {
	if cfg.Dial == nil {
		cfg.Dial = dialer(cfg.Silence)
	}
	c := &Connector{
		cfg:   cfg,
		codec: codec,
		idle:  make(map[netip.AddrPort][]*conn),
		open:  make(map[netip.AddrPort]int),
		full:  make(map[netip.AddrPort]time.Time),
	}
	return c, c.close
}

// dialer opens TCP connections that fail when sent bytes stay unacknowledged.
func dialer(silence time.Duration) func(context.Context, netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{
		KeepAlive: -1,
		Control: func(_, _ string, rc syscall.RawConn) error {
			var opt error
			err := rc.Control(func(fd uintptr) {
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return opt
		},
	}
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr.String())
	}
}

// Do carries out one exchange with the searcher at addr. With fresh set, it uses
// no connection that has been idle for long. It fails with an *Error.
func (c *Connector) Do(ctx context.Context, addr netip.AddrPort, req *Request, fresh bool) (*Reply, error) {
	cn, err := c.take(ctx, addr, fresh)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Addr: addr, Dial: true, Err: err}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	sent, rep, err := cn.exchange(req, c.codec)
	stopped := stop()
	if err != nil && cn.isNew && errors.Is(err, syscall.ECONNRESET) {
		c.setFull(addr)
	}
	cn.isNew = false
	if err != nil || !rep.reusable || !stopped {
		c.drop(addr, cn)
	} else {
		c.give(addr, cn, req.MaxIdle)
	}
	if err == nil {
		return rep, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, &Error{Addr: addr, Sent: sent, Err: err}
}

// Open returns the number of connections to an address, busy and idle.
func (c *Connector) Open(addr netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[addr]
}

// Opened returns the number of connections opened so far.
func (c *Connector) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// take returns an idle connection that can be used, or a new one.
func (c *Connector) take(ctx context.Context, addr netip.AddrPort, fresh bool) (*conn, error) {
	for {
		cn := c.pop(addr)
		if cn == nil {
			return c.dial(ctx, addr)
		}
		idle := time.Since(cn.idleSince)
		tooOld := idle > c.cfg.IdleTimeout || cn.keep > 0 && idle > cn.keep*3/4 || fresh && idle > c.cfg.FreshIdle
		if !tooOld && cn.usable() {
			return cn, nil
		}
		c.drop(addr, cn)
	}
}

func (c *Connector) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.mu.Lock()
	if until, known := c.full[addr]; known {
		if time.Now().Before(until) {
			c.mu.Unlock()
			return nil, ErrConnectionLimit
		}
		delete(c.full, addr)
	}
	c.open[addr]++
	c.opened++
	c.mu.Unlock()
	nc, err := c.cfg.Dial(ctx, addr)
	if err != nil {
		c.closed(addr)
		return nil, err
	}
	return newConn(nc), nil
}

// setFull notes that the searcher resets new connections.
//
// Load pattern: a fleet that starts again after a loss of power, or many daemons
// that turn to few searchers, when each new connection that is reset costs an
// attempt.
func (c *Connector) setFull(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full[addr] = time.Now().Add(c.cfg.FullTime)
}

// pop takes the connection that was used last.
func (c *Connector) pop(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	cn := conns[len(conns)-1]
	c.idle[addr] = conns[:len(conns)-1]
	return cn
}

// give keeps a connection for the next exchange.
func (c *Connector) give(addr netip.AddrPort, cn *conn, maxIdle int) {
	cn.idleSince, cn.maxIdle = time.Now(), maxIdle
	c.mu.Lock()
	ended := c.ended
	if !ended {
		c.idle[addr] = append(c.idle[addr], cn)
	}
	c.mu.Unlock()
	if ended {
		c.drop(addr, cn)
	}
}

func (c *Connector) drop(addr netip.AddrPort, cn *conn) {
	cn.Close()
	c.closed(addr)
}

func (c *Connector) closed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[addr]--; c.open[addr] <= 0 {
		delete(c.open, addr)
	}
}

// Sweep closes connections that have been idle for too long. Call it now and
// then.
func (c *Connector) Sweep(now time.Time) {
	var old []*conn
	var addrs []netip.AddrPort
	c.mu.Lock()
	maps.DeleteFunc(c.full, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	for addr, conns := range c.idle {
		kept := conns[:0]
		for i, cn := range conns {
			if now.Sub(cn.idleSince) <= c.idleTime(cn, len(conns)-i) {
				kept = append(kept, cn)
				continue
			}
			old = append(old, cn)
			addrs = append(addrs, addr)
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for i, cn := range old {
		c.drop(addrs[i], cn)
	}
}

// idleTime returns how long a connection may be idle that is the nth to be used
// next.
func (c *Connector) idleTime(cn *conn, nth int) time.Duration {
	limit := c.cfg.IdleTimeout
	if cn.maxIdle > 0 && nth > cn.maxIdle {
		limit = c.cfg.SurplusTimeout
	}
	if cn.keep > 0 {
		limit = min(limit, cn.keep*3/4)
	}
	return limit
}

func (c *Connector) close() {
	c.mu.Lock()
	c.ended = true
	all := c.idle
	c.idle = make(map[netip.AddrPort][]*conn)
	c.mu.Unlock()
	for addr, conns := range all {
		for _, cn := range conns {
			c.drop(addr, cn)
		}
	}
}
