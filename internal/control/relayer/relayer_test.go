package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
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

// TestDefaultHasNoZero checks that every setting is above 0: with a LeaderPause of 0, the
// zone leaders polled each other 1,200 times a second.
func TestDefaultHasNoZero(t *testing.T) {
	v := reflect.ValueOf(Default())
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("%s is 0", v.Type().Field(i).Name)
		}
	}
}

// fakeObserver is an Observer that records the observations that it merges.
type fakeObserver struct {
	mu              sync.Mutex
	pending, merged []exchanger.Observation
}

func (o *fakeObserver) Drain() []exchanger.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.pending
	o.pending = nil
	return out
}

func (o *fakeObserver) Merge(observations []exchanger.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.merged = append(o.merged, observations...)
}

func (o *fakeObserver) observe(observations ...exchanger.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(o.pending, observations...)
}

// fleet is a set of daemons that call each other without a network.
type fleet struct {
	t             *testing.T
	daemons       map[netip.AddrPort]*Relayer
	members       []declarer.Member
	caches        []*Cache[string]
	observers     []*fakeObserver
	storeRevision atomic.Uint64
	calls         atomic.Int64

	mu sync.Mutex
	// silent holds the daemons that do not answer their peers.
	silent map[netip.AddrPort]bool
	// storeDown holds the indexes of the daemons that the store does not answer.
	storeDown map[int]bool
	// cutZone is the zone whose daemons and those of the other zones do not reach each other.
	cutZone string
}

func (f *fleet) setZoneCut(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZone = zone
}

// isCut reports whether a daemon and the one at an address are on different sides of the cut.
func (f *fleet) isCut(from string, peer netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := ""
	for _, m := range f.members {
		if m.Peer == peer {
			to = m.Zone
		}
	}
	return f.cutZone != "" && (from == f.cutZone) != (to == f.cutZone)
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

func (f *fleet) setStoreDown(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown[i] = down
}

func (f *fleet) isStoreDown(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown[i]
}

func newFleet(t *testing.T, zones ...string) *fleet {
	f := &fleet{t: t, daemons: make(map[netip.AddrPort]*Relayer), silent: make(map[netip.AddrPort]bool), storeDown: make(map[int]bool)}
	for i, zone := range zones {
		m := declarer.Member{ID: fmt.Sprintf("d%d", i), Zone: zone, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		obs := &fakeObserver{}
		r := New(Default(), m, func() []declarer.Member { return f.members }, f, func(context.Context) bool { return !f.isStoreDown(i) }, obs, hclog.NewNullLogger())
		f.daemons[m.Peer] = r
		f.members = append(f.members, m)
		f.caches = append(f.caches, NewCache[string]("test", &memorySink{}, r))
		f.observers = append(f.observers, obs)
	}
	return f
}

func (f *fleet) Call(ctx context.Context, peer netip.AddrPort, _ string, in, out any) error {
	f.calls.Add(1)
	if poll, ok := in.(*pollRequest); f.isSilent(peer) || ok && f.isCut(poll.Zone, peer) {
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

// leader returns the index of the first ranked daemon, and of another one. All daemons
// must be in one zone.
func (f *fleet) leader() (leader, other int) {
	for i := range f.members {
		if len(rankedBefore(f.members[i], f.members)) == 0 {
			leader = i
		} else {
			other = i
		}
	}
	return leader, other
}

// run serves every daemon while test runs. A daemon that reads the store finds one object
// at storeRevision.
func (f *fleet) run(test func()) {
	f.storeRevision.Store(5)
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
				case open && f.isStoreDown(i):
					c.Lost(errors.New("cut off"))
				case open:
					revision := f.storeRevision.Load()
					c.Replace([]follower.Item[string]{item("a", revision, fmt.Sprint(revision))}, revision)
				}
				time.Sleep(100 * time.Millisecond)
			}
			done <- struct{}{}
		}()
	}
	test()
	cancel()
	for range 2 * len(f.members) {
		<-done
	}
}

func (f *fleet) assertRevision(i int, want uint64) {
	f.t.Helper()
	if got, _ := f.caches[i].Revision(); got != want {
		f.t.Errorf("daemon %d has revision %d, want %d", i, got, want)
	}
}

// readers returns the number of daemons that read the store.
func (f *fleet) readers() int {
	n := 0
	for _, r := range f.daemons {
		if open, _ := r.Open(); open {
			n++
		}
	}
	return n
}

func (f *fleet) assertReaders(want int) {
	f.t.Helper()
	if got := f.readers(); got != want {
		f.t.Errorf("%d daemons read the store, want %d", got, want)
	}
}

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "a")
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.assertReaders(1)
			f.storeRevision.Store(6)
			time.Sleep(500 * time.Millisecond)
			for i := range f.members {
				f.assertRevision(i, 6)
			}
		})
	})
}

// TestFallback checks that the members read the store while their zone's leader is
// silent, and that only one daemon reads it after the leader is back.
func TestFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "a")
		leader, other := f.leader()
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.setSilent(leader, true)
			f.storeRevision.Store(6)
			// Cached state may be 3 s old.
			time.Sleep(2500 * time.Millisecond)
			f.assertRevision(other, 6)
			f.setSilent(leader, false)
			time.Sleep(8 * time.Second)
			f.assertReaders(1)
		})
	})
}

// maxLag is how many changes, one every 250 ms, a daemon may be behind: 1 s, a third of
// the age that cached state may have.
const maxLag = 4

// TestStoreDownAtReader checks that, while the store does not answer the daemon that
// reads it, the others read the store themselves, even while their caches are fresh.
func TestStoreDownAtReader(t *testing.T) {
	for name, zones := range map[string][]string{"one zone": {"a", "a", "a"}, "three zones": {"a", "b", "c"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, zones...)
				f.run(func() {
					time.Sleep(2 * time.Second)
					for i := range f.members {
						open, _ := f.daemons[f.members[i].Peer].Open()
						if open {
							f.setStoreDown(i, true)
						}
					}
					time.Sleep(2 * time.Second)
					for range 40 {
						f.storeRevision.Add(1)
						time.Sleep(250 * time.Millisecond)
						for i := range f.members {
							if got, _ := f.caches[i].Revision(); !f.isStoreDown(i) && got+maxLag < f.storeRevision.Load() {
								t.Errorf("daemon %d has revision %d, the store has %d", i, got, f.storeRevision.Load())
							}
						}
					}
				})
			})
		})
	}
}

func TestObservationsAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "b")
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.observers[0].observe(exchanger.Observation{Searcher: "s", Answers: 2, Slowness: 1}, exchanger.Observation{Searcher: "bad", Failures: 1}, exchanger.Observation{Searcher: "full", Busy: time.Second})
			time.Sleep(2 * time.Second)
		})
		all := []exchanger.Observation{{Searcher: "s", Answers: 2, Slowness: 1}, {Searcher: "bad", Failures: 1}, {Searcher: "full", Busy: time.Second}}
		if diff := cmp.Diff(all, f.observers[1].merged); diff != "" {
			t.Errorf("observations relayed within the zone (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(all[1:], f.observers[2].merged); diff != "" {
			t.Errorf("observations relayed to another zone (-want +got):\n%s", diff)
		}
		if len(f.observers[0].merged) != 0 {
			t.Errorf("a daemon got its own observations back: %v", f.observers[0].merged)
		}
	})
}

// TestCallRate checks that the daemons make on average at most 4 calls a second each to
// their peers.
func TestCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "a", "a", "b")
		f.run(func() { time.Sleep(10 * time.Second) })
		if n := f.calls.Load(); n > 4*4*10 {
			t.Errorf("%d calls in 10 s, want at most 160", n)
		}
	})
}

// TestReadersInOutage checks how many of 40 daemons call the store while it does not answer anyone, and that all of them
// have its state soon after it answers again.
func TestReadersInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, append(slices.Repeat([]string{"a"}, 20), slices.Repeat([]string{"b"}, 20)...)...)
		f.run(func() {
			time.Sleep(2 * time.Second)
			for i := range f.members {
				f.setStoreDown(i, true)
			}
			time.Sleep(2500 * time.Millisecond)
			if n := f.readers(); n > 18 {
				t.Errorf("%d daemons call the store in its outage, want 18 at most: 9 a zone after 2.5 s", n)
			}
			for i := range f.members {
				f.setStoreDown(i, false)
			}
			f.storeRevision.Store(9)
			time.Sleep(time.Second)
			for i := range f.members {
				f.assertRevision(i, 9)
			}
		})
	})
}

// TestStoreRefusesReaders checks that the store's state reaches all daemons of a zone when the store turns away the first
// of them, as many as usually read it.
func TestStoreRefusesReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, slices.Repeat([]string{"a"}, 20)...)
		f.run(func() {
			time.Sleep(2 * time.Second)
			for i, m := range f.members {
				if len(rankedBefore(m, f.members)) < Default().MaxReaders {
					f.setStoreDown(i, true)
				}
			}
			f.storeRevision.Store(9)
			time.Sleep(Default().ReadersInterval + 3*time.Second)
			for i := range f.members {
				f.assertRevision(i, 9)
			}
		})
	})
}

// TestLeaderReadsAtOnce checks that the leader of a zone has the store's state soon after the start of the fleet although
// the leaders of the other zones do not answer.
func TestLeaderReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		for i := 1; i < len(f.members); i++ {
			f.setSilent(i, true)
		}
		f.run(func() {
			time.Sleep(250 * time.Millisecond)
			f.assertRevision(0, 5)
		})
	})
}

// TestCutOff checks that all daemons of a zone that is cut off from the others and from the store know it after some
// seconds, that those of the other zones do not count as cut off, and that it ends soon after the cut.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		zones := slices.Concat(slices.Repeat([]string{"a"}, 4), slices.Repeat([]string{"b"}, 4), slices.Repeat([]string{"c"}, 4))
		f := newFleet(t, zones...)
		cutOff := func() string {
			text := ""
			for i, m := range f.members {
				if f.daemons[m.Peer].IsCutOff() {
					text += zones[i]
				}
			}
			return text
		}
		f.run(func() {
			time.Sleep(2 * time.Second)
			f.setZoneCut("a")
			for i, zone := range zones {
				f.setStoreDown(i, zone == "a")
			}
			// The load balancer needs two more seconds, and cuts take 5 s and more.
			time.Sleep(1500 * time.Millisecond)
			got := []string{cutOff()}
			f.setZoneCut("")
			for i := range zones {
				f.setStoreDown(i, false)
			}
			time.Sleep(2 * time.Second)
			got = append(got, cutOff())
			for i := range zones {
				f.setStoreDown(i, true)
			}
			time.Sleep(4 * time.Second)
			got = append(got, cutOff())
			if diff := cmp.Diff([]string{"aaaa", "", ""}, got); diff != "" {
				t.Errorf("zones of the daemons that are cut off during the cut, after it, and in an outage of the store (-want +got):\n%s", diff)
			}
		})
	})
}

// TestObservationsReachAll checks that in a zone with several relays every daemon gets what another one observed, once.
func TestObservationsReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, slices.Repeat([]string{"a"}, 12)...)
		f.run(func() {
			time.Sleep(2 * time.Second)
			for i := range f.observers {
				f.observers[i].observe(exchanger.Observation{Searcher: fmt.Sprint(i), Answers: 1, Slowness: 1})
			}
			time.Sleep(3 * time.Second)
		})
		for i, o := range f.observers {
			got := make(map[string]int)
			for _, ob := range o.merged {
				got[ob.Searcher] += ob.Answers
			}
			want := make(map[string]int)
			for k := range f.observers {
				if k != i {
					want[fmt.Sprint(k)] = 1
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answers observed by others that daemon %d has (-want +got):\n%s", i, diff)
			}
		}
	})
}

// TestSpreadSources checks that the daemons of a zone poll different ones of those ranked first, and that the rest follow
// in order.
func TestSpreadSources(t *testing.T) {
	var members []declarer.Member
	for i := range 60 {
		m := declarer.Member{ID: fmt.Sprint(i), Zone: "a", Share: 0.2}
		if i < 3 {
			m.Share = 0.8
		}
		members = append(members, m)
	}
	polled := make(map[string]int)
	for _, m := range members {
		if before := spreadSources(&m, rankedBefore(m, members)); len(before) > 0 {
			polled[before[0].ID]++
		}
	}
	for _, id := range []string{"0", "1", "2"} {
		if n := polled[id]; n < 10 {
			t.Errorf("%d daemons poll daemon %s first, want about 20 each at the three large ones: %v", n, id, polled)
		}
	}
}

// TestStartBesideStalePeer checks that a daemon which starts takes no list from a peer that the store does not answer while
// the store may answer itself: the list may hold what has been removed since. It takes it when nobody has a newer one.
func TestStartBesideStalePeer(t *testing.T) {
	for _, tt := range []struct {
		name      string
		storeDown bool
		want      string
	}{
		{"store answers", false, "a=5"},
		{"store is down", true, "gone=old"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "a")
				leader, other := f.leader()
				f.caches[leader].Replace([]follower.Item[string]{item("gone", 3, "old")}, 4)
				f.caches[leader].Lost(errors.New("cut off"))
				f.setStoreDown(leader, true)
				f.setStoreDown(other, tt.storeDown)
				held := func() string {
					c := f.caches[other]
					c.mu.Lock()
					defer c.mu.Unlock()
					text := ""
					for name, it := range c.items {
						text += name + "=" + it.Value
					}
					return text
				}
				f.run(func() {
					heldGone := false
					for range 40 {
						time.Sleep(100 * time.Millisecond)
						heldGone = heldGone || strings.Contains(held(), "gone")
					}
					if heldGone != tt.storeDown {
						t.Errorf("the daemon that has started has held the removed object: %t, want %t", heldGone, tt.storeDown)
					}
					if diff := cmp.Diff(tt.want, held()); diff != "" {
						t.Errorf("state of the daemon that has started (-want +got):\n%s", diff)
					}
				})
			})
		})
	}
}

// TestCallsOfStart checks how many of 40 daemons read the store in the first seconds after all have started.
func TestCallsOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, append(slices.Repeat([]string{"a"}, 20), slices.Repeat([]string{"b"}, 20)...)...)
		f.run(func() {
			most := 0
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				most = max(most, f.readers())
			}
			if most > 4 {
				t.Errorf("up to %d daemons read the store, want 4 at most: the leaders, and a few beside", most)
			}
			for i := range f.members {
				f.assertRevision(i, 5)
			}
		})
	})
}
