// Package storer limits the calls to the store of the declared objects.
//
// Calls are limited in rate, and after a failure there is a backoff of random length that
// grows with each further failure, so that many daemons do not call at the same time
// after an outage. A call is never repeated.
package storer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// Defaults of a Config.
const (
	defaultTimeout    = 2 * time.Second
	defaultRate       = 4 // calls per second
	defaultBurst      = 16
	defaultMinBackoff = 200 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
)

// Config holds the settings of a Storer. A zero value stands for the default.
type Config struct {
	// Timeout bounds a call, measured from when it is sent; a watch may take its wait
	// longer. The wait for the backoff and the limiter before that is bounded only by
	// the context of the call.
	Timeout time.Duration
	// Limiter bounds the rate of calls.
	Limiter *rate.Limiter
	// MinBackoff and MaxBackoff bound the window that the length of a backoff is drawn
	// from. The window doubles with each failure in a row.
	MinBackoff, MaxBackoff time.Duration
	// Rand returns a random number from 0 up to 1 for each backoff.
	Rand func() float64
	// Registerer registers the counter of calls, unless it is nil.
	Registerer prometheus.Registerer
}

// Storer makes the calls of a Store, limited in rate and with a backoff after failures.
// It is safe for concurrent use.
type Storer struct {
	cfg   Config
	store Store
	calls *prometheus.CounterVec
	// closed is done when the Storer is closed; cancel closes it.
	closed context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	backoff backoff
}

// New returns a Storer that calls store, and a function that closes it: running calls are
// cancelled, and further ones fail with an *UnavailableError.
func New(cfg Config, store Store) (*Storer, func()) {
	cfg = withDefaults(cfg)
	closed, cancel := context.WithCancel(context.Background())
	s := &Storer{
		cfg:     cfg,
		store:   store,
		calls:   newCallCounter(),
		closed:  closed,
		cancel:  cancel,
		backoff: backoff{minWindow: cfg.MinBackoff, maxWindow: cfg.MaxBackoff},
	}
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(s.calls)
	}
	return s, s.close
}

func (s *Storer) close() {
	s.cancel()
	if s.cfg.Registerer != nil {
		s.cfg.Registerer.Unregister(s.calls)
	}
}

func withDefaults(cfg Config) Config {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Limiter == nil {
		cfg.Limiter = rate.NewLimiter(defaultRate, defaultBurst)
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = defaultMinBackoff
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = max(cfg.MinBackoff, defaultMaxBackoff)
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return cfg
}

func newCallCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_platform_calls_total",
		Help: "Calls to the platform by kind and result.",
	}, []string{"call", "result"})
}
