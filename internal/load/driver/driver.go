// Package driver is an open-loop load generator: queries are sent at a given rate without waiting for earlier answers,
// and each latency is measured from the planned arrival, so that queueing in the generator is not hidden.
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

// maxInFlight is the largest number of queries in flight; further ones are dropped.
const maxInFlight = 20_000

// Querier sends queries to one daemon.
type Querier interface {
	// Query sends one query. It returns an *answerer.RefusalError when the daemon refuses the query.
	Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error)
}

// Config holds the settings of a run.
type Config struct {
	// Queriers are used in turn, one for each entry instance.
	Queriers []Querier
	// Services are the names of the services that are queried in turn.
	Services []string
	// Rate is the mean number of arrivals per second over all services. The arrivals are a Poisson process.
	Rate float64
	// Duration is how long queries are sent.
	Duration time.Duration
	// Deadline is sent with each query; 0 sends none.
	Deadline time.Duration
	// AnswerTimeout limits the wait for one answer.
	AnswerTimeout time.Duration
	// Seed seeds the arrival times and is part of each request ID.
	Seed uint64
	// Progress is called about once per second; nil means never.
	Progress func(Progress)
}

// Progress holds the counts of a run so far.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
	Refused  int
}

// Check returns an error that describes the first invalid setting, or nil.
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

// Run sends queries until Duration has passed or ctx ends, waits for the remaining answers, and returns the report. It
// returns the error of Config.Check when the settings are invalid.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d := &driver{cfg: cfg, rec: newRecorder(), inFlight: make(chan struct{}, maxInFlight), start: time.Now()}
	d.sendAll(ctx)
	d.wg.Wait()
	return d.rec.report(&cfg, time.Since(d.start)), nil
}

// driver is the state of one run.
type driver struct {
	cfg Config
	rec *recorder
	// inFlight holds one value for each query in flight.
	inFlight chan struct{}
	start    time.Time
	wg       sync.WaitGroup
}

// sendAll sends a query at each planned arrival.
func (d *driver) sendAll(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(d.cfg.Seed, d.cfg.Seed))
	lastProgress := d.start
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / d.cfg.Rate * float64(time.Second))
		if at > d.cfg.Duration || !d.sleepUntil(ctx, at) {
			return
		}
		d.send(ctx, n, at)
		if now := time.Now(); d.cfg.Progress != nil && now.Sub(lastProgress) >= time.Second {
			lastProgress = now
			d.cfg.Progress(d.rec.progress(now.Sub(d.start)))
		}
	}
}

// sleepUntil sleeps until a time after the start of the run. It returns false when ctx ends first.
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

// send sends query n in the background, or drops it when too many are in flight. at is the planned arrival, as the time
// since the start of the run.
func (d *driver) send(ctx context.Context, n int, at time.Duration) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.rec.countDropped()
		return
	}
	d.rec.countSent()
	d.wg.Go(func() {
		defer func() { <-d.inFlight }()
		// The end of ctx stops the arrivals, not the queries in flight.
		d.query(context.WithoutCancel(ctx), n, at)
	})
}

// query sends query n, waits for its answer and records the outcome.
func (d *driver) query(ctx context.Context, n int, at time.Duration) {
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
