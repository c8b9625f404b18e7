// Package gauger measures, for a request, the time that it took from its client and that the answer will take back, by
// the kernel's figures of the connection.
package gauger

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// connectSlack is how long after the acceptance of a connection its first request may have been received for the client
// to have connected for this request: it sends the head with the last packet of the handshake.
const connectSlack = 2 * time.Millisecond

// minRoundTrip is the least round trip that is a client's: a shorter one is that of a proxy on this machine, behind which the
// client may be anywhere.
const minRoundTrip = 200 * time.Microsecond

// Transit is what was measured of a request's way from its client. The zero value means that nothing is known.
type Transit struct {
	// RoundTrip is the network round trip to the client; 0 when it is not known.
	RoundTrip time.Duration
	// Waited is how long the request was in the kernel's buffers, or waited for the processor.
	Waited time.Duration
	// Connected is true when the client opened the connection for this request, so that it waited for a further round
	// trip.
	Connected bool
}

// Known reports whether the round trip to the client was measured.
func (t Transit) Known() bool {
	return t.RoundTrip >= minRoundTrip
}

// Elapsed returns how long before its arrival here the client began to send the request.
func (t Transit) Elapsed() time.Duration {
	d := t.RoundTrip/2 + t.Waited
	if t.Connected {
		d += t.RoundTrip
	}
	return d
}

// Return returns how long the answer takes to the client.
func (t Transit) Return() time.Duration {
	return t.RoundTrip / 2
}

// conn is a connection of a client in the context of its requests.
type conn struct {
	net.Conn
	acceptedAt time.Time
	used       atomic.Bool
}

type contextKey struct{}

// ConnContext adds a connection to the context of its requests. It is an http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, &conn{Conn: c, acceptedAt: time.Now()})
}

// Measure returns what is known of the way of the request with this context, whose head was read at now. Call it once
// for each request.
func Measure(ctx context.Context, now time.Time) Transit {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return Transit{}
	}
	isFirst := !c.used.Swap(true)
	t := readKernel(c.Conn)
	received := now.Add(-t.Waited)
	t.Connected = isFirst && received.Sub(c.acceptedAt) < connectSlack
	return t
}
