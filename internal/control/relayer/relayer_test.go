package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/control/follower"
	"cornelwood.example/internal/peer/linker"
)

// TestDefault keeps every pace above 0: without Consult, first daemons asked each
// other 1,200 times a second.
func TestDefault(t *testing.T) {
	v := reflect.ValueOf(Default())
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("%s is 0", v.Type().Field(i).Name)
		}
	}
}

// watcher is an Observer that keeps what it is told.
type watcher struct {
	mu        sync.Mutex
	own, told []exchanger.Observation
}

func (w *watcher) Drain() []exchanger.Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.own
	w.own = nil
	return out
}

func (w *watcher) Merge(seen []exchanger.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, seen...)
}

func (w *watcher) see(seen ...exchanger.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own = append(w.own, seen...)
}

// fleet is daemons that call each other without a network.
type fleet struct {
	t       *testing.T
	daemons map[netip.AddrPort]*Relayer
	members []declarer.Member
	caches  []*Cache[string]
	seen    []*watcher
	// store is the store's revision.
	store atomic.Uint64
	calls atomic.Int64

	mu     sync.Mutex
	silent map[netip.AddrPort]bool
	// cut holds the daemons that cannot reach the store.
	cut map[int]bool
}

func (f *fleet) setSilent(i int, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[f.members[i].Peer] = silent
}

func (f *fleet) isSilent(peer netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[peer]
}

func (f *fleet) cutOff(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[i] = true
}

func (f *fleet) isCutOff(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[i]
}

func newFleet(t *testing.T, zones ...string) *fleet {
	f := &fleet{t: t, daemons: make(map[netip.AddrPort]*Relayer), silent: make(map[netip.AddrPort]bool), cut: make(map[int]bool)}
	for i, zone := range zones {
		m := declarer.Member{ID: fmt.Sprintf("d%d", i), Zone: zone, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		w := &watcher{}
		r := New(Default(), m, func() []declarer.Member { return f.members }, f, w, hclog.NewNullLogger())
		f.daemons[m.Peer] = r
		f.members = append(f.members, m)
		f.caches = append(f.caches, NewCache[string]("test", &memory{}, r))
		f.seen = append(f.seen, w)
	}
	return f
}

func (f *fleet) Call(ctx context.Context, peer netip.AddrPort, _ string, in, out any) error {
	f.calls.Add(1)
	if f.isSilent(peer) {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := linker.Encode(in)
	if err != nil {
		return err
	}
	answer, err := f.daemons[peer].Handle(ctx, netip.AddrPort{}, body)
	if err != nil {
		return err
	}
	if body, err = linker.Encode(answer); err != nil {
		return err
	}
	return linker.Decode(body, out)
}

// first returns the index of the first ranked daemon, and of another one.
func (f *fleet) first() (first, other int) {
	for i := range f.members {
		if len(ranked(f.members[i], f.members)) == 0 {
			first = i
		} else {
			other = i
		}
	}
	return first, other
}

// run serves every daemon while during runs; a daemon that reads the store finds
// the revision there.
func (f *fleet) run(during func()) {
	f.store.Store(5)
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{}, len(f.members))
	for i, m := range f.members {
		r, c := f.daemons[m.Peer], f.caches[i]
		go func() {
			_ = r.Serve(ctx)
			done <- struct{}{}
		}()
		go func() {
			for ctx.Err() == nil {
				open, _ := r.Open()
				switch {
				case open && f.isCutOff(i):
					c.Lost(errors.New("cut off"))
				case open:
					revision := f.store.Load()
					c.Replace([]follower.Item[string]{item("a", revision, fmt.Sprint(revision))}, revision)
				}
				time.Sleep(100 * time.Millisecond)
			}
			done <- struct{}{}
		}()
	}
	during()
	cancel()
	for range 2 * len(f.members) {
		<-done
	}
}

func (f *fleet) assertRevision(i int, want uint64) {
	f.t.Helper()
	if got, _ := f.caches[i].Revision(); got != want {
		f.t.Errorf("daemon %d knows revision %d, want %d", i, got, want)
	}
}

func (f *fleet) assertDirect(want int) {
	f.t.Helper()
	got := 0
	for _, r := range f.daemons {
		if open, _ := r.Open(); open {
			got++
		}
	}
	if got != want {
		f.t.Errorf("%d daemons read the store, want %d", got, want)
	}
}

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "a")
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.assertDirect(1)
			f.store.Store(6)
			time.Sleep(500 * time.Millisecond)
			for i := range f.members {
				f.assertRevision(i, 6)
			}
		})
	})
}

func TestFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "a")
		first, other := f.first()
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.setSilent(first, true)
			f.store.Store(6)
			// The bound on knowledge is 3 s.
			time.Sleep(2500 * time.Millisecond)
			f.assertRevision(other, 6)
			f.setSilent(first, false)
			time.Sleep(8 * time.Second)
			f.assertDirect(1)
		})
	})
}

// maxLag is how many changes, one each 250 ms, a daemon may be behind: 1 s, a third
// of the bound on knowledge.
const maxLag = 4

// TestSourceCutOff covers a reader that the store does not answer: the others read
// the store themselves all the while, also while their own copies are fresh.
func TestSourceCutOff(t *testing.T) {
	for name, zones := range map[string][]string{"one zone": {"a", "a", "a"}, "three zones": {"a", "b", "c"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, zones...)
				f.run(func() {
					time.Sleep(2 * time.Second)
					for i := range f.members {
						open, _ := f.daemons[f.members[i].Peer].Open()
						if open {
							f.cutOff(i)
						}
					}
					time.Sleep(2 * time.Second)
					for range 40 {
						f.store.Add(1)
						time.Sleep(250 * time.Millisecond)
						for i := range f.members {
							if got, _ := f.caches[i].Revision(); !f.isCutOff(i) && got+maxLag < f.store.Load() {
								t.Errorf("daemon %d knows revision %d of %d", i, got, f.store.Load())
							}
						}
					}
				})
			})
		})
	}
}

func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "b")
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.seen[0].see(exchanger.Observation{Searcher: "s", Answers: 2, Slowness: 1}, exchanger.Observation{Searcher: "bad", Failures: 1})
			time.Sleep(2 * time.Second)
		})
		whole := []exchanger.Observation{{Searcher: "s", Answers: 2, Slowness: 1}, {Searcher: "bad", Failures: 1}}
		if diff := cmp.Diff(whole, f.seen[1].told); diff != "" {
			t.Errorf("the own zone learns everything once (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(whole[1:], f.seen[2].told); diff != "" {
			t.Errorf("another zone learns the unusual once (-want +got):\n%s", diff)
		}
		if len(f.seen[0].told) != 0 {
			t.Errorf("a daemon hears what it told: %v", f.seen[0].told)
		}
	})
}

// TestPace bounds the calls between peers: 4 a second for each daemon.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "b")
		f.run(func() { time.Sleep(10 * time.Second) })
		if n := f.calls.Load(); n > 4*4*10 {
			t.Errorf("%d calls in 10 s", n)
		}
	})
}
