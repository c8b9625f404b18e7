package driver

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

// Range of recorded latencies, in microseconds, and the number of significant digits that the histogram keeps.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// Report is the result of a run. Latencies are those of answered queries, including partial answers, measured from the
// planned arrival.
type Report struct {
	// Rate, in arrivals per second, and Seed are those of the Config.
	Rate    float64           `json:"rate"`
	Seed    uint64            `json:"seed"`
	Elapsed declarer.Duration `json:"elapsed"`
	Sent    int               `json:"sent"`
	// Dropped counts arrivals that were not sent because too many queries were in flight.
	Dropped  int `json:"dropped"`
	Answered int `json:"answered"`
	// Complete counts answers from all shards.
	Complete int `json:"complete"`
	// Wrong counts answers that carry the ID or the service of another request.
	Wrong int `json:"wrong"`
	// Refused counts refusals by code.
	Refused map[answerer.Code]int `json:"refused"`
	// Errors counts queries with neither an answer nor a refusal.
	Errors int `json:"errors"`
	// Missing counts the missing shards of answered queries by reason.
	Missing map[answerer.Reason]int `json:"missing"`
	// Coverage is the mean share of merged shards over the answered queries, from 0 to 1.
	Coverage float64 `json:"coverage"`
	// Shards is the number of shards that the answered queries cover, added up over the queries.
	Shards int               `json:"shards"`
	P50    declarer.Duration `json:"p50"`
	P90    declarer.Duration `json:"p90"`
	P99    declarer.Duration `json:"p99"`
	P999   declarer.Duration `json:"p999"`
	Max    declarer.Duration `json:"max"`
	// Upstream holds the searchers' counts during the run; nil when they were not read.
	Upstream *UpstreamCounts `json:"upstream,omitempty"`
}

// UpstreamCounts holds the counts of all searchers during a run.
type UpstreamCounts struct {
	// Runs is the number of sub-requests that searchers started to run.
	Runs int `json:"runs"`
	// ExtraShare is the share of additional sub-requests, such as hedges and retries: Runs / Report.Shards - 1. It is 0
	// when each shard of each answered query took one sub-request.
	ExtraShare float64 `json:"extra"`
	// MaxInFlight is the largest number of requests in flight on any searcher, including queued ones.
	MaxInFlight int `json:"most"`
	// Overlaps counts requests that arrived at a searcher while all its slots were taken.
	Overlaps int `json:"overlap"`
	// ColdOverloads counts requests above the capacity of a cold searcher.
	ColdOverloads int `json:"cold"`
	Sheds         int `json:"sheds"`
	// Connections is the number of accepted connections; MaxOpen is the largest number of open connections on any
	// searcher.
	Connections int `json:"connections"`
	MaxOpen     int `json:"open"`
	// Wasted is the time spent on requests that were cancelled or whose deadline passed while they ran.
	Wasted declarer.Duration `json:"wasted"`
}

// recorder collects the outcomes of a run's queries.
type recorder struct {
	mu   sync.Mutex
	rep  Report
	hist *hdrhistogram.Histogram
	// coverageSum adds up the coverage of the answered queries.
	coverageSum float64
}

func newRecorder() *recorder {
	return &recorder{
		rep: Report{
			Refused: make(map[answerer.Code]int),
			Missing: make(map[answerer.Reason]int),
		},
		hist: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (r *recorder) countSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Sent++
}

func (r *recorder) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Dropped++
}

// record records the answer or the error of one query.
func (r *recorder) record(q *answerer.Query, a *answerer.Answer, err error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusal *answerer.RefusalError
	switch {
	case errors.As(err, &refusal):
		r.rep.Refused[refusal.Code]++
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
	r.coverageSum += a.Coverage.Fraction()
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	// Fails only on a value outside the histogram's range.
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

// report returns the report of the run.
func (r *recorder) report(cfg *Config, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.rep
	rep.Rate = cfg.Rate
	rep.Seed = cfg.Seed
	rep.Elapsed = declarer.Duration{Duration: elapsed.Round(time.Millisecond)}
	if rep.Answered > 0 {
		rep.Coverage = r.coverageSum / float64(rep.Answered)
	}
	rep.P50 = r.percentile(50)
	rep.P90 = r.percentile(90)
	rep.P99 = r.percentile(99)
	rep.P999 = r.percentile(99.9)
	rep.Max = declarer.Duration{Duration: time.Duration(r.hist.Max()) * time.Microsecond}
	return &rep
}

// percentile returns the latency at percentile p, from 0 to 100.
func (r *recorder) percentile(p float64) declarer.Duration {
	return declarer.Duration{Duration: time.Duration(r.hist.ValueAtQuantile(p)) * time.Microsecond}
}
