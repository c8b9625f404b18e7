package locator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/follower"
)

// withLocator runs a test in virtual time with a Locator that has received version 3 of the desired state and two
// searchers, "s1" in zone "a" and "s2" in zone "b".
func withLocator(t *testing.T, test func(l *Locator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(declarer.Member{ID: "a", Zone: "z"}, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Serve(ctx)
		}()
		l.Routings().Replace([]follower.Item[*declarer.Routing]{routing(3)}, 1)
		l.Searchers().Replace([]follower.Item[declarer.Searcher]{searcher("s1", "a"), searcher("s2", "b")}, 2)
		l.Closures().Replace(nil, 2)
		synctest.Wait()
		test(l)
		cancel()
		<-done
	})
}

func routing(version uint64) follower.Item[*declarer.Routing] {
	return follower.Item[*declarer.Routing]{Name: "main", Value: &declarer.Routing{Version: version}}
}

func searcher(id, zone string) follower.Item[declarer.Searcher] {
	return follower.Item[declarer.Searcher]{Name: id, Value: declarer.Searcher{
		ID: id, Service: "svc", Zone: zone, Addr: netip.MustParseAddrPort("10.0.0.1:80"),
	}}
}

func member(id, zone string) follower.Item[declarer.Member] {
	return follower.Item[declarer.Member]{Name: id, Value: declarer.Member{ID: id, Zone: zone}}
}

func change[T any](it follower.Item[T], removed bool) []follower.Change[T] {
	return []follower.Change[T]{{Item: it, Removed: removed}}
}

// assertSearchers checks the IDs of the searchers that may get new requests, sorted and separated by spaces.
func assertSearchers(t *testing.T, l *Locator, want string) {
	t.Helper()
	synctest.Wait()
	var ids []string
	for _, s := range l.View().Searchers("svc") {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	if diff := cmp.Diff(want, strings.Join(ids, " ")); diff != "" {
		t.Errorf("searchers for new requests (-want +got):\n%s", diff)
	}
}

// TestZoneReturnsCold covers a zone that is brought back after its searchers have turned cold, which their entries said before. The
// return may become known first, since each kind of objects is followed by itself: a searcher then got full load (review/5). Until
// the searchers are known as of the return, they count as cold.
func TestZoneReturnsCold(t *testing.T) {
	const rate = 8
	withLocator(t, func(l *Locator) {
		bounded := routing(4)
		bounded.Value.Services = []declarer.ServiceLimits{{Name: "svc", ColdRate: rate}}
		l.Routings().Replace([]follower.Item[*declarer.Routing]{bounded}, 3)
		l.Members().Replace([]follower.Item[declarer.Member]{member("a", "z")}, 3)
		l.Closures().Apply(change(follower.Item[string]{Name: "a", Revision: 10}, false), 10)
		assertSearchers(t, l, "s2")
		cold := func() string {
			synctest.Wait()
			var ids []string
			for _, s := range l.View().Searchers("svc") {
				if s.ColdLimited && s.ColdRate > 0 && time.Now().Before(s.WarmAt) {
					ids = append(ids, s.ID)
				}
			}
			slices.Sort(ids)
			return strings.Join(ids, " ")
		}
		l.Closures().Apply(change(follower.Item[string]{Name: "a", Revision: 20}, true), 20)
		assertSearchers(t, l, "s1 s2")
		got := []string{cold()}
		// The state of the searchers is known as of before the return.
		l.Searchers().Confirm(19)
		got = append(got, cold())
		turned := searcher("s1", "a")
		turned.Value.ColdFor = 3 * time.Second
		l.Searchers().Apply(change(turned, false), 20)
		l.Searchers().Confirm(20)
		got = append(got, cold())
		time.Sleep(3 * time.Second)
		got = append(got, cold())
		// A zone that is taken out again before it was confirmed.
		l.Closures().Apply(change(follower.Item[string]{Name: "b", Revision: 30}, false), 30)
		l.Closures().Apply(change(follower.Item[string]{Name: "b", Revision: 31}, true), 31)
		got = append(got, cold())
		l.Closures().Apply(change(follower.Item[string]{Name: "b", Revision: 32}, false), 32)
		l.Closures().Apply(change(follower.Item[string]{Name: "b", Revision: 40}, true), 40)
		l.Searchers().Confirm(35)
		got = append(got, cold())
		l.Searchers().Confirm(41)
		got = append(got, cold())
		if diff := cmp.Diff([]string{"s1", "s1", "s1", "", "s2", "s2", ""}, got); diff != "" {
			t.Errorf("cold searchers (-want +got):\n%s", diff)
		}
	})
}

func TestReady(t *testing.T) {
	l := New(declarer.Member{ID: "a", Zone: "z"}, hclog.NewNullLogger())
	if ok, reason := l.View().Ready(); ok || reason == "" {
		t.Errorf("ready %v with reason %q before any update, want not ready with a reason", ok, reason)
	}
	withLocator(t, func(l *Locator) {
		// A daemon that has the searchers, but not the zones that are out of service, would send requests to these.
		unlisted := *l.View()
		unlisted.closuresListed = false
		if ok, _ := unlisted.Ready(); ok {
			t.Error("ready before the list of closed zones")
		}
	})
	withLocator(t, func(l *Locator) {
		if ok, reason := l.View().Ready(); !ok {
			t.Errorf("not ready: %s", reason)
		}
	})
}

func TestVersions(t *testing.T) {
	withLocator(t, func(l *Locator) {
		for _, tt := range []struct{ version, want uint64 }{{2, 3}, {3, 3}, {9, 9}, {4, 9}} {
			l.Routings().Apply(change(routing(tt.version), false), 5)
			synctest.Wait()
			if got := l.View().Version(); got != tt.want {
				t.Errorf("after version %d: want version %d, got %d", tt.version, tt.want, got)
			}
		}
		l.Routings().Apply(change(routing(9), true), 6)
		invalid := routing(12)
		invalid.Err = errors.New("no json")
		l.Routings().Apply(change(invalid, false), 7)
		synctest.Wait()
		if got := l.View().Version(); got != 9 {
			t.Errorf("after a removal and an invalid version: want 9, got %d", got)
		}
	})
}

func TestSearchers(t *testing.T) {
	t.Run("added, draining, registered again", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			l.Searchers().Apply(change(searcher("s3", "a"), false), 3)
			assertSearchers(t, l, "s1 s2 s3")
			draining := searcher("s1", "a")
			draining.Value.Draining = true
			l.Searchers().Apply(change(draining, false), 4)
			assertSearchers(t, l, "s2 s3")
			l.Searchers().Apply(change(searcher("s1", "a"), false), 5)
			assertSearchers(t, l, "s1 s2 s3")
		})
	})
	t.Run("entry that cannot be read", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			invalid := searcher("s1", "a")
			invalid.Err = errors.New("no address")
			l.Searchers().Apply(change(invalid, false), 3)
			assertSearchers(t, l, "s2")
		})
	})
	t.Run("removal without an outage takes effect at once", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			l.Searchers().Apply(change(searcher("s1", "a"), true), 3)
			assertSearchers(t, l, "s2")
		})
	})
}

func TestOutage(t *testing.T) {
	outage := errors.New("down")
	t.Run("a searcher whose entry expired can register again", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			l.Searchers().Lost(outage)
			l.Searchers().Regained(time.Second)
			l.Searchers().Apply(change(searcher("s1", "a"), true), 3)
			assertSearchers(t, l, "s1 s2")
			l.Searchers().Apply(change(searcher("s1", "a"), false), 4)
			time.Sleep(time.Minute)
			assertSearchers(t, l, "s1 s2")
		})
	})
	t.Run("a searcher that does not register again is removed", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			l.Searchers().Lost(outage)
			l.Searchers().Regained(time.Second)
			l.Searchers().Apply(change(searcher("s1", "a"), true), 3)
			time.Sleep(reregisterTime + time.Millisecond)
			assertSearchers(t, l, "s2")
		})
	})
	t.Run("a draining searcher is removed at once", func(t *testing.T) {
		withLocator(t, func(l *Locator) {
			draining := searcher("s1", "a")
			draining.Value.Draining = true
			l.Searchers().Apply(change(draining, false), 3)
			l.Searchers().Lost(outage)
			l.Searchers().Regained(time.Second)
			l.Searchers().Apply(change(draining, true), 4)
			assertSearchers(t, l, "s2")
		})
	})
}

func TestClosures(t *testing.T) {
	withLocator(t, func(l *Locator) {
		zone := follower.Item[string]{Name: "a", Value: "a"}
		l.Closures().Apply(change(zone, false), 3)
		assertSearchers(t, l, "s2")
		l.Closures().Apply(change(zone, true), 4)
		assertSearchers(t, l, "s1 s2")
		l.Closures().Replace([]follower.Item[string]{{Name: "b", Value: "b"}}, 5)
		assertSearchers(t, l, "s1")
	})
}

// TestMaxIdleConns checks the bounds of the daemons in a searcher's zone and of those in other zones. Unless
// minIdleConns raises them, the idle connections of all daemons leave more than a third of the searcher's connections
// to daemons that restart after a loss of power.
func TestMaxIdleConns(t *testing.T) {
	tests := []struct{ conns, own, other, wantOwn, wantOther int }{
		{31, 3, 5, 3, 2},
		{110, 3, 5, 11, 7},
		{35, 2, 5, 5, 2},
		{64, 22, 43, 1, 1},
		{0, 3, 5, 0, 0},
	}
	for _, tt := range tests {
		own, other := maxIdleConns(tt.conns, true, tt.own), maxIdleConns(tt.conns, false, tt.other)
		if own != tt.wantOwn || other != tt.wantOther {
			t.Errorf("%d connections: at most %d and %d idle, want %d and %d", tt.conns, own, other, tt.wantOwn, tt.wantOther)
		}
	}
}

// TestMaxIdleConnsOfView checks that the bounds in the view follow the number of daemons in each zone: s2 of zone b gets
// connections from the three daemons of zone z.
func TestMaxIdleConnsOfView(t *testing.T) {
	withLocator(t, func(l *Locator) {
		r := routing(4)
		r.Value.Services = []declarer.ServiceLimits{{Name: "svc", Connections: 30}}
		l.Routings().Replace([]follower.Item[*declarer.Routing]{r}, 3)
		l.Searchers().Replace([]follower.Item[declarer.Searcher]{searcher("s1", "z"), searcher("s2", "b")}, 3)
		var members []follower.Item[declarer.Member]
		for i, zone := range []string{"z", "z", "z", "b", "b"} {
			members = append(members, member(string(rune('a'+i)), zone))
		}
		l.Members().Replace(members, 4)
		synctest.Wait()
		got := make(map[string]int)
		for _, s := range l.View().Searchers("svc") {
			got[s.ID] = s.MaxIdleConns
		}
		if diff := cmp.Diff(map[string]int{"s1": 3, "s2": 3}, got); diff != "" {
			t.Errorf("MaxIdleConns by searcher (-want +got):\n%s", diff)
		}
	})
}

// TestColdShare checks that the requests that all daemons may send to a cold searcher in one second, including those
// that they may send at once, stay within 1.5 times its rate and 5 more.
func TestColdShare(t *testing.T) {
	for _, daemons := range []int{1, 8, 65} {
		for _, rate := range []float64{1, 6, 40} {
			members := make(map[string]declarer.Member)
			for i := range daemons {
				id := fmt.Sprint(i)
				members[id] = declarer.Member{ID: id}
			}
			sum, senders := 0.0, 0
			for id := range members {
				if share := coldShare(rate, "s", id, members); share > 0 {
					sum += share
					senders++
				}
			}
			if most := sum + float64(senders); sum < rate*0.99 || most > 1.5*rate+5.01 && daemons > 1 {
				t.Errorf("%d daemons, rate %.0f per second: %d senders with %.1f per second in all", daemons, rate, senders, sum)
			}
		}
	}
}

// TestUnknownMembers guards against a daemon that counts as the only one of its fleet while it has not read the list of daemons, or is
// not in it: each of seven daemons that had restarted during an outage of the store sent the whole rate to cold searchers, and kept all
// of their idle connections.
func TestUnknownMembers(t *testing.T) {
	withLocator(t, func(l *Locator) {
		bounded := routing(4)
		bounded.Value.Services = []declarer.ServiceLimits{{Name: "svc", ColdRate: 8, Connections: 30}}
		l.Routings().Replace([]follower.Item[*declarer.Routing]{bounded}, 3)
		limits := func() (coldRate float64, idle int) {
			synctest.Wait()
			s := l.View().Searchers("svc")[0]
			return s.ColdRate, s.MaxIdleConns
		}
		fleet := []follower.Item[declarer.Member]{member("b", "z"), member("c", "z"), member("d", "z")}
		var rates []float64
		for _, list := range []func(){
			func() {},
			func() { l.Members().Replace(nil, 3) },
			func() { l.Members().Replace(fleet, 4) },
			func() { l.Members().Apply(change(member("a", "z"), false), 5) },
			func() { l.Members().Apply(change(member("a", "z"), true), 6) },
		} {
			list()
			rate, idle := limits()
			if len(rates) == 0 && idle != minIdleConns {
				t.Errorf("%d idle connections before the list of daemons, want %d", idle, minIdleConns)
			}
			rates = append(rates, rate)
		}
		if diff := cmp.Diff([]float64{0, 0, 0, 2, 0}, rates); diff != "" {
			t.Errorf("rate before the list, with none, without this daemon, with it, after it has left (-want +got):\n%s", diff)
		}
	})
}

// TestConfirmRouting checks that no view is dated to a time at which the store had a newer desired state than the view's: a withdrawn
// key would be used past its bound.
func TestConfirmRouting(t *testing.T) {
	withLocator(t, func(l *Locator) {
		const versions = 200
		var readers sync.WaitGroup
		readers.Go(func() {
			for l.View().Version() < versions {
				v := l.View()
				// Version n is confirmed at n seconds.
				if age, known := v.RoutingAge(0); known && uint64(-age/time.Second) > v.Version() {
					t.Errorf("a view with version %d is dated to %s", v.Version(), -age)
					return
				}
				runtime.Gosched()
			}
		})
		for n := uint64(4); n <= versions; n++ {
			l.Routings().Apply([]follower.Change[*declarer.Routing]{{Item: routing(n)}}, n)
			l.ConfirmRouting(time.Duration(n) * time.Second)
		}
		readers.Wait()
		synctest.Wait()
		if age, known := l.View().RoutingAge(versions * time.Second); !known || age != 0 {
			t.Errorf("age %s, known %t, want the last confirmation", age, known)
		}
	})
}
