package linker

import (
	"net/netip"
	"time"
)

// Defaults of Config.
const (
	defaultHeartbeat   = 25 * time.Millisecond
	defaultSilence     = 150 * time.Millisecond
	defaultDialTimeout = 150 * time.Millisecond
	defaultCallTimeout = time.Second
	defaultIdle        = time.Minute
	defaultQueue       = 16384
	defaultFrameBytes  = 256 << 10
	defaultPool        = 4
)

// maxResultBytes bounds one result; a larger one is replaced by a Failed result.
const maxResultBytes = 1 << 20

// Config holds the settings of a Linker. Zero values get defaults.
type Config struct {
	// Self is the address at which other daemons reach this one.
	Self netip.AddrPort
	// HeartbeatInterval is the time without news after which a link with tasks under way
	// asks for a sign of life.
	HeartbeatInterval time.Duration
	// Silence is the time without news after which a link with tasks under way is
	// closed and dialled again.
	Silence time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a Call whose context has no deadline.
	CallTimeout time.Duration
	// Idle is the time after which unused connections are closed.
	Idle time.Duration
	// Queue bounds the tasks that wait or run on one link, at either end.
	Queue int
	// FrameBytes bounds a frame, apart from a single larger result.
	FrameBytes int
	// Pool bounds the idle connections for calls to one peer.
	Pool int
	// Block, when set, cuts the direction from this daemon to the peers for which
	// it returns true. It is read from any goroutine.
	Block func(peer netip.AddrPort) bool
}

// withDefaults returns the config with defaults in place of zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, defaultHeartbeat)
	setDefault(&c.Silence, defaultSilence)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.Idle, defaultIdle)
	setDefault(&c.Queue, defaultQueue)
	setDefault(&c.FrameBytes, defaultFrameBytes)
	setDefault(&c.Pool, defaultPool)
	if c.Block == nil {
		c.Block = func(netip.AddrPort) bool { return false }
	}
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
