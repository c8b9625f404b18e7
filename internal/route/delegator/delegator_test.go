package delegator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/peer/linker"
	"cornelwood.example/internal/route/selector"
)

// pipe is one end of a stream in memory whose messages take oneWay. A message to a cut end is lost.
type pipe struct {
	ctx     context.Context
	in, out chan []byte
	isCut   func() bool
}

const oneWay = time.Millisecond

func (p *pipe) Send(msg any) error {
	raw, err := linker.Encode(msg)
	if err != nil {
		return err
	}
	if p.isCut() {
		return nil
	}
	time.Sleep(oneWay)
	select {
	case p.out <- raw:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *pipe) Recv(out any) error {
	select {
	case raw := <-p.in:
		return linker.Decode(raw, out)
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// fakeDaemon is a daemon that gathers.
type fakeDaemon struct {
	// refuse is the reason for which it refuses, empty to accept. version is the one that it has.
	refuse  exchanger.GatherCode
	version uint64
	// isDead, cutsRequests and cutsAnswers make it unreachable, and lose the messages in one direction.
	isDead                    bool
	cutsRequests, cutsAnswers atomic.Bool
	// takes is how long it gathers; diesAfter, if set, when its connections break after a request.
	takes, diesAfter time.Duration

	mu sync.Mutex
	// got holds the messages received, permitted the attempts permitted at the end of the last job, and cancelled the
	// number of jobs cancelled.
	got       []exchanger.Gather
	permitted int
	cancelled int
	// stop ends the job; stops counts the calls of Stop.
	stop  chan struct{}
	stops int
}

// Admit returns the job of a query.
func (f *fakeDaemon) Admit(_ context.Context, in *exchanger.Gather) (Job, exchanger.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, *in)
	f.permitted = 1
	f.stop = make(chan struct{})
	if f.refuse == "" && in.Definition == nil && in.Version != f.version {
		return nil, exchanger.Refusal{Code: exchanger.WrongVersion}
	}
	return f, exchanger.Refusal{Code: f.refuse}
}

func (f *fakeDaemon) Allow(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permitted = n
}

func (f *fakeDaemon) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops++
	close(f.stop)
}

// Run sends a part at half of the time that the daemon takes, and another one at its end.
func (f *fakeDaemon) Run(ctx context.Context, send func(*exchanger.Gathered) error) error {
	for i := range 2 {
		select {
		case <-time.After(f.takes / 2):
		case <-f.stop:
			return send(&exchanger.Gathered{Final: true})
		case <-ctx.Done():
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cancelled++
			return ctx.Err()
		}
		if err := send(&exchanger.Gathered{Parts: []exchanger.Part{{Shard: i, Stamp: "s"}}, Final: i == 1}); err != nil {
			return err
		}
	}
	return nil
}

// network holds the daemons by address; it is their Opener and Prober.
type network struct {
	daemons map[netip.AddrPort]*fakeDaemon
}

var errRefused = errors.New("connection refused")

func (n *network) Open(ctx context.Context, peer netip.AddrPort) (Stream, func(bool), error) {
	d := n.daemons[peer]
	if d.isDead {
		return nil, nil, errRefused
	}
	ctx, cancel := context.WithCancel(ctx)
	if d.diesAfter > 0 {
		time.AfterFunc(d.diesAfter, cancel)
	}
	up, down := make(chan []byte, 9), make(chan []byte, 9)
	go func() {
		_ = NewServer(d).Serve(ctx, &pipe{ctx: ctx, in: up, out: down, isCut: func() bool { return d.cutsAnswers.Load() }})
	}()
	return &pipe{ctx: ctx, in: down, out: up, isCut: func() bool { return d.cutsRequests.Load() }}, func(bool) { cancel() }, nil
}

func (n *network) Probe(ctx context.Context, m *declarer.Member) error {
	if d := n.daemons[m.Peer]; d.isDead || d.cutsAnswers.Load() || d.cutsRequests.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// outcome is what a test checks of a Result and of the daemons.
type outcome struct {
	// Daemon is the daemon that answered, empty for none.
	Daemon     string
	Attempts   int
	MayHaveRun bool
	// Permitted holds the attempts permitted at the first and the second daemon, 0 for one that was not asked.
	Permitted [2]int
}

const (
	version  = 7
	attempts = 2
	goal     = 100 * time.Millisecond
	deadline = time.Second
)

// delegate runs one query with two daemons, of which the first is asked first, and returns how long it took.
func delegate(t *testing.T, first, second *fakeDaemon, mayRepeat bool) (outcome, time.Duration) {
	t.Helper()
	members := []declarer.Member{
		{ID: "first", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:1")},
		{ID: "second", Zone: "other", Peer: netip.MustParseAddrPort("10.0.0.2:1")},
	}
	n := &network{daemons: map[netip.AddrPort]*fakeDaemon{members[0].Peer: first, members[1].Peer: second}}
	sel := selector.New("z", n, hclog.NewNullLogger(), time.Now)
	d := New(Default(), n, sel, n)
	started := time.Now()
	parts := 0
	res := d.Delegate(t.Context(), members, &Query{
		OnMessage:  func(g *exchanger.Gathered) { parts += len(g.Parts) },
		Gather:     exchanger.Gather{Version: version, Route: "q", Method: "GET", Target: "/"},
		Definition: &declarer.Route{Name: "q", Host: "h", Prefix: "/", Idempotent: true, Attempts: attempts, TopK: 1, Shards: []string{"s"}},
		CutoffAt:   started.Add(goal), Deadline: started.Add(deadline),
		MayRepeat: func() bool { return mayRepeat },
	})
	took := time.Since(started)
	synctest.Wait()
	out := outcome{Attempts: res.Attempts, MayHaveRun: res.MayHaveRun, Permitted: [2]int{first.permitted, second.permitted}}
	if res.Final {
		out.Daemon = res.Daemon
	}
	if (res.Err == nil) != res.Final || res.Final != (parts == 2) {
		t.Errorf("final %t with error %v and %d parts, want an error or 2 parts", res.Final, res.Err, parts)
	}
	return out, took
}

// TestDelegate checks who gathers a query, and how many attempts that daemon may use, when the first daemon fails in the
// ways that daemons do. No more attempts than the route's are permitted in all.
func TestDelegate(t *testing.T) {
	works := func() *fakeDaemon { return &fakeDaemon{version: version, takes: 40 * time.Millisecond} }
	for _, tt := range []struct {
		name  string
		first func(*fakeDaemon)
		// noBudget is true when the retry budget is used up.
		noBudget bool
		want     outcome
		most     time.Duration
	}{
		{"works", func(*fakeDaemon) {}, false, outcome{"first", 2, false, [2]int{2, 0}}, 50 * time.Millisecond},
		{"lacks the version", func(d *fakeDaemon) { d.version = 6 }, false, outcome{"first", 2, false, [2]int{2, 0}}, 55 * time.Millisecond},
		{"is dead", func(d *fakeDaemon) { d.isDead = true }, false, outcome{"second", 2, false, [2]int{0, 2}}, 50 * time.Millisecond},
		{"leaves", func(d *fakeDaemon) { d.refuse = exchanger.Leaving }, false, outcome{"second", 2, false, [2]int{1, 2}}, 55 * time.Millisecond},
		{"has no room", func(d *fakeDaemon) { d.refuse = exchanger.Overloaded }, false, outcome{"", 2, false, [2]int{1, 0}}, 5 * time.Millisecond},
		{"is cut off", func(d *fakeDaemon) { d.cutsRequests.Store(true); d.cutsAnswers.Store(true) }, false, outcome{"second", 1, true, [2]int{0, 1}}, 80 * time.Millisecond},
		{"receives only", func(d *fakeDaemon) { d.cutsAnswers.Store(true) }, false, outcome{"second", 1, true, [2]int{1, 1}}, 80 * time.Millisecond},
		{"receives only, without budget", func(d *fakeDaemon) { d.cutsAnswers.Store(true) }, true, outcome{"", 1, true, [2]int{1, 0}}, 40 * time.Millisecond},
		{"dies after the acceptance", func(d *fakeDaemon) { d.diesAfter = 20 * time.Millisecond }, false, outcome{"", 0, true, [2]int{2, 0}}, 25 * time.Millisecond},
		{"works on after the goal", func(d *fakeDaemon) { d.takes = 700 * time.Millisecond }, false, outcome{"first", 2, false, [2]int{2, 0}}, 710 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := works()
				tt.first(first)
				got, took := delegate(t, first, works(), !tt.noBudget)
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
				if took > tt.most {
					t.Errorf("took %s, want %s at most", took, tt.most)
				}
			})
		})
	}
}

// TestDaemonFreezes checks that a query whose daemon stops answering after its acceptance ends soon after the goal, and
// not at the deadline.
func TestDaemonFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &fakeDaemon{version: version, takes: time.Hour}
		time.AfterFunc(20*time.Millisecond, func() { first.cutsAnswers.Store(true) })
		got, took := delegate(t, first, &fakeDaemon{}, true)
		if diff := cmp.Diff(outcome{"", 0, true, [2]int{2, 0}}, got); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if most := 3 * goal; took > most {
			t.Errorf("took %s, want %s at most", took, most)
		}
		if first.cancelled != 1 {
			t.Errorf("%d jobs cancelled, want 1", first.cancelled)
		}
	})
}

// TestClientLeaves checks that the work at the daemon that gathers ends with the client's request.
func TestClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := declarer.Member{ID: "first", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:1")}
		d := &fakeDaemon{version: version, takes: time.Hour}
		n := &network{daemons: map[netip.AddrPort]*fakeDaemon{m.Peer: d}}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		started := time.Now()
		res := New(Default(), n, selector.New("z", n, hclog.NewNullLogger(), time.Now), n).Delegate(ctx, []declarer.Member{m}, &Query{
			Gather: exchanger.Gather{Version: version, Route: "q", Method: "GET", Target: "/"}, Definition: &declarer.Route{Attempts: attempts},
			CutoffAt: started.Add(goal), Deadline: started.Add(deadline), MayRepeat: func() bool { return true },
		})
		synctest.Wait()
		if res.Final || time.Since(started) > 51*time.Millisecond || d.cancelled != 1 {
			t.Errorf("final %t after %s, %d jobs cancelled, want no last message at once and 1", res.Final, time.Since(started), d.cancelled)
		}
	})
}

// TestStop checks that a daemon ends its work when the answer is enough, and that its connection stays in use.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := declarer.Member{ID: "first", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:1")}
		d := &fakeDaemon{version: version, takes: time.Second}
		n := &network{daemons: map[netip.AddrPort]*fakeDaemon{m.Peer: d}}
		done := make(chan struct{})
		time.AfterFunc(goal, func() { close(done) })
		started := time.Now()
		res := New(Default(), n, selector.New("z", n, hclog.NewNullLogger(), time.Now), n).Delegate(t.Context(), []declarer.Member{m}, &Query{
			Gather: exchanger.Gather{Version: version, Route: "q", Method: "GET", Target: "/"}, Definition: &declarer.Route{Attempts: attempts},
			CutoffAt: started.Add(goal), Deadline: started.Add(deadline), MayRepeat: func() bool { return true },
			OnMessage: func(*exchanger.Gathered) {}, Done: done,
		})
		synctest.Wait()
		if took := time.Since(started); !res.Final || took > goal+5*time.Millisecond || d.stops != 1 || d.cancelled != 0 {
			t.Errorf("final %t after %s, %d stops, %d jobs cancelled, want the last message soon after %s and one stop", res.Final, took, d.stops, d.cancelled, goal)
		}
	})
}

// TestGoalLeavesOutTheWay guards against parts that leave the daemon that gathers at the cutoff, and arrive after it.
func TestGoalLeavesOutTheWay(t *testing.T) {
	d, now := New(Default(), nil, nil, nil), time.Unix(1000, 0)
	if got, want := d.goal(goal, d.exchange("z"), now), goal-Default().Exchange; got != want {
		t.Errorf("goal %s before any measurement, want %s", got, want)
	}
	for range 20 {
		d.exchange("z").Record(9*time.Millisecond, now)
	}
	now = now.Add(time.Second)
	if got, want := d.goal(goal, d.exchange("z"), now), goal-9*time.Millisecond; got != want {
		t.Errorf("goal %s, want %s", got, want)
	}
	if got, want := d.goal(goal, d.exchange("other"), now), goal-Default().Exchange; got != want {
		t.Errorf("goal %s in a zone without measurements, want %s", got, want)
	}
	if got, want := d.goal(20*time.Millisecond, d.exchange("z"), now), 15*time.Millisecond; got != want {
		t.Errorf("goal %s when little time is left, want %s", got, want)
	}
}
