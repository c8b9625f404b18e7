package hedger

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

// TestBudget checks that the extra sub-requests stay within a percentage of the deposits plus the
// burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(1, 20).Draw(t, "percent")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		b := NewBudget(percent, float64(burst), float64(burst))
		first, taken := 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "deposit") {
				n := rapid.IntRange(1, 430).Draw(t, "attempts")
				b.Deposit(n)
				first += n
				continue
			}
			if b.Take() {
				taken++
			}
		}
		if taken*100 > first*percent+burst*100 {
			t.Fatalf("%d extra sub-requests for %d first ones, want at most %d in 100 plus %d", taken, first, percent, burst)
		}
	})
}

// TestTakeIfFilled checks that the rest of a budget is left for Take.
func TestTakeIfFilled(t *testing.T) {
	b := NewBudget(10, 10, 4.4)
	got := []bool{b.TakeIfFilled(), b.TakeIfFilled(), b.Take(), b.Take(), b.Take(), b.Take()}
	if diff := cmp.Diff([]bool{true, false, true, true, true, false}, got); diff != "" {
		t.Errorf("TakeIfFilled twice, then Take four times (-want +got):\n%s", diff)
	}
	b.SetBurst(2.5)
	b.Deposit(100)
	if got := []bool{b.Take(), b.Take(), b.Take()}; !cmp.Equal([]bool{true, true, false}, got) {
		t.Errorf("Take returned %v at a capacity of 2.5", got)
	}
}

func TestEstimator(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		e := NewEstimator(quantile, epoch)
		var all []time.Duration
		var histogram Histogram
		for range 5000 {
			d := time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
			all = append(all, d)
			histogram.Add(d)
		}
		e.Add(&histogram)
		slices.Sort(all)
		want := all[int(quantile*float64(len(all)))]
		got, ok := e.Estimate(epoch.Add(estimateInterval))
		if ratio := float64(got) / float64(want); !ok || ratio < 0.9 || ratio > 1.2 {
			t.Errorf("quantile %v: estimate %s, %v, want about %s", quantile, got, ok, want)
		}
	}
}

// TestEstimatorFollows checks that the estimate follows a shift of the latencies.
func TestEstimatorFollows(t *testing.T) {
	e := NewEstimator(0.95, epoch)
	now := epoch
	for _, d := range []time.Duration{time.Millisecond, 50 * time.Millisecond} {
		for range 8 {
			var histogram Histogram
			for range 1000 {
				histogram.Add(d)
			}
			e.Add(&histogram)
			now = now.Add(estimateInterval)
			e.Estimate(now)
		}
		if got, _ := e.Estimate(now); got < d || got > d*6/5 {
			t.Errorf("estimated %s, want about %s", got, d)
		}
	}
}

// TestBuckets checks that each latency lies between the upper bounds of its bucket and of the one
// below.
func TestBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency"))
		i := bucketOf(d)
		if d >= upperBound(i) || i > 0 && d < upperBound(i-1) {
			t.Fatalf("%s is in bucket %d, which ends at %s", d, i, upperBound(i))
		}
	})
}

func TestDelay(t *testing.T) {
	h := New(Config{Quantile: 0.95, Percent: 5, Burst: 1}, epoch)
	if got, want := h.Delay(epoch, 120*time.Millisecond), 40*time.Millisecond; got != want {
		t.Errorf("without samples the delay is %s, want %s", got, want)
	}
	var histogram Histogram
	for range firstEstimateSamples {
		histogram.Add(100 * time.Microsecond)
	}
	h.Observe(&histogram)
	if got := h.Delay(epoch, 120*time.Millisecond); got != minDelay {
		t.Errorf("with fast answers the delay is %s, want %s", got, minDelay)
	}
	if got, want := h.Delay(epoch, 3*time.Millisecond), 1500*time.Microsecond; got != want {
		t.Errorf("with little time left the delay is %s, want %s", got, want)
	}
}

// TestMain fixes the seed of property tests; -rapid.seed on the command line
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}
