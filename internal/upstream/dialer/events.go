package dialer

// Cause is why a connection was closed.
type Cause int

// Causes of closing.
const (
	// Dropped connections were closed by the Client.
	Dropped Cause = iota
	// Reset connections were closed by the upstream.
	Reset
	// Silent connections answered no ping.
	Silent
)

// Events is told what happens to connections. Its methods must not block.
type Events interface {
	Opened()
	Closed(c Cause)
}

// closeCause returns why a closed link was closed. HTTP/1.1 closes the
// connection of each cancelled request.
func closeCause(l *link, http1 bool) Cause {
	switch {
	case l.dropped.Load() || http1 && !l.ended.Load():
		return Dropped
	case l.ended.Load():
		return Reset
	default:
		return Silent
	}
}
