package searcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Searcher is the stand-in for one upstream.
type Searcher struct {
	cfg Config
	srv *http.Server
	// slots holds one value for each free slot.
	slots chan struct{}
	conns *connTracker

	mu     sync.Mutex
	rng    *rand.Rand
	state  state
	faults Faults
	counts Counts
	// lastAnswer is the last search answer before the Cross fault is applied; nil when there is none.
	lastAnswer *searchAnswer
	// lastLoad is the sample that the load page shows.
	lastLoad loadSample
}

// New returns a Searcher and a function that closes its listeners and connections. It returns the error of Config.Check
// when the settings are invalid.
func New(cfg Config) (*Searcher, func(), error) {
	if cfg.Documents == 0 {
		cfg.Documents = DefaultDocuments
	}
	if err := cfg.Check(); err != nil {
		return nil, nil, fmt.Errorf("searcher %s: %w", cfg.Name, err)
	}
	s := &Searcher{
		cfg:    cfg,
		slots:  make(chan struct{}, cfg.Slots),
		conns:  newConnTracker(cfg.Connections, cfg.ConnectDelay),
		rng:    rand.New(rand.NewPCG(cfg.Seed, hash(cfg.Service, cfg.Name, 0, 0))),
		state:  newState(&cfg, time.Now()),
		counts: newCounts(),
	}
	for range cfg.Slots {
		s.slots <- struct{}{}
	}
	s.srv = &http.Server{
		Handler:           s.routes(),
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.srv.Protocols.SetHTTP1(true)
	s.srv.Protocols.SetUnencryptedHTTP2(true)
	return s, sync.OnceFunc(s.close), nil
}

// Serve serves the connections of ln until the function that New returned closes it or Shutdown is called.
func (s *Searcher) Serve(ln net.Listener) error {
	err := s.srv.Serve(s.conns.wrap(ln))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening and waits for running requests until ctx ends.
func (s *Searcher) Shutdown(ctx context.Context) error {
	return s.srv.Shutdown(ctx)
}

func (s *Searcher) close() {
	// Fails only when a listener is already closed.
	_ = s.srv.Close()
}

func (s *Searcher) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", s.search)
	mux.HandleFunc("POST /run", s.run)
	mux.HandleFunc("GET /health", s.getHealth)
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("DELETE /faults", s.deleteFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
	return mux
}

// serviceTime draws the service time of one request at random.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.cfg.MeanServiceTime) * (0.5 + s.rng.Float64())
	if s.rng.Float64() < s.cfg.StragglerShare {
		d *= s.cfg.StragglerFactor
	}
	return time.Duration(d)
}
