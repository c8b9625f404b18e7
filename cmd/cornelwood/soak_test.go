package main_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/searcher"
)

// A longer soak is run with
//
//	go test ./cmd/cornelwood -run TestSoak -soak 60s -seed 1 -v
var (
	soakDuration = flag.Duration("soak", 10*time.Second, "how long faults are injected")
	soakSeed     = flag.Uint64("seed", 1, "seed of the faults")
)

// Mean intervals between the calls and faults of a soak, and limits of its calls.
const (
	soakQueryInterval  = 15 * time.Millisecond
	soakRunInterval    = 50 * time.Millisecond
	soakChangeInterval = 300 * time.Millisecond
	soakFaultInterval  = 400 * time.Millisecond
	soakResultLimit    = 20
	soakCallTimeout    = 5 * time.Second
)

// TestSoak injects seeded faults, one or two at once, into separate processes under load. It checks the guarantees
// from outside, by what callers and operators received and by the counters of the searchers.
func TestSoak(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b", "b", "c", "c"}, fleetFlags: []string{"--straggler", "0.01", "--factor", "10"}})
	warmUp(t, s)
	k := &soak{t: t, s: s, tally: make(map[string]int), outcomes: make(map[string]answerer.Outcome), highestShown: make(map[string]uint64)}
	ctx, stop := context.WithTimeout(t.Context(), *soakDuration)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { k.repeat(ctx, soakQueryInterval, 1, k.query) })
	wg.Go(func() { k.repeat(ctx, soakRunInterval, 2, k.runAction) })
	wg.Go(func() { k.repeat(ctx, soakChangeInterval, 3, k.changePriority) })
	wg.Go(func() { k.repeat(ctx, soakChangeInterval, 4, k.readVersion) })
	k.injectAll(ctx)
	wg.Wait()
	k.pending.Wait()
	k.assertSettled()
	t.Logf("soak of %s, seed %d: %v", *soakDuration, *soakSeed, k.tally)
}

// soak is one run of TestSoak.
type soak struct {
	t *testing.T
	s *site
	// pending counts calls in flight and faults that have not ended.
	pending sync.WaitGroup

	mu    sync.Mutex
	tally map[string]int
	// outcomes holds the outcome that callers received for each ticket.
	outcomes map[string]answerer.Outcome
	// acceptedVersion is the highest version whose acceptance an operator received.
	acceptedVersion uint64
	// highestShown holds the highest version of the service "finder" that each process has shown. A restarted daemon
	// is a new process.
	highestShown     map[string]uint64
	acceptedPriority int
}

// repeat calls do at random intervals with the given mean until ctx ends, each call in its own goroutine.
func (k *soak) repeat(ctx context.Context, mean time.Duration, stream uint64, do func(rnd *rand.Rand)) {
	rnd := rand.New(rand.NewPCG(*soakSeed, stream))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(mean))):
		}
		callRnd := rand.New(rand.NewPCG(rnd.Uint64(), stream))
		k.pending.Go(func() { do(callRnd) })
	}
}

func (k *soak) count(what string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tally[what]++
}

// call calls a daemon. Each call has its own timeout, since a frozen daemon does not answer.
func (k *soak) call(base, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), soakCallTimeout)
	defer cancel()
	return requester.New("http://"+base, httpClient).Do(ctx, method, path, in, out)
}

func (k *soak) pick(rnd *rand.Rand) *daemon {
	return k.s.daemons[rnd.IntN(len(k.s.daemons))]
}

// query sends one query and compares the answer with the only right one for its snapshot version and coverage.
func (k *soak) query(rnd *rand.Rand) {
	q := answerer.Query{Request: fmt.Sprintf("q-%d", rnd.Uint64()), Service: "finder", Terms: fmt.Sprintf("t-%d", rnd.IntN(9)), Limit: soakResultLimit}
	var a answerer.Answer
	if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/query", q, &a); err != nil {
		k.count("queries not answered")
		return
	}
	k.count("queries answered")
	if a.Coverage.Complete() {
		k.count("queries complete")
	}
	if err := checkAnswer(&q, &a); err != nil {
		k.t.Errorf("answer to %+v: %v\n%+v", q, err, a)
	}
}

// checkAnswer compares an answer with the result that its snapshot version and its merged shards determine.
func checkAnswer(q *answerer.Query, a *answerer.Answer) error {
	if a.Request != q.Request || a.Service != q.Service {
		return fmt.Errorf("the answer is for request %q of service %q", a.Request, a.Service)
	}
	var merged []int
	for sh := range a.Coverage.Shards {
		if !slices.ContainsFunc(a.Coverage.Missing, func(m answerer.Missing) bool { return m.Shard == sh }) {
			merged = append(merged, sh)
		}
	}
	if len(merged) != a.Coverage.Merged || a.Coverage.Shards != 4 {
		return fmt.Errorf("coverage has %d of %d shards, and lists %d missing", a.Coverage.Merged, a.Coverage.Shards, len(a.Coverage.Missing))
	}
	documents := uint64(0)
	for _, sh := range merged {
		documents += searcher.DocumentCount(searcher.DefaultDocuments, sh, a.Snapshot)
	}
	if documents != a.Coverage.Documents {
		return fmt.Errorf("coverage has %d documents, the merged shards hold %d", a.Coverage.Documents, documents)
	}
	want := searcher.MergedHits(q.Service, merged, a.Snapshot, q.Terms, q.Limit)
	if !slices.Equal(want, a.Results) {
		return fmt.Errorf("results differ from those of snapshot %d:\nwant %+v", a.Snapshot, want)
	}
	return nil
}

// runAction gets a ticket and runs it twice, each time through a random instance.
func (k *soak) runAction(rnd *rand.Rand) {
	var ticket answerer.Ticket
	if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/ticket", map[string]string{"service": "roster"}, &ticket); err != nil {
		k.count("tickets not issued")
		return
	}
	in := answerer.Run{Ticket: ticket.Ticket, Service: "roster", Action: json.RawMessage(`{"crew":7}`)}
	for range 2 {
		var res answerer.RunResult
		if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/run", in, &res); err != nil {
			k.count("runs without a result")
			continue
		}
		k.count("runs " + string(res.Outcome))
		k.mu.Lock()
		if res.Outcome != answerer.Unknown {
			k.outcomes[ticket.Ticket] = res.Outcome
		} else if _, ok := k.outcomes[ticket.Ticket]; !ok {
			k.outcomes[ticket.Ticket] = answerer.Unknown
		}
		k.mu.Unlock()
	}
}

// changePriority changes the priority of the service "finder" through a random daemon.
func (k *soak) changePriority(rnd *rand.Rand) {
	priority := rnd.IntN(10)
	in := map[string]any{"change": fmt.Sprintf("c-%d", rnd.Uint64()), "set": map[string]string{"priority": fmt.Sprint(priority)}}
	var object declarer.Object
	if err := k.call(k.pick(rnd).operator, http.MethodPost, "/v1/services/finder/contract", in, &object); err != nil {
		k.count("changes not accepted")
		return
	}
	k.count("changes accepted")
	k.mu.Lock()
	defer k.mu.Unlock()
	if object.Version > k.acceptedVersion {
		k.acceptedVersion, k.acceptedPriority = object.Version, priority
	}
}

// readVersion checks that a process never shows a lower version than before.
func (k *soak) readVersion(rnd *rand.Rand) {
	d := k.pick(rnd)
	k.mu.Lock()
	processKey := fmt.Sprintf("%s %d", d.id, d.startCount())
	before := k.highestShown[processKey]
	k.mu.Unlock()
	var object declarer.Object
	if err := k.call(d.operator, http.MethodGet, "/v1/services/finder", nil, &object); err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if processKey != fmt.Sprintf("%s %d", d.id, d.startCount()) {
		return
	}
	if object.Version < before {
		k.t.Errorf("%s showed version %d after %d", processKey, object.Version, before)
	}
	k.highestShown[processKey] = max(k.highestShown[processKey], object.Version)
}

// injectAll injects a fault, or two at once, at random moments.
func (k *soak) injectAll(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(*soakSeed, 5))
	for ctx.Err() == nil {
		k.inject(rnd)
		if rnd.IntN(3) == 0 {
			k.inject(rnd)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(soakFaultInterval))):
		}
	}
}

// inject causes one fault. Lasting faults end by themselves.
func (k *soak) inject(rnd *rand.Rand) {
	d := k.pick(rnd)
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill", func() { k.killAndRestart(d) }},
		{"freeze", func() { k.freeze(d, time.Duration(500+rnd.IntN(4000))*time.Millisecond) }},
		{"cut", func() { k.partition(rnd) }},
		{"outage", func() { k.platformFault("outage", []any{"refuse", "hang"}[rnd.IntN(2)], "", rnd) }},
		{"slow", func() { k.platformFault("slow", "700ms", "0s", rnd) }},
		{"lose", func() { k.platformFault("lose", 2, 0, rnd) }},
		{"miss", func() { k.platformFault("miss", 2, 0, rnd) }},
		{"oldreads", func() { k.platformFault("oldreads", 6, 0, rnd) }},
		{"cold", func() { k.searcherFault(rnd, "cold", true) }},
		{"silent", func() { k.searcherFault(rnd, "silent", true) }},
		{"advance", func() { k.searcherFault(rnd, "advance", 1) }},
		{"cross", func() { k.searcherFault(rnd, "cross", 2) }},
		{"duplicate", func() { k.searcherFault(rnd, "duplicate", 1) }},
		{"wrongversion", func() { k.searcherFault(rnd, "wrongversion", 1) }},
		{"truncate", func() { k.searcherFault(rnd, "truncate", 1) }},
		{"stall", func() { k.searcherFault(rnd, "stall", 1) }},
	}
	f := kinds[rnd.IntN(len(kinds))]
	k.count("fault " + f.name)
	f.do()
}

func (k *soak) killAndRestart(d *daemon) {
	if !d.claim() {
		return
	}
	defer d.release()
	d.kill()
	k.s.restart(k.t, d)
}

// freeze suspends a daemon's process for a time.
func (k *soak) freeze(d *daemon, duration time.Duration) {
	if !d.claim() {
		return
	}
	d.signal(k.t, syscall.SIGSTOP)
	k.pending.Go(func() {
		defer d.release()
		time.Sleep(duration)
		d.signal(k.t, syscall.SIGCONT)
	})
}

// partition drops for a time what one daemon sends to some others.
func (k *soak) partition(rnd *rand.Rand) {
	source := k.pick(rnd)
	if !source.claim() {
		return
	}
	var addrs []string
	for _, other := range k.s.daemons {
		if other != source && rnd.IntN(2) == 0 {
			addrs = append(addrs, other.peer)
		}
	}
	source.blockTraffic(k.t, addrs...)
	duration := time.Duration(500+rnd.IntN(3000)) * time.Millisecond
	k.pending.Go(func() {
		defer source.release()
		time.Sleep(duration)
		source.blockTraffic(k.t)
	})
}

func (k *soak) platformFault(name string, on, off any, rnd *rand.Rand) {
	setFaults(k.t, k.s.platformURL, map[string]any{name: on})
	duration := time.Duration(500+rnd.IntN(2000)) * time.Millisecond
	k.pending.Go(func() {
		time.Sleep(duration)
		setFaults(k.t, k.s.platformURL, map[string]any{name: off})
	})
}

func (k *soak) searcherFault(rnd *rand.Rand, name string, value any) {
	ups := k.s.services[0].Upstreams()
	u := ups[rnd.IntN(len(ups))]
	ctx, cancel := context.WithTimeout(context.Background(), soakCallTimeout)
	defer cancel()
	if name == "advance" {
		// An index advances in all searchers, one after the other.
		for _, each := range ups {
			_ = requester.New("http://"+each.Addr.String(), noKeepAliveClient).Do(ctx, http.MethodPost, "/faults", map[string]any{name: value}, nil)
		}
		return
	}
	if err := requester.New("http://"+u.Addr.String(), noKeepAliveClient).Do(ctx, http.MethodPost, "/faults", map[string]any{name: value}, nil); err != nil {
		k.count("faults not set")
	}
}

// checkAccepted returns an error unless the daemon shows the last accepted change, or a later one whose acceptance
// its operator did not receive.
func (k *soak) checkAccepted(d *daemon) error {
	var object declarer.Object
	if err := d.callOperator(k.t, http.MethodGet, "/v1/services/finder", nil, &object); err != nil {
		return err
	}
	if object.Version < k.acceptedVersion {
		return fmt.Errorf("%s shows version %d, version %d was accepted", d.id, object.Version, k.acceptedVersion)
	}
	if object.Version == k.acceptedVersion && object.Service.Contract.Priority != k.acceptedPriority {
		return fmt.Errorf("%s shows priority %d at version %d, %d was accepted", d.id, object.Service.Contract.Priority, object.Version, k.acceptedPriority)
	}
	return nil
}

// assertSettled checks the guarantees after all faults have ended.
func (k *soak) assertSettled() {
	t := k.t
	for _, d := range k.s.daemons {
		k.s.awaitReady(t, d)
	}
	for _, d := range k.s.daemons {
		assertComplete(t, d)
		eventually(t, applyLimit, func() error { return k.checkAccepted(d) })
	}
	assertNoOverload(t, k.s)
	ran := make(map[string]int)
	forEachCounts(t, k.s, func(_ declarer.Upstream, c searcher.Counts) {
		for id, n := range c.Runs {
			ran[id] += n
		}
	})
	for id, n := range ran {
		if n > 1 {
			t.Errorf("ticket %s ran %d times", id, n)
		}
	}
	for id, outcome := range k.outcomes {
		want := map[answerer.Outcome][]int{answerer.Done: {1}, answerer.NotRun: {0}, answerer.Unknown: {0, 1}}[outcome]
		if !slices.Contains(want, ran[id]) {
			t.Errorf("ticket %s: callers received %s, searchers ran it %d times", strings.SplitN(id, ":", 2)[0], outcome, ran[id])
		}
	}
}
