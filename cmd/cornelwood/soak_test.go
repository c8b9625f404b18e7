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

// The soak is run for longer with
//
//	go test ./cmd/cornelwood -run TestSoak -soak 60s -seed 1 -v
var (
	soakTime = flag.Duration("soak", 10*time.Second, "how long faults are injected")
	soakSeed = flag.Uint64("seed", 1, "seed of the faults")
)

// Rates of a soak.
const (
	soakQueryEvery  = 15 * time.Millisecond
	soakRunEvery    = 50 * time.Millisecond
	soakChangeEvery = 300 * time.Millisecond
	soakFaultEvery  = 400 * time.Millisecond
	soakLimit       = 20
	soakWait        = 5 * time.Second
)

// TestSoak injects seeded faults, one and two at once, into separate processes under
// load, and checks the promises from outside: by what callers and operators
// received and by what the searchers counted.
func TestSoak(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b", "b", "c", "c"}, fleet: []string{"--straggler", "0.01", "--factor", "10"}})
	warm(t, s)
	k := &soak{t: t, s: s, tally: make(map[string]int), runs: make(map[string]answerer.Outcome), highest: make(map[string]uint64)}
	ctx, stop := context.WithTimeout(t.Context(), *soakTime)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { k.every(ctx, soakQueryEvery, 1, k.query) })
	wg.Go(func() { k.every(ctx, soakRunEvery, 2, k.run) })
	wg.Go(func() { k.every(ctx, soakChangeEvery, 3, k.change) })
	wg.Go(func() { k.every(ctx, soakChangeEvery, 4, k.read) })
	k.injectAll(ctx)
	wg.Wait()
	k.busy.Wait()
	k.settle()
	t.Logf("soak of %s, seed %d: %v", *soakTime, *soakSeed, k.tally)
}

// soak is one run.
type soak struct {
	t *testing.T
	s *site
	// busy counts calls under way.
	busy sync.WaitGroup

	mu    sync.Mutex
	tally map[string]int
	// runs holds the outcomes told for each ticket.
	runs map[string]answerer.Outcome
	// accepted is the highest version that an operator was told of.
	accepted uint64
	// highest holds the highest version of the service "finder" that each process
	// showed; a restarted process starts anew.
	highest  map[string]uint64
	priority int
}

// every calls do at random moments, until ctx ends, each in its own goroutine.
func (k *soak) every(ctx context.Context, mean time.Duration, stream uint64, do func(rnd *rand.Rand)) {
	rnd := rand.New(rand.NewPCG(*soakSeed, stream))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(mean))):
		}
		own := rand.New(rand.NewPCG(rnd.Uint64(), stream))
		k.busy.Go(func() { do(own) })
	}
}

func (k *soak) count(what string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tally[what]++
}

// call calls a daemon; each has its own time, since a frozen daemon answers
// nothing.
func (k *soak) call(base, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), soakWait)
	defer cancel()
	return requester.New("http://"+base, httpClient).Do(ctx, method, path, in, out)
}

func (k *soak) pick(rnd *rand.Rand) *daemon {
	return k.s.daemons[rnd.IntN(len(k.s.daemons))]
}

// query asks one query and checks the answer against the one right answer of its
// snapshot and coverage.
func (k *soak) query(rnd *rand.Rand) {
	q := answerer.Query{Request: fmt.Sprintf("q-%d", rnd.Uint64()), Service: "finder", Terms: fmt.Sprintf("t-%d", rnd.IntN(9)), Limit: soakLimit}
	var a answerer.Answer
	if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/query", q, &a); err != nil {
		k.count("queries not answered")
		return
	}
	k.count("queries answered")
	if a.Coverage.Complete() {
		k.count("queries complete")
	}
	if err := right(&q, &a); err != nil {
		k.t.Errorf("answer to %+v: %v\n%+v", q, err, a)
	}
}

// right compares an answer with what its snapshot and its merged shards must give.
func right(q *answerer.Query, a *answerer.Answer) error {
	if a.Request != q.Request || a.Service != q.Service {
		return fmt.Errorf("it is the answer to request %q of service %q", a.Request, a.Service)
	}
	var merged []int
	for sh := range a.Coverage.Shards {
		if !slices.ContainsFunc(a.Coverage.Missing, func(m answerer.Missing) bool { return m.Shard == sh }) {
			merged = append(merged, sh)
		}
	}
	if len(merged) != a.Coverage.Merged || a.Coverage.Shards != 4 {
		return fmt.Errorf("coverage says %d of %d shards, and names %d missing", a.Coverage.Merged, a.Coverage.Shards, len(a.Coverage.Missing))
	}
	documents := uint64(0)
	for _, sh := range merged {
		documents += searcher.DocumentCount(searcher.DefaultDocuments, sh, a.Snapshot)
	}
	if documents != a.Coverage.Documents {
		return fmt.Errorf("coverage says %d documents, the merged shards hold %d", a.Coverage.Documents, documents)
	}
	want := searcher.MergedHits(q.Service, merged, a.Snapshot, q.Terms, q.Limit)
	if !slices.Equal(want, a.Results) {
		return fmt.Errorf("results differ from those of snapshot %d:\nwant %+v", a.Snapshot, want)
	}
	return nil
}

// run takes a ticket, and runs it through two instances.
func (k *soak) run(rnd *rand.Rand) {
	var tk answerer.Ticket
	if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/ticket", map[string]string{"service": "roster"}, &tk); err != nil {
		k.count("tickets not issued")
		return
	}
	in := answerer.Run{Ticket: tk.Ticket, Service: "roster", Action: json.RawMessage(`{"crew":7}`)}
	for range 2 {
		var res answerer.RunResult
		if err := k.call(k.pick(rnd).caller, http.MethodPost, "/v1/run", in, &res); err != nil {
			k.count("runs without a result")
			continue
		}
		k.count("runs " + string(res.Outcome))
		k.mu.Lock()
		if res.Outcome != answerer.Unknown {
			k.runs[tk.Ticket] = res.Outcome
		} else if _, ok := k.runs[tk.Ticket]; !ok {
			k.runs[tk.Ticket] = answerer.Unknown
		}
		k.mu.Unlock()
	}
}

// change changes a setting of a service through any daemon.
func (k *soak) change(rnd *rand.Rand) {
	priority := rnd.IntN(10)
	in := map[string]any{"change": fmt.Sprintf("c-%d", rnd.Uint64()), "set": map[string]string{"priority": fmt.Sprint(priority)}}
	var o declarer.Object
	if err := k.call(k.pick(rnd).operator, http.MethodPost, "/v1/services/finder/contract", in, &o); err != nil {
		k.count("changes not accepted")
		return
	}
	k.count("changes accepted")
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Version > k.accepted {
		k.accepted, k.priority = o.Version, priority
	}
}

// read checks that a process never shows a lower version than before.
func (k *soak) read(rnd *rand.Rand) {
	d := k.pick(rnd)
	k.mu.Lock()
	process := fmt.Sprintf("%s %d", d.id, d.started())
	before := k.highest[process]
	k.mu.Unlock()
	var o declarer.Object
	if err := k.call(d.operator, http.MethodGet, "/v1/services/finder", nil, &o); err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if process != fmt.Sprintf("%s %d", d.id, d.started()) {
		return
	}
	if o.Version < before {
		k.t.Errorf("%s showed version %d after %d", process, o.Version, before)
	}
	k.highest[process] = max(k.highest[process], o.Version)
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
		case <-time.After(time.Duration(rnd.ExpFloat64() * float64(soakFaultEvery))):
		}
	}
}

// inject causes one fault. Those that last end by themselves.
func (k *soak) inject(rnd *rand.Rand) {
	d := k.pick(rnd)
	faultsOf := []struct {
		name string
		do   func()
	}{
		{"kill", func() { k.killAndRestart(d) }},
		{"freeze", func() { k.freeze(d, time.Duration(500+rnd.IntN(4000))*time.Millisecond) }},
		{"cut", func() { k.cut(rnd) }},
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
	f := faultsOf[rnd.IntN(len(faultsOf))]
	k.count("fault " + f.name)
	f.do()
}

func (k *soak) killAndRestart(d *daemon) {
	if !d.take() {
		return
	}
	defer d.free()
	d.kill()
	k.s.restart(k.t, d)
}

// freeze stops a daemon's process for a time.
func (k *soak) freeze(d *daemon, wait time.Duration) {
	if !d.take() {
		return
	}
	d.signal(k.t, syscall.SIGSTOP)
	k.busy.Go(func() {
		defer d.free()
		time.Sleep(wait)
		d.signal(k.t, syscall.SIGCONT)
	})
}

// cut drops for a time what one daemon sends to some others.
func (k *soak) cut(rnd *rand.Rand) {
	d := k.pick(rnd)
	if !d.take() {
		return
	}
	var addrs []string
	for _, other := range k.s.daemons {
		if other != d && rnd.IntN(2) == 0 {
			addrs = append(addrs, other.peer)
		}
	}
	d.cut(k.t, addrs...)
	wait := time.Duration(500+rnd.IntN(3000)) * time.Millisecond
	k.busy.Go(func() {
		defer d.free()
		time.Sleep(wait)
		d.cut(k.t)
	})
}

func (k *soak) platformFault(name string, on, off any, rnd *rand.Rand) {
	faults(k.t, k.s.platform, map[string]any{name: on})
	wait := time.Duration(500+rnd.IntN(2000)) * time.Millisecond
	k.busy.Go(func() {
		time.Sleep(wait)
		faults(k.t, k.s.platform, map[string]any{name: off})
	})
}

func (k *soak) searcherFault(rnd *rand.Rand, name string, value any) {
	ups := k.s.services[0].Upstreams()
	u := ups[rnd.IntN(len(ups))]
	ctx, cancel := context.WithTimeout(context.Background(), soakWait)
	defer cancel()
	if name == "advance" {
		// An index moves on in all searchers, one after the other.
		for _, each := range ups {
			_ = requester.New("http://"+each.Addr.String(), freshClient).Do(ctx, http.MethodPost, "/faults", map[string]any{name: value}, nil)
		}
		return
	}
	if err := requester.New("http://"+u.Addr.String(), freshClient).Do(ctx, http.MethodPost, "/faults", map[string]any{name: value}, nil); err != nil {
		k.count("faults not set")
	}
}

// inForceAt returns nil when the daemon shows the last accepted change, or a later
// one whose operator was not told.
func (k *soak) inForceAt(d *daemon) error {
	var o declarer.Object
	if err := d.operate(k.t, http.MethodGet, "/v1/services/finder", nil, &o); err != nil {
		return err
	}
	if o.Version < k.accepted {
		return fmt.Errorf("%s shows version %d, version %d was accepted", d.id, o.Version, k.accepted)
	}
	if o.Version == k.accepted && o.Service.Contract.Priority != k.priority {
		return fmt.Errorf("%s shows priority %d at version %d, %d was accepted", d.id, o.Service.Contract.Priority, o.Version, k.priority)
	}
	return nil
}

// settle ends all faults, and checks what must hold at the end.
func (k *soak) settle() {
	t := k.t
	for _, d := range k.s.daemons {
		k.s.awaitReady(t, d)
	}
	for _, d := range k.s.daemons {
		assertComplete(t, d)
		eventually(t, inForce, func() error { return k.inForceAt(d) })
	}
	assertBorne(t, k.s)
	ran := make(map[string]int)
	eachCounts(t, k.s, func(_ declarer.Upstream, c searcher.Counts) {
		for id, n := range c.Runs {
			ran[id] += n
		}
	})
	for id, n := range ran {
		if n > 1 {
			t.Errorf("ticket %s ran %d times", id, n)
		}
	}
	for id, outcome := range k.runs {
		want := map[answerer.Outcome][]int{answerer.Done: {1}, answerer.NotRun: {0}, answerer.Unknown: {0, 1}}[outcome]
		if !slices.Contains(want, ran[id]) {
			t.Errorf("ticket %s was told %s, and ran %d times", strings.SplitN(id, ":", 2)[0], outcome, ran[id])
		}
	}
}
