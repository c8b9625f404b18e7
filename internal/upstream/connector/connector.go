// Package connector sends HTTP/1.1 requests to searchers over persistent connections.
//
// It never sends a request twice, reports whether a failed request may have been sent,
// and accepts an answer only when it is complete and belongs to the request.
package connector

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config holds the settings of a Connector.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection stays open. Searchers limit the
	// connections of all daemons together; those of crashed daemons count until they
	// time out.
	IdleTimeout time.Duration
	// SurplusTimeout is how long an unused connection beyond Request.MaxIdle stays open:
	// long enough to be reused by the next request at high load.
	SurplusTimeout time.Duration
	// MaxFreshIdle is the longest idle time of a connection that Connector.Do uses with
	// fresh set, for requests that must not be lost: a searcher may drop an idle connection
	// without this side noticing.
	MaxFreshIdle time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before
	// the connection fails.
	UserTimeout time.Duration
	// DialPause is how long no connection is opened to a searcher that has reset a new one:
	// it has reached the number of connections that it accepts.
	DialPause time.Duration
	// MaxBuffered bounds the bytes of large answers that are read or passed on at once.
	MaxBuffered int64
	// Dial opens a connection; nil means over TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Default returns the settings for searchers within one region.
func Default() Config {
	return Config{
		DialTimeout:    300 * time.Millisecond,
		IdleTimeout:    1500 * time.Millisecond,
		SurplusTimeout: 300 * time.Millisecond,
		MaxFreshIdle:   time.Second,
		UserTimeout:    2 * time.Second,
		DialPause:      200 * time.Millisecond,
		MaxBuffered:    32 << 20,
	}
}

// receiveBytes is the receive buffer of a connection, which the kernel doubles. What it holds unread counts as memory of the process;
// left to itself the kernel holds up to 6 MB of a searcher that sends fast.
const receiveBytes = 32 << 10

// ErrConnectionLimit means that no connection is idle and that the searcher reset a new one
// less than Config.DialPause ago.
var ErrConnectionLimit = errors.New("searcher accepts no more connections")

// Error means that an exchange got no complete answer.
type Error struct {
	Addr netip.AddrPort
	// Sent is true when bytes of the request may have been sent, so that the searcher may
	// run it.
	Sent bool
	// Dial is true when no connection could be opened.
	Dial bool
	Err  error
}

// Error returns the step that failed, the address and the cause.
func (e *Error) Error() string {
	switch {
	case e.Dial:
		return fmt.Sprintf("connect to searcher at %s: %v", e.Addr, e.Err)
	case e.Sent:
		return fmt.Sprintf("no complete answer from searcher at %s: %v", e.Addr, e.Err)
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
	// memory bounds what is read of large answers.
	memory *memory

	mu         sync.Mutex
	idle       map[netip.AddrPort][]*conn
	openCounts map[netip.AddrPort]int
	gates      map[netip.AddrPort]*gate
	// pausedUntil holds the time until which no connection is opened, by searcher.
	pausedUntil map[netip.AddrPort]time.Time
	isClosed    bool
	// opened counts the connections opened, including failed attempts.
	opened uint64
}

// New returns a Connector, and a function that closes its idle connections and makes it
// close others as soon as they become idle.
func New(cfg Config, codec Codec) (*Connector, func()) {
	if cfg.Dial == nil {
		cfg.Dial = newDialFunc(cfg.UserTimeout)
	}
	c := &Connector{
		cfg:         cfg,
		codec:       codec,
		memory:      &memory{limit: cfg.MaxBuffered},
		idle:        make(map[netip.AddrPort][]*conn),
		openCounts:  make(map[netip.AddrPort]int),
		gates:       make(map[netip.AddrPort]*gate),
		pausedUntil: make(map[netip.AddrPort]time.Time),
	}
	return c, c.close
}

// newDialFunc returns a function that opens TCP connections which fail when sent bytes stay
// unacknowledged for the timeout.
func newDialFunc(timeout time.Duration) func(context.Context, netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{
		KeepAlive: -1,
		Control: func(_, _ string, rc syscall.RawConn) error {
			var opt error
			err := rc.Control(func(fd uintptr) {
				opt = errors.Join(
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes),
				)
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

// Do sends one request to the searcher at addr and returns the answer. With fresh set, it
// uses no connection that has been idle for longer than Config.MaxFreshIdle. It fails with
// an *Error.
func (c *Connector) Do(ctx context.Context, addr netip.AddrPort, req *Request, fresh bool) (*Reply, error) {
	cn, err := c.acquire(ctx, addr, req.ID, fresh)
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
		c.pauseDials(addr)
	}
	cn.isNew = false
	if err != nil || !rep.reusable || !stopped {
		c.discard(addr, cn)
	} else {
		c.putIdle(addr, cn, req.MaxIdle)
	}
	if err == nil {
		return rep, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, &Error{Addr: addr, Sent: sent, Err: err}
}

// Open returns the number of open connections to an address, busy and idle.
func (c *Connector) Open(addr netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCounts[addr]
}

// Opened returns the number of connections opened so far, including failed attempts.
func (c *Connector) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// acquire returns a usable idle connection for a request, or a new one.
func (c *Connector) acquire(ctx context.Context, addr netip.AddrPort, request string, fresh bool) (*conn, error) {
	for {
		cn := c.popIdle(addr, request)
		if cn == nil {
			return c.dial(ctx, addr)
		}
		idle := time.Since(cn.idleSince)
		tooOld := idle > c.cfg.IdleTimeout || cn.keepAlive > 0 && idle > cn.keepAlive*3/4 || fresh && idle > c.cfg.MaxFreshIdle
		if !tooOld && cn.usable() {
			return cn, nil
		}
		c.discard(addr, cn)
	}
}

func (c *Connector) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	c.mu.Lock()
	if until, ok := c.pausedUntil[addr]; ok {
		if time.Now().Before(until) {
			c.mu.Unlock()
			return nil, ErrConnectionLimit
		}
		delete(c.pausedUntil, addr)
	}
	c.openCounts[addr]++
	c.opened++
	g := c.gates[addr]
	if g == nil {
		g = &gate{usedAt: time.Now()}
		c.gates[addr] = g
	}
	c.mu.Unlock()
	nc, err := c.cfg.Dial(ctx, addr)
	if err != nil {
		c.countClosed(addr)
		return nil, err
	}
	cn := newConn(nc)
	cn.memory, cn.gate = c.memory, g
	return cn, nil
}

// pauseDials prevents new connections to a searcher that resets them, for Config.DialPause.
//
// Load pattern: a fleet restarts after a loss of power, or many daemons send their load to
// few searchers; each new connection that is reset would then cost an attempt.
func (c *Connector) pauseDials(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[addr] = time.Now().Add(c.cfg.DialPause)
}

// popIdle removes and returns the idle connection that was used last of those that may carry a request, or nil.
func (c *Connector) popIdle(addr netip.AddrPort, request string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	for i := len(conns) - 1; i >= 0; i-- {
		if cn := conns[i]; !cn.hasRefused(request) {
			c.idle[addr] = slices.Delete(conns, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle makes a connection available to the next exchange.
func (c *Connector) putIdle(addr netip.AddrPort, cn *conn, maxIdle int) {
	cn.idleSince, cn.maxIdle = time.Now(), maxIdle
	c.mu.Lock()
	closed := c.isClosed
	if !closed {
		c.idle[addr] = append(c.idle[addr], cn)
	}
	c.mu.Unlock()
	if closed {
		c.discard(addr, cn)
	}
}

func (c *Connector) discard(addr netip.AddrPort, cn *conn) {
	cn.Close()
	c.countClosed(addr)
}

func (c *Connector) countClosed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCounts[addr]--; c.openCounts[addr] <= 0 {
		delete(c.openCounts, addr)
	}
}

// Sweep closes connections that have been idle for too long. Call it periodically.
func (c *Connector) Sweep(now time.Time) {
	var expired []*conn
	var addrs []netip.AddrPort
	c.mu.Lock()
	maps.DeleteFunc(c.pausedUntil, func(_ netip.AddrPort, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(c.gates, func(addr netip.AddrPort, g *gate) bool { return c.openCounts[addr] == 0 && g.isExpired(now) })
	for addr, conns := range c.idle {
		idle := conns[:0]
		for i, cn := range conns {
			if now.Sub(cn.idleSince) <= c.maxIdleTime(cn, len(conns)-i) {
				idle = append(idle, cn)
				continue
			}
			expired = append(expired, cn)
			addrs = append(addrs, addr)
		}
		c.idle[addr] = idle
		if len(idle) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for i, cn := range expired {
		c.discard(addrs[i], cn)
	}
}

// maxIdleTime returns how long a connection may be idle which is the nth in the order of
// reuse, counted from 1. It is at most three quarters of the searcher's own timeout, when
// that is known, so that no request is sent while the searcher closes the connection.
func (c *Connector) maxIdleTime(cn *conn, nth int) time.Duration {
	limit := c.cfg.IdleTimeout
	if cn.maxIdle > 0 && nth > cn.maxIdle {
		limit = c.cfg.SurplusTimeout
	}
	if cn.keepAlive > 0 {
		limit = min(limit, cn.keepAlive*3/4)
	}
	return limit
}

func (c *Connector) close() {
	c.mu.Lock()
	c.isClosed = true
	all := c.idle
	c.idle = make(map[netip.AddrPort][]*conn)
	c.mu.Unlock()
	for addr, conns := range all {
		for _, cn := range conns {
			c.discard(addr, cn)
		}
	}
}
