package promoter

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/control/relayer"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/peer/linker"
)

// fleet is a number of daemons, the first of which is ranked first, and a store, all in memory.
type fleet struct {
	t     *testing.T
	nodes []*node

	mu       sync.Mutex
	rollout  declarer.Rollout
	revision uint64
	// history holds the states in the order in which they were in force.
	history []string
	// isDown makes writes fail, losesAnswers makes those fail that are applied.
	isDown, losesAnswers bool
	// isBad makes the new version's answers failures.
	isBad bool
	// cut holds the pairs of daemons that cannot reach each other.
	cut map[[2]int]bool
	// isPaused makes the first daemon stand still for two seconds with each call.
	isPaused bool
}

// node is one daemon of a fleet.
type node struct {
	*site
	promoter *Promoter
	fleet    *fleet
	index    int
	stop     context.CancelFunc
	isGone   bool
	// paused is how long the daemon has stood still by its clock.
	paused time.Duration
}

// withFleet runs a test in virtual time with daemons that have traffic, and an order.
func withFleet(t *testing.T, daemons int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, rollout: order("", false), revision: 3, cut: make(map[[2]int]bool)}
		var members []follower.Item[declarer.Member]
		for i := range daemons {
			m := declarer.Member{ID: fmt.Sprint("d", i), Zone: "z", Share: float64(daemons - i), Peer: netip.MustParseAddrPort(fmt.Sprint("10.0.0.", i+1, ":80"))}
			members = append(members, follower.Item[declarer.Member]{Name: m.ID, Value: m})
		}
		for i := range daemons {
			f.start(i, members)
		}
		synctest.Wait()
		test(f)
		for _, n := range f.nodes {
			n.stop()
		}
		// The goroutines end after their sleep.
		time.Sleep(time.Second)
	})
}

func (f *fleet) start(i int, members []follower.Item[declarer.Member]) {
	ctx, stop := context.WithCancel(f.t.Context())
	s := newSite(ctx)
	n := &node{site: s, fleet: f, index: i, stop: stop}
	s.Members().Replace(members, 1)
	n.promoter = New(Default(), members[i].Value, s, s.gate, n, n, n.clock, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
	f.nodes = append(f.nodes, n)
	go func() { _ = n.promoter.Serve(ctx) }()
	go n.load(ctx)
	go n.follow(ctx)
}

func (n *node) clock() time.Duration {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return time.Since(time.Unix(0, 0)) + n.paused
}

// load sends about 20 requests a second.
func (n *node) load(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		t := n.gate.Enter("a", "r")
		sr := t.Candidates(n.View())[0][0]
		t.Chosen(&sr)
		time.Sleep(5 * time.Millisecond)
		o := Answered
		n.fleet.mu.Lock()
		if n.fleet.isBad && sr.Version == "v2" {
			o = Failed
		}
		n.fleet.mu.Unlock()
		t.End(o, 5*time.Millisecond, 5*time.Millisecond)
	}
}

// follow reads the store every half second, as a daemon does at the latest.
func (n *node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		n.fleet.mu.Lock()
		it := follower.Item[declarer.Rollout]{Name: "a", Revision: n.fleet.revision, Value: n.fleet.rollout}
		isDown := n.fleet.isDown
		n.fleet.mu.Unlock()
		if !isDown {
			n.rollouts.Apply([]follower.Change[declarer.Rollout]{{Item: it}}, it.Revision)
		}
	}
}

// Call calls another daemon.
func (n *node) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	to := n.fleet.nodes[peer.Addr().As4()[3]-1]
	n.fleet.mu.Lock()
	if n.fleet.isPaused && n.index == 0 {
		n.paused += 2 * time.Second
	}
	isGone, isCut := to.isGone, n.fleet.cut[[2]int{min(n.index, to.index), max(n.index, to.index)}]
	n.fleet.mu.Unlock()
	if isGone {
		return &linker.UnreachableError{Peer: peer, Refused: true, Err: errors.New("refused")}
	}
	if isCut {
		<-ctx.Done()
		return &linker.UnreachableError{Peer: peer, Err: ctx.Err()}
	}
	body, err := linker.Encode(in)
	if err != nil {
		return err
	}
	handle := to.promoter.Counts
	if name == CallNotice {
		handle = to.promoter.Notice
	}
	answer, err := handle(ctx, peer, body)
	if err != nil || out == nil {
		return err
	}
	if body, err = linker.Encode(answer); err != nil {
		return err
	}
	return linker.Decode(body, out)
}

// WriteRollout writes to the store.
func (n *node) WriteRollout(_ context.Context, r *declarer.Rollout, revision uint64) (uint64, error) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isDown:
		return 0, &storer.UnavailableError{Call: "write", Err: errors.New("down")}
	case revision != f.revision:
		return 0, &storer.ConflictError{Expected: revision, Current: f.revision}
	}
	f.revision++
	f.rollout = *r
	state := string(r.State)
	if r.Moving {
		state = "moving"
	}
	f.history = append(f.history, state)
	if f.losesAnswers {
		return 0, &storer.UnavailableError{Call: "write", MaybeApplied: true, Err: errors.New("lost")}
	}
	return f.revision, nil
}

// set changes the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// assertHistory checks the states after a time.
func (f *fleet) assertHistory(after time.Duration, want ...string) {
	f.t.Helper()
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff(want, f.history); diff != "" {
		f.t.Errorf("states (-want +got):\n%s", diff)
	}
}

// loseFirst kills the daemon that is ranked first.
func (f *fleet) loseFirst() {
	f.set(func() { f.nodes[0].isGone = true })
	f.nodes[0].stop()
}

// TestPromoter covers the stages of a roll-out, when the deciding daemon, a link or the store fails at each of them. A status
// was not written, written twice, or taken back.
func TestPromoter(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.assertHistory(8*time.Second, "running")
			f.assertHistory(4*time.Second, "running", "moving", "completed")
		})
	})
	t.Run("bad", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			time.Sleep(time.Second)
			f.set(func() { f.isBad = true })
			f.assertHistory(4*time.Second, "running", "rolled_back")
			f.assertHistory(10*time.Second, "running", "rolled_back")
		})
	})
	t.Run("the store's answers are lost", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.set(func() { f.losesAnswers = true })
			f.assertHistory(12*time.Second, "running", "moving", "completed")
		})
	})
	t.Run("the deciding daemon ends", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			time.Sleep(8800 * time.Millisecond)
			f.loseFirst()
			f.assertHistory(3200*time.Millisecond, "running", "moving", "completed")
		})
	})
	t.Run("the deciding daemon ends during the move", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			time.Sleep(8 * time.Second)
			for isMoving := false; !isMoving; time.Sleep(time.Millisecond) {
				f.set(func() { isMoving = f.rollout.Moving })
			}
			f.loseFirst()
			f.assertHistory(2500*time.Millisecond, "running", "moving", "completed")
		})
	})
	t.Run("the version turns bad during the move", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			// A daemon that cannot be reached makes the move last.
			f.set(func() { f.cut[[2]int{0, 2}] = true })
			for isMoving := false; !isMoving; time.Sleep(time.Millisecond) {
				f.set(func() { isMoving = f.rollout.Moving })
			}
			f.set(func() { f.isBad = true })
			// Each round waits for that daemon.
			f.assertHistory(2*time.Second, "running", "moving", "rolled_back")
		})
	})
	t.Run("the deciding daemon ends after a bad start", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.loseFirst()
			f.set(func() { f.isBad = true })
			f.assertHistory(5*time.Second, "running", "rolled_back")
		})
	})
	t.Run("two daemons decide", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.set(func() { f.cut[[2]int{0, 1}], f.cut[[2]int{0, 2}] = true, true })
			time.Sleep(5 * time.Second)
			f.set(func() { f.isBad = true })
			f.assertHistory(12*time.Second, "running", "rolled_back")
		})
	})
	t.Run("a daemon cannot be reached", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.set(func() { f.cut[[2]int{0, 2}] = true })
			// It has the time of its cached state and of a request after the move.
			f.assertHistory(5*time.Second, "running")
			f.assertHistory(7*time.Second, "running", "moving", "completed")
		})
	})
	t.Run("the store is down", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.set(func() { f.isDown, f.isBad = true, true })
			f.assertHistory(5*time.Second, "running")
			for _, n := range f.nodes {
				if !n.View().Trial("a").IsVetoed {
					t.Errorf("daemon %d has not been told that the version is bad", n.index)
				}
			}
			f.set(func() { f.isDown = false })
			f.assertHistory(2*time.Second, "running", "rolled_back")
		})
	})
	t.Run("the deciding daemon stands still after it has asked", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.set(func() { f.isPaused = true })
			time.Sleep(5 * time.Second)
			f.set(func() {
				if len(f.history) > 0 {
					t.Errorf("states %q by outdated counts, want none", f.history)
				}
				f.isPaused = false
			})
			f.assertHistory(time.Second, "running")
		})
	})
	t.Run("withdrawn", func(t *testing.T) {
		withFleet(t, 2, func(f *fleet) {
			time.Sleep(2 * time.Second)
			f.set(func() { f.rollout.Target, f.rollout.State, f.revision = "v3", "", f.revision+1 })
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			if diff := cmp.Diff([]string{"v3", "running"}, []string{f.rollout.Target, string(f.rollout.State)}); diff != "" {
				t.Errorf("order after it was replaced (-want +got):\n%s", diff)
			}
		})
	})
}

// TestLostStatus guards against a status that stays lost after the store was restored, so that a daemon that starts later goes back
// behind it, and against a write on the revision of before.
func TestLostStatus(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first daemon there %t", first), func(t *testing.T) {
			withFleet(t, 3, func(f *fleet) {
				f.set(func() { f.isBad = true })
				time.Sleep(12 * time.Second)
				if !first {
					f.loseFirst()
				}
				restored, err := declarer.Position(1, 3)
				if err != nil {
					t.Fatal(err)
				}
				f.set(func() { f.rollout, f.revision, f.history = order("", false), restored, nil })
				f.assertHistory(3*time.Second, "rolled_back")
			})
		})
	}
}

// TestPromoterRanks covers the choice of the deciding daemon: the first-ranked one, and the others in turn when it is silent.
func TestPromoterRanks(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		deciders := func() []bool {
			var out []bool
			now := time.Now()
			for _, n := range f.nodes {
				out = append(out, n.promoter.isFirst(n.View().Trials(), now))
			}
			return out
		}
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]bool{true, false, false}, deciders()); diff != "" {
			t.Errorf("deciding daemons (-want +got):\n%s", diff)
		}
		f.loseFirst()
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]bool{true, true, false}, deciders()); diff != "" {
			t.Errorf("deciding daemons after the first was lost (-want +got):\n%s", diff)
		}
		if first := relayer.Ranked(f.nodes[1].View().Members())[0].ID; first != "d0" {
			t.Errorf("%s is ranked first, want d0", first)
		}
		// A daemon that has not read the list of daemons would decide by its own counts.
		last := f.nodes[2]
		for _, m := range last.View().Members() {
			last.Members().Apply([]follower.Change[declarer.Member]{{Item: follower.Item[declarer.Member]{Name: m.ID}, Removed: true}}, 2)
		}
		synctest.Wait()
		if deciders()[2] {
			t.Error("a daemon without a list of daemons decides")
		}
	})
}
