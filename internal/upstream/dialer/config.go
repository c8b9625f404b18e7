package dialer

import (
	"context"
	"net"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Config holds the bounds of a Client.
type Config struct {
	// HTTP1 is true only in measurements: it speaks HTTP/1.1 in place of
	// unencrypted HTTP/2.
	HTTP1 bool
	// Connections is the highest number of open connections.
	Connections int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Silence is how long a request may wait without a byte from the upstream
	// before new requests avoid its connection.
	Silence time.Duration
	// PingAfter is the silence after which a connection is pinged, and
	// PingTimeout the time after which an unanswered one is closed.
	PingAfter, PingTimeout time.Duration
	// Grace is the time that an upstream takes to stop a cancelled request.
	Grace time.Duration
	// Margin is added to a request's deadline where nothing shows that the
	// upstream has stopped it.
	Margin time.Duration
	// MaxBody bounds the body of an answer, in bytes.
	MaxBody int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// maxHTTP2 bounds the connections of HTTP/2: one that carries everything, and
// those that replace it when it goes silent.
const maxHTTP2 = 3

// FromCapacity returns the configuration for a declared capacity. Half of the
// connections are left to the next owner.
func FromCapacity(c declarer.Capacity) Config {
	return Config{
		Connections: min(max(c.Connections/2, 1), maxHTTP2),
		DialTimeout: 500 * time.Millisecond,
		Silence:     30 * time.Millisecond,
		PingAfter:   200 * time.Millisecond,
		PingTimeout: 100 * time.Millisecond,
		Grace:       5 * time.Millisecond,
		Margin:      250 * time.Millisecond,
		MaxBody:     1 << 20,
	}
}
