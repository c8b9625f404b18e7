package promoter

import (
	"fmt"
	"math"
	"slices"

	"cornelwood.example/internal/contract/exchanger"
)

const (
	// slowBuckets is how many buckets above the others' median an answer counts as slow: 2.5 times.
	slowBuckets = 4
	// minOthers is the least number of latencies of the others from which their median is taken.
	minOthers = 10
	// failureMargin, slowMargin and refusalMargin are the shares of its answers by which a good version may be worse than
	// the others. Searchers pause for 250 ms every 6 s, and the ones of the version get what arrives meanwhile; they
	// refuse what is beyond their slots.
	failureMargin = 0.02
	slowMargin    = 0.12
	refusalMargin = 0.25
	// movingFactor multiplies the margins during the move: there are no answers of the others to compare with at the same
	// time, and the version's searchers get many new connections at once.
	movingFactor = 3
	// marginRatio is the multiple of the others' share up to which a good version may be worse.
	marginRatio = 1.5
	// runningDoubt is the probability of so many bad answers of a good version below which it counts as bad while the
	// roll-out is running. About 200 tests are made, so a good version fails in fewer than one roll-out in 500.
	runningDoubt = 1e-5
	// finalDoubt is the same for the decision at the end, which is one test of each kind and route.
	finalDoubt = 5e-3
	// decisiveCount is the number of bad answers from which a single searcher of several is evidence enough: the time
	// until the rollback counts from the 50th.
	decisiveCount = 30
	// minRest is the least number of answers of the searchers but the worst one from which the rest is tested at the end.
	minRest = 20
)

// Evidence holds what was counted of a service since an order, by route.
type Evidence map[string]*Tally

// Tally holds the counts of one route.
type Tally struct {
	// Others counts the searchers of other versions together, Version each searcher of the version under test.
	Others  exchanger.RolloutSample
	Version map[string]*exchanger.RolloutSample
}

// Add adds samples.
func (e Evidence) Add(samples []exchanger.RolloutSample) {
	e.add(samples, 1)
}

// add adds samples n times; n may be negative.
func (e Evidence) add(samples []exchanger.RolloutSample, n int) {
	for i := range samples {
		s := &samples[i]
		t := e[s.Route]
		if t == nil {
			t = &Tally{Version: make(map[string]*exchanger.RolloutSample)}
			e[s.Route] = t
		}
		to := &t.Others
		if s.Searcher != "" {
			to = t.Version[s.Searcher]
			if to == nil {
				to = &exchanger.RolloutSample{}
				t.Version[s.Searcher] = to
			}
		}
		addSample(to, s, n)
	}
}

func addSample(to, s *exchanger.RolloutSample, n int) {
	to.Answers += n * s.Answers
	to.Failures += n * s.Failures
	to.Refusals += n * s.Refusals
	if len(to.Latencies) < len(s.Latencies) {
		to.Latencies = append(to.Latencies, make([]int, len(s.Latencies)-len(to.Latencies))...)
	}
	for i, c := range s.Latencies {
		to.Latencies[i] += n * c
	}
}

// Since returns what was counted after earlier, which e contains.
func (e Evidence) Since(earlier Evidence) Evidence {
	out := make(Evidence)
	for route, t := range e {
		out.add(t.samples(route), 1)
	}
	for route, t := range earlier {
		out.add(t.samples(route), -1)
	}
	return out
}

func (t *Tally) samples(route string) []exchanger.RolloutSample {
	out := []exchanger.RolloutSample{t.Others}
	out[0].Route, out[0].Searcher = route, ""
	for id, s := range t.Version {
		c := *s
		c.Route, c.Searcher = route, id
		out = append(out, c)
	}
	return out
}

// Answers returns the number of usable answers of the version.
func (e Evidence) Answers() int {
	n := 0
	for _, t := range e {
		for _, s := range t.Version {
			n += s.Answers
		}
	}
	return n
}

// Slowest returns the bucket of the slowest answer of any version, -1 when there is none.
func (e Evidence) Slowest() int {
	slowest := -1
	for route, t := range e {
		for _, s := range t.samples(route) {
			for i, n := range s.Latencies {
				if n > 0 {
					slowest = max(slowest, i)
				}
			}
		}
	}
	return slowest
}

// comparedWith returns e, with the counts of the other versions taken from whole for the routes that have few of them: they
// get no more requests once the version is found good.
func (e Evidence) comparedWith(whole Evidence) Evidence {
	out := make(Evidence, len(e))
	for route, t := range e {
		c := *t
		if w := whole[route]; w != nil && c.Others.Answers < minOthers {
			c.Others = w.Others
		}
		out[route] = &c
	}
	return out
}

// ratio is a number of bad ones among all.
type ratio struct {
	bad, all int
}

func (r ratio) share() float64 {
	return float64(r.bad) / float64(max(1, r.all))
}

// add adds another ratio.
func (r *ratio) add(other ratio) {
	r.bad += other.bad
	r.all += other.all
}

// test compares one kind of badness of the version with that of the others.
type test struct {
	kind    string
	others  ratio
	allowed float64
	// version has the ratio of each searcher of the version.
	version map[string]ratio
}

// newTest returns a test without searchers of the version. A good version may have a share of bad ones that is by margin, or
// by marginRatio, above that of the others.
func newTest(kind string, others ratio, margin float64) test {
	return test{kind: kind, others: others, allowed: max(others.share()+margin, others.share()*marginRatio), version: make(map[string]ratio)}
}

// sum returns the ratio of all searchers of the version, and that of the one with most bad ones.
func (t *test) sum() (sum, worst ratio) {
	for _, r := range t.version {
		sum.add(r)
		if r.bad > worst.bad {
			worst = r
		}
	}
	return sum, worst
}

// merge adds the test of another route. Each route counts by what the version got of it, so that it does not matter if the
// versions got the routes in different proportions.
func (t *test) merge(other *test) {
	sum, _ := t.sum()
	otherSum, _ := other.sum()
	if n := sum.all + otherSum.all; n > 0 {
		t.allowed = (t.allowed*float64(sum.all) + other.allowed*float64(otherSum.all)) / float64(n)
	}
	t.others.add(other.others)
	for id, r := range other.version {
		r.add(t.version[id])
		t.version[id] = r
	}
}

// tests returns the comparisons of one route, with the margins multiplied by a factor.
func (t *Tally) tests(factor float64) []test {
	others := &t.Others
	failures := newTest("failures", ratio{others.Failures, others.Answers + others.Failures}, failureMargin*factor)
	refusals := newTest("refusals", ratio{others.Refusals, others.Answers + others.Failures + others.Refusals}, refusalMargin*factor)
	median, knowsMedian := medianBucket(others.Latencies)
	slow := newTest("slow answers", slowRatio(others.Latencies, median), slowMargin*factor)
	for id, s := range t.Version {
		failures.version[id] = ratio{s.Failures, s.Answers + s.Failures}
		refusals.version[id] = ratio{s.Refusals, s.Answers + s.Failures + s.Refusals}
		if knowsMedian {
			slow.version[id] = slowRatio(s.Latencies, median)
		}
	}
	return []test{failures, refusals, slow}
}

// medianBucket returns the bucket of the median latency, and false when there are too few.
func medianBucket(latencies []int) (int, bool) {
	total := 0
	for _, n := range latencies {
		total += n
	}
	if total < minOthers {
		return 0, false
	}
	left := total / 2
	for i, n := range latencies {
		if left -= n; left < 0 {
			return i, true
		}
	}
	return len(latencies) - 1, true
}

func slowRatio(latencies []int, median int) ratio {
	var r ratio
	for i, n := range latencies {
		r.all += n
		if i >= median+slowBuckets {
			r.bad += n
		}
	}
	return r
}

// isBad reports whether the version would hardly have so many bad ones if it was as good as the others. With several
// searchers, the rest must be bad without the worst one, too: one searcher that crashes or turns slow says nothing of the
// version. Exceptions are very many bad ones, and at the end, when isFinal is set, too few of the rest to tell.
func (t *test) isBad(doubt float64, isFinal bool) bool {
	sum, worst := t.sum()
	if t.allowed >= 1 || tail(sum, t.allowed) >= doubt {
		return false
	}
	rest := ratio{sum.bad - worst.bad, sum.all - worst.all}
	if len(t.version) == 1 || sum.bad >= decisiveCount || isFinal && rest.all < minRest {
		return true
	}
	return tail(rest, t.allowed) < math.Sqrt(doubt)
}

// tail returns the probability of r.bad or more of r.all if each is bad with probability p.
func tail(r ratio, p float64) float64 {
	if r.bad <= 0 {
		return 1
	}
	if float64(r.bad) <= p*float64(r.all) {
		// More likely than a half, and never evidence.
		return 1
	}
	n := float64(r.all)
	sum := 0.0
	for k := r.bad; k <= r.all; k++ {
		term := math.Exp(logChoose(n, float64(k)) + float64(k)*math.Log(p) + (n-float64(k))*math.Log1p(-p))
		if sum += term; term < sum*1e-6 {
			break
		}
	}
	return sum
}

func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// fault returns why the version is bad, empty when the evidence does not show it.
func (e Evidence) fault(doubt, factor float64, isFinal bool) string {
	routes := make([]string, 0, len(e))
	for route := range e {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	var whole []test
	for _, route := range routes {
		for i, t := range e[route].tests(factor) {
			if t.isBad(doubt, isFinal) {
				return fmt.Sprintf("route %q: %s", route, t.text())
			}
			if i == len(whole) {
				whole = append(whole, newTest(t.kind, ratio{}, 0))
			}
			whole[i].merge(&t)
		}
	}
	for i := range whole {
		if whole[i].isBad(doubt, isFinal) {
			return "all routes: " + whole[i].text()
		}
	}
	return ""
}

// text returns the numbers of the test.
func (t *test) text() string {
	sum, _ := t.sum()
	return fmt.Sprintf("%s: %d of %d with the version, %d of %d with others", t.kind, sum.bad, sum.all, t.others.bad, t.others.all)
}
