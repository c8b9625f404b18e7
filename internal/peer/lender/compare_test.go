package lender

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// compare makes TestCompare print the figures of docs/design/allotments.md.
var compare = flag.Bool("compare", false, "compare designs of the accounts' limits")

const (
	compareAccounts = 82
	compareSeconds  = 60
	// compareLoad is the number of requests a second of all accounts, compareZones the number of zones.
	compareLoad  = 120.0
	compareZones = 4
	// storeCallTime is the time of a call to the store, and farCall that of a call to another zone and back.
	storeCallTime = 5 * time.Millisecond
	farCall       = 2800 * time.Microsecond
)

// design decides on the requests of all daemons. take returns whether the request is sent.
type design interface {
	take(now time.Duration, daemon, account int) bool
	// costs returns the calls between daemons, those at the busiest daemon, and the writes to the store so far, and the
	// total time that requests waited.
	costs() (calls, busiest, writes int, waited time.Duration)
}

// tokens is a simple token bucket.
type tokens struct {
	level float64
	at    time.Duration
}

func (b *tokens) refill(now time.Duration, rate, capacity float64) {
	b.level = min(capacity, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

func (b *tokens) take(now time.Duration, rate, capacity float64) bool {
	b.refill(now, rate, capacity)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// fixedShares gives each daemon an equal part, of one token at least.
type fixedShares struct {
	limits  []Limit
	daemons int
	buckets map[[2]int]*tokens
}

func (f *fixedShares) take(now time.Duration, d, a int) bool {
	part := float64(f.daemons)
	b, ok := f.buckets[[2]int{d, a}]
	if !ok {
		b = &tokens{level: 1, at: now}
		f.buckets[[2]int{d, a}] = b
	}
	return b.take(now, f.limits[a].Rate/part, max(1, f.limits[a].Burst/part))
}

func (f *fixedShares) costs() (calls, busiest, writes int, waited time.Duration) { return 0, 0, 0, 0 }

// demandShares gives each daemon a part by its demand of the last second, as all daemons told it demandLag ago.
type demandShares struct {
	limits         []Limit
	daemons        int
	buckets        map[[2]int]*tokens
	demand, shares [][]float64
	sharedAt       time.Duration
	calls          int
}

const demandLag = 600 * time.Millisecond

func (s *demandShares) take(now time.Duration, d, a int) bool {
	if now >= s.sharedAt+demandLag {
		s.sharedAt = now
		s.calls += s.daemons
		for a := range s.demand {
			total := 0.0
			for _, n := range s.demand[a] {
				total += n
			}
			for d := range s.demand[a] {
				s.shares[a][d] = 1 / float64(s.daemons)
				if total > 0 {
					s.shares[a][d] = 0.9*s.demand[a][d]/total + 0.1/float64(s.daemons)
				}
				s.demand[a][d] *= math.Exp(-demandLag.Seconds())
			}
		}
	}
	s.demand[a][d]++
	b, ok := s.buckets[[2]int{d, a}]
	if !ok {
		b = &tokens{level: 1, at: now}
		s.buckets[[2]int{d, a}] = b
	}
	part := s.shares[a][d]
	return b.take(now, s.limits[a].Rate*part, max(1, s.limits[a].Burst*part))
}

func (s *demandShares) costs() (calls, busiest, writes int, waited time.Duration) {
	return s.calls, s.calls / s.daemons * 2, 0, 0
}

// lending is the design of this package without faults.
type lending struct {
	limits   []Limit
	holdings []*holdings
	ledger   *ledger
	calls    int
	waited   time.Duration
	sweptAt  time.Duration
}

func (l *lending) take(now time.Duration, d, a int) bool {
	limit := &l.limits[a]
	if now >= l.sweptAt+tickInterval {
		l.sweptAt = now
		for _, h := range l.holdings {
			h.sweep(now)
			if rs := h.drain(); len(rs) > 0 {
				l.calls++
				l.ledger.giveBack(now, rs)
			}
		}
	}
	tk, refused, ahead := l.holdings[d].take(now, limit)
	if tk != nil || refused != nil {
		return tk != nil
	}
	l.calls++
	l.waited += farCall
	resp := l.ledger.take(now, limit, ahead)
	if resp.Count == 0 {
		l.holdings[d].refuse(now, resp.Wait, &RefusedError{Account: limit.Account, Wait: resp.Wait})
		return false
	}
	l.holdings[d].add(limit.Account, resp.Grant, resp.Count-1, now)
	return true
}

func (l *lending) costs() (calls, busiest, writes int, waited time.Duration) {
	return l.calls, l.calls, compareSeconds, l.waited
}

// storedShares lets each daemon draw tokens for the next second by a conditional write of the account's bucket in the store.
type storedShares struct {
	limits  []Limit
	buckets []tokens
	held    map[[2]int]*tokens
	wroteAt []time.Duration
	writes  int
	waited  time.Duration
}

func (s *storedShares) take(now time.Duration, d, a int) bool {
	key := [2]int{d, a}
	h, ok := s.held[key]
	if !ok {
		h = &tokens{at: now}
		s.held[key] = h
	}
	if now-h.at > time.Second {
		h.level = 0
	}
	if h.level >= 1 {
		h.level--
		return true
	}
	if now < s.wroteAt[a]+storeCallTime {
		// Another daemon's write was in flight: a conflict.
		s.writes++
		s.waited += storeCallTime
	}
	s.writes++
	s.waited += storeCallTime
	s.wroteAt[a] = now
	b := &s.buckets[a]
	b.refill(now, s.limits[a].Rate, max(1, s.limits[a].Burst))
	if b.level < 1 {
		return false
	}
	n := max(1, math.Floor(b.level/4))
	b.level -= n
	h.level, h.at = n-1, now
	return true
}

func (s *storedShares) costs() (calls, busiest, writes int, waited time.Duration) {
	return 0, 0, s.writes, s.waited
}

// TestCompare compares designs by the demand of the deployment with accounts: 82 accounts of very different sizes with limits
// of 1.6 times their rates, waves in each zone, clients that move between few daemons of a zone, and one account at six times its
// rate for 6.5 s, which is left out of the first column. The second counts what a bucket of the burst's capacity for the whole
// fleet would grant.
func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("prints figures; run with -compare")
	}
	fmt.Println("| daemons | design | refused in 100 | of those that one bucket grants | worst window, of rate x window + burst | calls a second | at the busiest daemon | store writes a second | mean wait |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range []int{10, 80, 300} {
		usual, limits := compareLimits()
		for _, name := range []string{"fixed shares", "shares by demand", "lender", "lender, shares in the store"} {
			compareOne(n, name, newDesign(name, n, limits), usual, limits)
		}
	}
}

// compareLimits returns the accounts' usual rates and limits. A few are large; the smallest has a third of a request a second.
func compareLimits() ([]float64, []Limit) {
	usual, limits := make([]float64, compareAccounts), make([]Limit, compareAccounts)
	total := 0.0
	for i := range usual {
		usual[i] = 1 / math.Pow(float64(i+2), 0.9)
		total += usual[i]
	}
	for i := range usual {
		usual[i] *= compareLoad / total
		limits[i] = Limit{Account: fmt.Sprint(i), Rate: 1.6 * usual[i], Burst: 1.6 * usual[i], Version: 1}
	}
	return usual, limits
}

func newDesign(name string, n int, limits []Limit) design {
	matrix := func() [][]float64 {
		out := make([][]float64, len(limits))
		for i := range out {
			out[i] = make([]float64, n)
		}
		return out
	}
	switch name {
	case "fixed shares":
		return &fixedShares{limits: limits, daemons: n, buckets: make(map[[2]int]*tokens)}
	case "shares by demand":
		return &demandShares{limits: limits, daemons: n, buckets: make(map[[2]int]*tokens), demand: matrix(), shares: matrix(), sharedAt: -demandLag}
	case "lender":
		cfg := testConfig()
		l := &lending{limits: limits, ledger: newLedger(cfg, -time.Minute, false)}
		for range n {
			l.holdings = append(l.holdings, newHoldings(cfg))
		}
		return l
	default:
		return &storedShares{limits: limits, buckets: make([]tokens, len(limits)), held: make(map[[2]int]*tokens), wroteAt: make([]time.Duration, len(limits))}
	}
}

func compareOne(n int, name string, d design, usual []float64, limits []Limit) {
	rng := rand.New(rand.NewPCG(1, 1))
	ideal := make([]tokens, len(limits))
	uses := make([][]time.Duration, len(limits))
	asked, wrong, all, refused := 0, 0, 0, 0
	const surge, surgeAt, surgeTime = 3, 20 * time.Second, 6500 * time.Millisecond
	for now := time.Duration(0); now < compareSeconds*time.Second; now += time.Millisecond {
		for a := range limits {
			zone := rng.IntN(compareZones)
			wave := 1 + 0.27*math.Sin(2*math.Pi*(now.Seconds()/11+float64(zone)/compareZones))
			rate := usual[a] * wave
			if a == surge && now >= surgeAt && now < surgeAt+surgeTime {
				rate *= 6
			}
			if rng.Float64() >= rate/1000 {
				continue
			}
			// Most clients of an account are at three daemons, others each five seconds.
			daemon := rng.IntN(n)
			if rng.IntN(10) < 7 {
				daemon = (a*31 + int(now/(5*time.Second))*17 + rng.IntN(3)) % n
			}
			isGranted := d.take(now, daemon, a)
			if a != surge {
				all++
				if !isGranted {
					refused++
				}
			}
			if ideal[a].take(now, limits[a].Rate, max(1, limits[a].Burst)) {
				asked++
				if !isGranted {
					wrong++
				}
			}
			if isGranted {
				uses[a] = append(uses[a], now)
			}
		}
	}
	worst := 0.0
	for a := range uses {
		first := 0
		for i, at := range uses[a] {
			for uses[a][first]+5*time.Second <= at {
				first++
			}
			worst = max(worst, float64(i-first+1)/(limits[a].Rate*5+max(1, limits[a].Burst)))
		}
	}
	calls, busiest, writes, waited := d.costs()
	fmt.Printf("| %d | %s | %.1f | %.1f | %.2f | %d | %d | %.1f | %.1f ms |\n", n, name, 100*float64(refused)/float64(all), 100*float64(wrong)/float64(asked), worst,
		calls/compareSeconds, busiest/compareSeconds, float64(writes)/compareSeconds, 1000*waited.Seconds()/float64(asked))
}

// TestCompareFaults prints how many requests within the limits are refused around faults, with 79 daemons in three zones and the
// accounts of TestCompare.
func TestCompareFaults(t *testing.T) {
	if !*compare {
		t.Skip("prints figures; run with -compare")
	}
	usual, limits := compareLimits()
	fmt.Println("| fault | refused in 100, first second | the next four | the next five | ten seconds later |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, tt := range []struct {
		name  string
		fault func(f *fleet)
	}{
		{"none", func(*fleet) {}},
		{"lender killed", func(f *fleet) { f.kill(f.lease.Record.Holder.ID) }},
		{"lender stops", func(f *fleet) { f.at(f.lease.Record.Holder.ID).Release() }},
		{"lender and its successor killed", func(f *fleet) {
			successor := f.lease.Record.Successor.ID
			f.kill(f.lease.Record.Holder.ID)
			f.kill(successor)
		}},
		{"store away for 6 s", func(f *fleet) { f.setAway(true); time.AfterFunc(6*time.Second, func() { f.setAway(false) }) }},
		{"store away for 12 s", func(f *fleet) { f.setAway(true); time.AfterFunc(12*time.Second, func() { f.setAway(false) }) }},
		{"lender killed, store away for 3 s", func(f *fleet) {
			f.kill(f.lease.Record.Holder.ID)
			f.setAway(true)
			time.AfterFunc(3*time.Second, func() { f.setAway(false) })
		}},
	} {
		withFleet(t, 79, func(f *fleet) {
			rng, started := rand.New(rand.NewPCG(2, 2)), time.Now()
			reference := newLedger(testConfig(), -time.Minute, false)
			load := func(d time.Duration) float64 { return f.compareLoad(rng, reference, started, usual, limits, d) }
			load(15 * time.Second)
			tt.fault(f)
			a, b, c := load(time.Second), load(4*time.Second), load(5*time.Second)
			load(5 * time.Second)
			d := load(5 * time.Second)
			fmt.Printf("| %s | %.1f | %.1f | %.1f | %.1f |\n", tt.name, a, b, c, d)
		})
	}
}

// compareLoad sends the accounts' usual requests for a time and returns how many in 100 are refused of those that a reference
// without faults grants.
func (f *fleet) compareLoad(rng *rand.Rand, reference *ledger, started time.Time, usual []float64, limits []Limit, d time.Duration) float64 {
	var wait sync.WaitGroup
	var refused, all atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for a := range usual {
			m := f.members[rng.IntN(len(f.members))]
			f.mu.Lock()
			isLost := f.lost[m.Peer]
			f.mu.Unlock()
			if rng.Float64() >= usual[a]/1000 || isLost {
				continue
			}
			isWithin := reference.take(time.Since(started), &limits[a], 0).Count > 0
			wait.Go(func() {
				if isWithin {
					all.Add(1)
				}
				account := &declarer.Account{Name: limits[a].Account, Rate: limits[a].Rate, Burst: limits[a].Burst}
				if _, err := f.lenders[m.Peer].Take(f.t.Context(), account, 1); err != nil && isWithin {
					refused.Add(1)
				}
			})
		}
	}
	wait.Wait()
	return 100 * float64(refused.Load()) / float64(max(1, all.Load()))
}
