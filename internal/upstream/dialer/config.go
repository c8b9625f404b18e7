package dialer

import (
	"context"
	"net"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Config holds the bounds of a Client.
type Config struct {
	// HTTP1 is true only in measurements: it selects HTTP/1.1 instead of unencrypted HTTP/2.
	HTTP1 bool
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// SilenceThreshold is how long a request may wait without a byte from the upstream
	// before new requests avoid its connection.
	SilenceThreshold time.Duration
	// PingAfter is the time without a byte from the upstream after which a connection is
	// pinged, and PingTimeout how long the answer may take before the connection is closed.
	PingAfter, PingTimeout time.Duration
	// CancelGrace is the time that an upstream takes to stop a request after it has read
	// the cancellation.
	CancelGrace time.Duration
	// DeadlineMargin is the time after a request's deadline at which the upstream is assumed
	// to have stopped it when nothing else shows that.
	DeadlineMargin time.Duration
	// MaxBodyBytes is the maximum size of an answer's body.
	MaxBodyBytes int64
	// Dial opens a connection; nil means over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// maxHTTP2Connections is the maximum number of HTTP/2 connections: one that carries all
// requests, and those that replace it when it is silent.
const maxHTTP2Connections = 3

// FromCapacity returns the configuration for a declared capacity. It uses at most half of
// the upstream's connections and leaves the others to the next owner.
func FromCapacity(c declarer.Capacity) Config {
	return Config{
		MaxConnections:   min(max(c.Connections/2, 1), maxHTTP2Connections),
		DialTimeout:      500 * time.Millisecond,
		SilenceThreshold: 30 * time.Millisecond,
		PingAfter:        200 * time.Millisecond,
		PingTimeout:      100 * time.Millisecond,
		CancelGrace:      5 * time.Millisecond,
		DeadlineMargin:   250 * time.Millisecond,
		MaxBodyBytes:     1 << 20,
	}
}
