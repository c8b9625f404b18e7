package driver

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// Range of recorded latencies, in microseconds.
const (
	minMicros = 1
	maxMicros = 120_000_000
	digits    = 3
)

// Report is the outcome of a run. Latencies are of answered queries, partial
// ones included, counted from the planned arrival.
type Report struct {
	Rate     float64           `json:"rate"`
	Seed     uint64            `json:"seed"`
	Elapsed  declarer.Duration `json:"elapsed"`
	Sent     int               `json:"sent"`
	Dropped  int               `json:"dropped"`
	Answered int               `json:"answered"`
	Complete int               `json:"complete"`
	// Wrong counts answers that are not the answer to their own request.
	Wrong int `json:"wrong"`
	// Refused counts refusals by code.
	Refused map[answerer.Code]int `json:"refused"`
	// Errors counts queries without any answer.
	Errors int `json:"errors"`
	// Missing counts missing shards by reason.
	Missing map[answerer.Reason]int `json:"missing"`
	// Coverage is the mean share of shards merged, over answered queries.
	Coverage float64 `json:"coverage"`
	// Shards is the number of shards that the answered queries touch.
	Shards int               `json:"shards"`
	P50    declarer.Duration `json:"p50"`
	P90    declarer.Duration `json:"p90"`
	P99    declarer.Duration `json:"p99"`
	P999   declarer.Duration `json:"p999"`
	Max    declarer.Duration `json:"max"`
	// Upstream is what the searchers counted; nil when they were not asked.
	Upstream *UpstreamCounts `json:"upstream,omitempty"`
}

// UpstreamCounts is what the searchers counted during a run.
type UpstreamCounts struct {
	// Runs is the number of sub-requests that searchers began.
	Runs int `json:"runs"`
	// ExtraShare is Runs above one for each shard of each answered query, as a share.
	ExtraShare float64 `json:"extra"`
	// MaxInFlight is the most work at once on any searcher.
	MaxInFlight int `json:"most"`
	// Overlaps counts requests begun while a searcher's slots were full.
	Overlaps int `json:"overlap"`
	// ColdOverloads counts requests beyond a cold searcher's capacity.
	ColdOverloads int `json:"cold"`
	Sheds         int `json:"sheds"`
	// Connections is the number accepted; MostOpen the most open on any searcher.
	Connections int `json:"connections"`
	MaxOpen     int `json:"open"`
	// Wasted is work that was cancelled or whose deadline passed.
	Wasted declarer.Duration `json:"wasted"`
}

// recorder collects a run's outcomes.
type recorder struct {
	mu       sync.Mutex
	rep      Report
	hist     *hdrhistogram.Histogram
	coverage float64
}

func newRecorder() *recorder {
	return &recorder{
		rep: Report{
			Refused: make(map[answerer.Code]int),
			Missing: make(map[answerer.Reason]int),
		},
		hist: hdrhistogram.New(minMicros, maxMicros, digits),
	}
}

func (r *recorder) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Sent++
}

func (r *recorder) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Dropped++
}

// record counts one query's answer or error.
func (r *recorder) record(q *answerer.Query, a *answerer.Answer, err error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ref *answerer.RefusalError
	switch {
	case errors.As(err, &ref):
		r.rep.Refused[ref.Code]++
	case err != nil:
		r.rep.Errors++
	default:
		r.recordAnswer(q, a, latency)
	}
}

func (r *recorder) recordAnswer(q *answerer.Query, a *answerer.Answer, latency time.Duration) {
	r.rep.Answered++
	if a.Request != q.Request || a.Service != q.Service {
		r.rep.Wrong++
	}
	if a.Coverage.Complete() {
		r.rep.Complete++
	}
	for _, m := range a.Coverage.Missing {
		r.rep.Missing[m.Reason]++
	}
	r.rep.Shards += a.Coverage.Shards
	r.coverage += a.Coverage.Fraction()
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	// The value lies within the histogram's range.
	_ = r.hist.RecordValue(micros)
}

func (r *recorder) progress(elapsed time.Duration) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := 0
	for _, n := range r.rep.Refused {
		refused += n
	}
	return Progress{Elapsed: elapsed, Sent: r.rep.Sent, Answered: r.rep.Answered, Refused: refused}
}

func (r *recorder) report(cfg *Config, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.rep
	rep.Rate = cfg.Rate
	rep.Seed = cfg.Seed
	rep.Elapsed = declarer.Duration{Duration: elapsed.Round(time.Millisecond)}
	if rep.Answered > 0 {
		rep.Coverage = r.coverage / float64(rep.Answered)
	}
	rep.P50 = r.quantile(50)
	rep.P90 = r.quantile(90)
	rep.P99 = r.quantile(99)
	rep.P999 = r.quantile(99.9)
	rep.Max = declarer.Duration{Duration: time.Duration(r.hist.Max()) * time.Microsecond}
	return &rep
}

func (r *recorder) quantile(q float64) declarer.Duration {
	return declarer.Duration{Duration: time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond}
}
