package dialer

// Cause is why a connection was closed.
type Cause int

// Causes for which a connection is closed.
const (
	// ClosedByClient connections were closed by the Client.
	ClosedByClient Cause = iota
	// Reset connections were closed by the upstream.
	Reset
	// Silent connections answered no ping.
	Silent
)

// Events receives the events of connections. Its methods must not block.
type Events interface {
	// Opened is called after a connection was opened.
	Opened()
	// Closed is called after an open connection was closed.
	Closed(c Cause)
}

// closeCause returns why a link was closed. Over HTTP/1.1, the Client's own transport also
// closes the connection of each cancelled request.
func closeCause(l *link, http1 bool) Cause {
	switch {
	case l.closedByClient.Load() || http1 && !l.closedByUpstream.Load():
		return ClosedByClient
	case l.closedByUpstream.Load():
		return Reset
	default:
		return Silent
	}
}
