// Package driver drives load at an open-loop rate: arrivals do not wait for
// answers, and each latency counts from the planned arrival, so that waiting is
// not hidden.
package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// maxInFlight bounds the queries that wait for answers.
const maxInFlight = 20_000

// Querier sends one query to a daemon. It fails with a *answerer.RefusalError when
// the daemon refuses.
type Querier interface {
	Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error)
}

// Config says what load to drive.
type Config struct {
	// Queriers are used in turn, one for each entry instance.
	Queriers []Querier
	Services []string
	// Rate is the arrivals a second, over all services.
	Rate     float64
	Duration time.Duration
	// Deadline is sent with each query; 0 sends none.
	Deadline time.Duration
	// AnswerTimeout bounds the wait for one answer.
	AnswerTimeout time.Duration
	Seed          uint64
	// Progress is called about once a second; nil for never.
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
	Refused  int
}

// Check returns the first fault of the configuration, or nil.
func (c *Config) Check() error {
	switch {
	case len(c.Queriers) == 0:
		return fmt.Errorf("want at least one daemon")
	case len(c.Services) == 0:
		return fmt.Errorf("want at least one service")
	case c.Rate <= 0:
		return fmt.Errorf("rate %v: want above 0", c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("duration %s: want above 0", c.Duration)
	default:
		return nil
	}
}

// Run drives the load until Duration has passed or ctx ends, waits for the last
// answers, and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d := &driver{cfg: cfg, rec: newRecorder(), slots: make(chan struct{}, maxInFlight), start: time.Now()}
	d.drive(ctx)
	d.wg.Wait()
	return d.rec.report(&cfg, time.Since(d.start)), nil
}

// driver is one run.
type driver struct {
	cfg   Config
	rec   *recorder
	slots chan struct{}
	start time.Time
	wg    sync.WaitGroup
}

// drive starts a query at each planned arrival.
func (d *driver) drive(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(d.cfg.Seed, d.cfg.Seed))
	progress := d.start
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / d.cfg.Rate * float64(time.Second))
		if at > d.cfg.Duration || !d.sleepUntil(ctx, at) {
			return
		}
		d.begin(ctx, n, at)
		if now := time.Now(); d.cfg.Progress != nil && now.Sub(progress) >= time.Second {
			progress = now
			d.cfg.Progress(d.rec.progress(now.Sub(d.start)))
		}
	}
}

func (d *driver) sleepUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(time.Until(d.start.Add(at)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin starts query n, or counts it as dropped when too many wait.
func (d *driver) begin(ctx context.Context, n int, at time.Duration) {
	select {
	case d.slots <- struct{}{}:
	default:
		d.rec.drop()
		return
	}
	d.rec.sent()
	d.wg.Go(func() {
		defer func() { <-d.slots }()
		// The end of ctx ends the arrivals, not the queries under way.
		d.ask(context.WithoutCancel(ctx), n, at)
	})
}

func (d *driver) ask(ctx context.Context, n int, at time.Duration) {
	q := &answerer.Query{
		Request: fmt.Sprintf("load-%d-%d", d.cfg.Seed, n),
		Service: d.cfg.Services[n%len(d.cfg.Services)],
		Terms:   fmt.Sprintf("terms %d", n%1000),
	}
	if d.cfg.Deadline > 0 {
		q.Deadline = &declarer.Duration{Duration: d.cfg.Deadline}
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.AnswerTimeout)
	defer cancel()
	a, err := d.cfg.Queriers[n%len(d.cfg.Queriers)].Query(ctx, q)
	d.rec.record(q, a, err, time.Since(d.start.Add(at)))
}
