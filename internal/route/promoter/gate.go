package promoter

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/locator"
)

const (
	// usedShare is the part of the largest share that the version under test gets. The rest is a margin: requests count
	// where they arrive, and each daemon may be one request ahead of its share.
	usedShare = 0.9
	// maxCredit bounds the requests that a daemon may owe to the version, and so the burst that it sends when the
	// version's searchers become available.
	maxCredit = 4
	// minFocus is the least number of searchers of the version that get requests at a time: with one, a searcher that
	// pauses would look like a version that is slow.
	minFocus = 2
	// focusTime is the time after which other searchers of the version get the requests.
	focusTime = time.Second
)

// Outcome is the outcome of an exchange with a searcher.
type Outcome int

// Outcomes of exchanges.
const (
	// Answered: a usable answer, or one that rejects the request itself.
	Answered Outcome = iota
	// Failed: the request may have run, and there is no usable answer.
	Failed
	// Refused: the searcher refused to run the request.
	Refused
	// Unsent: the request did not reach the searcher.
	Unsent
	// Abandoned: the exchange was cancelled before an answer.
	Abandoned
)

// String returns the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "abandoned"}[o]
}

// Gate bounds the share of the requests that this daemon sends to versions under test, and counts what the versions
// answer. It is safe for concurrent use.
//
// Load pattern: a fleet of a hundred small daemons, each with few requests to a service, that may together send one in ten
// to a version.
type Gate struct {
	share float64
	// isFresh reports whether the state of the roll-outs is known to be current.
	isFresh func() bool
	random  func() float64
	now     func() time.Time
	metrics *prometheus.CounterVec

	mu       sync.Mutex
	services map[string]*service
}

// service is what a Gate knows of a service.
type service struct {
	// choosing is the number of requests whose searcher is being chosen, and inFlight that of the exchanges by version.
	choosing int
	inFlight map[string]int
	// learnedAt identifies the order that credit and samples belong to, zero when there is none.
	learnedAt time.Time
	// credit is the number of requests that may go to the version. It starts at a random fraction of one: so the fleet
	// sends the version its share from the first requests on, and on average no more.
	credit  float64
	samples map[sampleKey]*exchanger.RolloutSample
}

type sampleKey struct {
	route, searcher string
}

// NewGate returns a Gate for the largest share of the requests that a version under test may get. exchanges is the counter
// of NewGateMetrics.
func NewGate(share float64, isFresh func() bool, random func() float64, now func() time.Time, exchanges *prometheus.CounterVec) *Gate {
	return &Gate{share: share, isFresh: isFresh, random: random, now: now, metrics: exchanges, services: make(map[string]*service)}
}

// Ticket is one request to a searcher of a service, from the choice of the searcher to the end of the exchange. All methods
// of a nil Ticket, which a nil Gate returns, do nothing.
type Ticket struct {
	gate           *Gate
	service, route string
	// learnedAt is that of the order that the request counts for, zero when there is none; target is its version.
	learnedAt time.Time
	target    string
	// accrued and reserved are what the request added to the credit and took from it.
	accrued, reserved float64
	version, searcher string
	isWarming         bool
}

// Enter starts the choice of a searcher. Until Chosen or Drop, the request counts as in flight with every version. Call it
// before the view is read from which the searcher is chosen.
func (g *Gate) Enter(name, route string) *Ticket {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		s = &service{inFlight: make(map[string]int)}
		g.services[name] = s
	}
	s.choosing++
	return &Ticket{gate: g, service: name, route: route}
}

// Candidates returns the sets of searchers that the request may go to, in order of preference.
func (t *Ticket) Candidates(v *locator.View) [][]locator.Searcher {
	others := v.Searchers(t.service)
	trial := v.Trial(t.service)
	if trial == nil {
		return [][]locator.Searcher{others}
	}
	mayTry := !trial.IsVetoed && len(trial.Searchers) > 0 && t.gate.isFresh()
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[t.service]
	s.begin(trial, g.random)
	t.learnedAt, t.target = trial.LearnedAt, trial.Target
	switch {
	case trial.Moving && mayTry && isWarm(trial.Searchers, g.now()):
		return [][]locator.Searcher{trial.Searchers}
	case trial.Moving && mayTry:
		return [][]locator.Searcher{trial.Searchers, others}
	case trial.Moving:
		return [][]locator.Searcher{others}
	}
	t.accrued = g.share * usedShare
	s.credit = min(maxCredit, s.credit+t.accrued)
	if !mayTry || s.credit < 1 {
		return [][]locator.Searcher{others}
	}
	t.reserved = 1
	s.credit--
	focus := focused(trial.Searchers, len(others), g.share, g.now().Sub(trial.LearnedAt))
	return [][]locator.Searcher{focus, trial.Searchers, others}
}

// begin starts the counts of an order that the service has none of yet.
func (s *service) begin(trial *locator.Trial, random func() float64) {
	if s.learnedAt.Equal(trial.LearnedAt) {
		return
	}
	s.learnedAt = trial.LearnedAt
	s.credit = random()
	s.samples = make(map[sampleKey]*exchanger.RolloutSample)
}

// focused returns the searchers of the version that get its requests at an age of the order: so many that each gets about
// as many requests as one of the others.
//
// Load pattern: a version that is bad under load only, which a tenth of the requests spread over all of its searchers
// would not show.
func focused(searchers []locator.Searcher, others int, share float64, age time.Duration) []locator.Searcher {
	n := max(minFocus, int(math.Round(share*float64(others))))
	if n >= len(searchers) {
		return searchers
	}
	first := int(age/focusTime) * n % len(searchers)
	out := make([]locator.Searcher, 0, n)
	for i := range n {
		out = append(out, searchers[(first+i)%len(searchers)])
	}
	return out
}

// isWarm reports whether at least half of the searchers take any number of requests, so that they can serve alone.
//
// Load pattern: searchers of the new version that have just started again, and accept few requests a second at first.
func isWarm(searchers []locator.Searcher, now time.Time) bool {
	warm := 0
	for i := range searchers {
		if !searchers[i].ColdLimited || !now.Before(searchers[i].WarmAt) {
			warm++
		}
	}
	return warm > 0 && 2*warm >= len(searchers)
}

// Chosen ends the choice with a searcher, to which the request is now sent.
func (t *Ticket) Chosen(sr *locator.Searcher) {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[t.service]
	s.choosing--
	s.inFlight[sr.Version]++
	t.version, t.searcher = sr.Version, sr.ID
	t.isWarming = g.now().Before(sr.WarmAt)
	if t.reserved > 0 && sr.Version != t.target {
		s.give(t, t.reserved)
		t.reserved = 0
	}
}

// Drop ends the choice without a searcher.
func (t *Ticket) Drop() {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	s := t.gate.services[t.service]
	s.choosing--
	s.give(t, t.reserved-t.accrued)
}

// give adds to the credit of a ticket's order, which may have gone away.
func (s *service) give(t *Ticket, credit float64) {
	if !t.learnedAt.IsZero() && s.learnedAt.Equal(t.learnedAt) {
		s.credit = min(maxCredit, s.credit+credit)
	}
}

// End ends the exchange with its outcome. average is the average latency of the route.
func (t *Ticket) End(o Outcome, took, average time.Duration) {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[t.service]
	if s.inFlight[t.version]--; s.inFlight[t.version] <= 0 {
		delete(s.inFlight, t.version)
	}
	if o == Unsent {
		// It has not reached the service, and neither adds to the allowance nor uses it.
		s.give(t, t.reserved-t.accrued)
		return
	}
	if t.learnedAt.IsZero() || !s.learnedAt.Equal(t.learnedAt) {
		return
	}
	key, side := sampleKey{route: t.route}, "other"
	if t.version == t.target {
		key.searcher, side = t.searcher, "target"
	}
	g.metrics.WithLabelValues(t.service, side, o.String()).Inc()
	sample := s.samples[key]
	if sample == nil {
		sample = &exchanger.RolloutSample{Route: key.route, Searcher: key.searcher}
		s.samples[key] = sample
	}
	count(sample, o, took, average, t.isWarming)
}

// count adds an exchange to a sample.
func count(sample *exchanger.RolloutSample, o Outcome, took, average time.Duration, isWarming bool) {
	switch o {
	case Failed:
		sample.Failures++
		return
	case Refused:
		sample.Refusals++
		return
	case Abandoned:
		// The answer would have taken at least this long, which says something only if that is long.
		if took < abandonedAverages*average {
			return
		}
	}
	sample.Answers++
	if isWarming {
		// A searcher is slower during its warm-up, whatever its version.
		return
	}
	if sample.Latencies == nil {
		sample.Latencies = make([]int, bucketCount)
	}
	sample.Latencies[bucketOf(took)]++
}

// abandonedAverages is the number of average latencies from which an exchange that was given up counts as slow.
const abandonedAverages = 2

const (
	// bucketCount buckets of latencies, each up to bucketRatio times the one before, reach from 0.5 ms to about 30 s.
	bucketCount = 48
	firstBucket = 500 * time.Microsecond
)

// bucketRatio is the ratio of two neighbouring buckets, the cube root of two: 2.5 times a latency is four buckets higher.
var bucketRatio = math.Cbrt(2)

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketRatio))))
}

// Report returns the counts of a running roll-out. v must be a current view.
func (g *Gate) Report(trial *locator.Trial) exchanger.RolloutReport {
	isFresh := g.isFresh()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := exchanger.RolloutReport{
		Rollout: trial.Name, Target: trial.Target, Started: trial.Started, Age: g.now().Sub(trial.LearnedAt), Vetoed: trial.IsVetoed,
		Moved: trial.Moving && !trial.IsVetoed && isFresh && isWarm(trial.Searchers, g.now()),
	}
	s := g.services[trial.Service]
	if s == nil {
		return r
	}
	r.InFlight = s.choosing
	for version, n := range s.inFlight {
		if version != trial.Target {
			r.InFlight += n
		}
	}
	if s.learnedAt.Equal(trial.LearnedAt) {
		for _, sample := range s.samples {
			c := *sample
			c.Latencies = slices.Clone(sample.Latencies)
			r.Samples = append(r.Samples, c)
		}
	}
	return r
}

// Prune forgets the counts of the services without a running roll-out.
func (g *Gate) Prune(trials map[string]*locator.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.services, func(name string, s *service) bool {
		if trials[name] != nil {
			return false
		}
		s.learnedAt, s.samples = time.Time{}, nil
		return s.choosing == 0 && len(s.inFlight) == 0
	})
}
