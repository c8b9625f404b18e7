package linker

import (
	"net/netip"
	"time"
)

// Defaults of Config.
const (
	defaultHeartbeatInterval = 25 * time.Millisecond
	defaultSilenceTimeout    = 150 * time.Millisecond
	defaultDialTimeout       = 150 * time.Millisecond
	defaultCallTimeout       = time.Second
	defaultIdleTimeout       = time.Minute
	defaultMaxTasks          = 16384
	defaultMaxFrameBytes     = 256 << 10
	defaultMaxIdleConns      = 4
)

// maxResultBytes bounds the size of one result. A larger one is replaced by a Failed result.
const maxResultBytes = 1 << 20

// Config holds the settings of a Linker. Defaults replace zero values.
type Config struct {
	// Self is the address at which other daemons reach this one.
	Self netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats of a link with pending tasks. Silence
	// and idle time are counted in multiples of it.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a frame from the peer after which a link with pending
	// tasks is closed and dialled again.
	SilenceTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a Call whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time after which unused connections are closed.
	IdleTimeout time.Duration
	// MaxTasks bounds the tasks that are queued or in flight on one link, at either end.
	MaxTasks int
	// MaxFrameBytes bounds the size of a frame, except for one with a single larger result.
	MaxFrameBytes int
	// MaxIdleConns bounds the idle connections for unary calls to one peer.
	MaxIdleConns int
	// Block, when set, simulates a one-way network partition: messages from this daemon to the
	// peers for which it returns true are lost. It is called from several goroutines.
	Block func(peer netip.AddrPort) bool
}

// withDefaults returns the config with defaults in place of zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxTasks, defaultMaxTasks)
	setDefault(&c.MaxFrameBytes, defaultMaxFrameBytes)
	setDefault(&c.MaxIdleConns, defaultMaxIdleConns)
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
