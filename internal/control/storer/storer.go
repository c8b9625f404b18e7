// Package storer paces the calls to the store of the declared objects.
//
// It never repeats a call by itself. Calls are bounded in rate, and after a
// failure they pause for a random time that grows with each further failure,
// so that many daemons do not return at once after an outage.
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
	defaultTimeout  = 2 * time.Second
	defaultRate     = 4 // calls a second
	defaultBurst    = 16
	defaultMinPause = 200 * time.Millisecond
	defaultMaxPause = 5 * time.Second
)

// Config holds the settings of a Storer. Zero values mean defaults.
type Config struct {
	// Timeout bounds one call from when it is sent; a watch may take its wait
	// longer. Before, a call waits for the pause and the limiter as long as its
	// context lets it.
	Timeout time.Duration
	// Limiter bounds the rate of calls.
	Limiter *rate.Limiter
	// MinPause and MaxPause bound the window that a pause is drawn from. It
	// doubles with each failure in a row.
	MinPause, MaxPause time.Duration
	// Rand draws a number from 0 up to 1 for each pause.
	Rand func() float64
	// Registerer takes the counter of calls; nil means none.
	Registerer prometheus.Registerer
}

// Storer makes the calls of a Store at a pace. It is safe for concurrent use.
type Storer struct {
	cfg   Config
	store Store
	calls *prometheus.CounterVec
	ended context.Context
	end   context.CancelFunc

	mu    sync.Mutex
	pause pause
}

// New returns a Storer before a Store, and a function that ends its running calls
// and refuses further ones.
func New(cfg Config, store Store) (*Storer, func()) {
	cfg = withDefaults(cfg)
	ended, end := context.WithCancel(context.Background())
	s := &Storer{
		cfg:   cfg,
		store: store,
		calls: newCalls(),
		ended: ended,
		end:   end,
		pause: pause{least: cfg.MinPause, most: cfg.MaxPause},
	}
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(s.calls)
	}
	return s, s.close
}

func (s *Storer) close() {
	s.end()
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
	if cfg.MinPause == 0 {
		cfg.MinPause = defaultMinPause
	}
	if cfg.MaxPause == 0 {
		cfg.MaxPause = max(cfg.MinPause, defaultMaxPause)
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return cfg
}

func newCalls() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelwood_platform_calls_total",
		Help: "Calls to the platform by kind and result.",
	}, []string{"call", "result"})
}
