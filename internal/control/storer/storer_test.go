package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/standin/dialer"
	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/platform"
)

var platformAddr = netip.MustParseAddrPort("10.0.0.1:80")

// bench is a storer before the platform's client and stand-in, on a network in
// memory.
type bench struct {
	t      *testing.T
	keeper *keeper.Keeper
	storer *storer.Storer
	end    func()
}

// run runs test in a synctest bubble. Every pause has the length of its window.
func run(t *testing.T, test func(*bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k, cleanup := keeper.New(keeper.Config{}, hclog.NewNullLogger())
		defer cleanup()
		s, end, stop := serve(t, k)
		defer stop()
		test(&bench{t: t, keeper: k, storer: s, end: end})
	})
}

// serve returns a storer that calls h, its clean-up function, and a function
// that ends both.
func serve(t *testing.T, h http.Handler) (s *storer.Storer, end, stop func()) {
	return serveAt(t, h, platformAddr, rate.NewLimiter(rate.Inf, 0))
}

func serveAt(t *testing.T, h http.Handler, at netip.AddrPort, limit *rate.Limiter) (s *storer.Storer, end, stop func()) {
	network := dialer.New()
	ln, err := network.Listen(platformAddr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	transport := &http.Transport{DialContext: network.DialContext}
	s, end = storer.New(config(limit), platform.NewClientWithTransport(transport, url.URL{Scheme: "http", Host: at.String()}).Declarations())
	return s, end, func() {
		end()
		transport.CloseIdleConnections()
		srv.Close()
	}
}

func config(limit *rate.Limiter) storer.Config {
	return storer.Config{
		Timeout:  time.Second,
		Limiter:  limit,
		MinPause: time.Second,
		MaxPause: 4 * time.Second,
		Rand:     func() float64 { return 1 },
	}
}

func zone(name string, groups int) declarer.Object {
	return declarer.Object{
		Key:  declarer.Key{Kind: declarer.KindZone, Name: name},
		Zone: &declarer.Zone{Name: name, Region: "et-central", Groups: groups},
	}
}

func (b *bench) put(obj declarer.Object, expect, want uint64) {
	b.t.Helper()
	version, err := b.storer.Put(b.t.Context(), obj, expect)
	if err != nil || version != want {
		b.t.Errorf("Put(%s, %d) = %d, %v, want %d", obj.Key, expect, version, err, want)
	}
}

func at(o declarer.Object, version uint64) declarer.Object {
	o.Version = version
	return o
}

func assertObjects(t *testing.T, got []declarer.Object, revision uint64, err error, wantRevision uint64, want ...declarer.Object) {
	t.Helper()
	if err != nil || revision != wantRevision {
		t.Errorf("revision %d, error %v, want %d", revision, err, wantRevision)
	}
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
}

// assertError compares an error of type E in full, apart from its cause.
func assertError[E error](t *testing.T, err error, want E) {
	t.Helper()
	var got E
	if !errors.As(err, &got) {
		t.Errorf("error %v (%T), want %T", err, err, want)
		return
	}
	hideCause := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == ".Err" }, cmp.Ignore())
	if diff := cmp.Diff(want, got, hideCause); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func TestPutGetList(t *testing.T) {
	run(t, func(b *bench) {
		ctx := b.t.Context()
		b.put(zone("a", 1), 0, 1)
		b.put(zone("b", 1), 0, 2)
		b.put(zone("a", 2), 1, 3)
		tombstone := declarer.Object{Key: zone("b", 1).Key, Deleted: true, Changes: []string{"c1"}}
		b.put(tombstone, 2, 4)
		got, err := b.storer.Get(ctx, zone("a", 2).Key)
		assertObjects(b.t, []declarer.Object{got}, 0, err, 0, at(zone("a", 2), 3))
		all, revision, err := b.storer.List(ctx, declarer.KindZone)
		assertObjects(b.t, all, revision, err, 4, at(zone("a", 2), 3), at(tombstone, 4))
		none, revision, err := b.storer.List(ctx, declarer.KindService)
		assertObjects(b.t, none, revision, err, 4)
	})
}

func TestPutErrors(t *testing.T) {
	run(t, func(b *bench) {
		ctx := b.t.Context()
		b.put(zone("a", 1), 0, 1)
		_, err := b.storer.Put(ctx, zone("a", 2), 0)
		assertError(b.t, err, &storer.ConflictError{Key: zone("a", 1).Key, Expected: 0, Current: 1})
		_, err = b.storer.Put(ctx, zone("c", 1), 7)
		assertError(b.t, err, &storer.ConflictError{Key: zone("c", 1).Key, Expected: 7, Current: 0})
		_, err = b.storer.Get(ctx, zone("c", 1).Key)
		assertError(b.t, err, &storer.NotFoundError{Key: zone("c", 1).Key})
		_, err = b.storer.Put(ctx, zone("a", 0), 1)
		assertError(b.t, err, &declarer.FieldError{Field: "groups", Reason: "want 1 to 4096, got 0"})
		large := zone("a", 1)
		large.Changes = []string{strings.Repeat("x", 1<<20)}
		_, err = b.storer.Put(ctx, large, 1)
		var fault *declarer.FieldError
		if !errors.As(err, &fault) {
			b.t.Errorf("large object: error %v, want a FieldError", err)
		}
	})
}

func TestPutRace(t *testing.T) {
	run(t, func(b *bench) {
		b.put(zone("a", 1), 0, 1)
		var wg sync.WaitGroup
		results := make([]error, 8)
		for i := range results {
			wg.Go(func() { _, results[i] = b.storer.Put(b.t.Context(), zone("a", 2+i), 1) })
		}
		wg.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
				continue
			}
			assertError(b.t, err, &storer.ConflictError{Key: zone("a", 1).Key, Expected: 1, Current: 2})
		}
		if won != 1 {
			b.t.Errorf("%d racing writes won, want 1", won)
		}
	})
}

func TestLostAnswerIsUnsettled(t *testing.T) {
	run(t, func(b *bench) {
		b.keeper.SetFaults(keeper.Faults{Lose: 1})
		_, err := b.storer.Put(b.t.Context(), zone("a", 1), 0)
		assertError(b.t, err, &storer.UnavailableError{Call: "put", MaybeApplied: true})
		_, err = b.storer.Put(b.t.Context(), zone("a", 1), 0)
		assertError(b.t, err, &storer.ConflictError{Key: zone("a", 1).Key, Current: 1})
		if n := b.keeper.Counts().Written; n != 1 {
			b.t.Errorf("%d writes took effect, want 1", n)
		}
	})
}

func TestUnavailable(t *testing.T) {
	tests := []struct {
		name      string
		faults    keeper.Faults
		unsettled bool
	}{
		// A 503 says that nothing was done.
		{"refuses", keeper.Faults{Outage: keeper.OutageRefuse}, false},
		{"hangs", keeper.Faults{Outage: keeper.OutageHang}, true},
		{"slow", keeper.Faults{Slow: declarer.Duration{Duration: time.Hour}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.keeper.SetFaults(tt.faults)
				_, err := b.storer.Put(b.t.Context(), zone("a", 1), 0)
				assertError(b.t, err, &storer.UnavailableError{Call: "put", MaybeApplied: tt.unsettled})
				_, _, err = b.storer.List(b.t.Context(), "")
				assertError(b.t, err, &storer.UnavailableError{Call: "list"})
				ctx, cancel := context.WithTimeout(b.t.Context(), time.Millisecond)
				defer cancel()
				_, err = b.storer.Put(ctx, zone("a", 1), 0)
				assertError(b.t, err, &storer.UnavailableError{Call: "put"})
			})
		})
	}
}

// dialForever never connects.
func dialForever(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestNoConnectionIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, stop := serveAt(t, http.NotFoundHandler(), netip.MustParseAddrPort("10.0.0.9:80"), rate.NewLimiter(rate.Inf, 0))
		defer stop()
		_, err := s.Put(t.Context(), zone("a", 1), 0)
		assertError(t, err, &storer.UnavailableError{Call: "put"})
		transport := &http.Transport{DialContext: dialForever}
		defer transport.CloseIdleConnections()
		s, end := storer.New(config(rate.NewLimiter(rate.Inf, 0)), platform.NewClientWithTransport(transport, url.URL{Scheme: "http", Host: platformAddr.String()}).Declarations())
		defer end()
		_, err = s.Put(t.Context(), zone("a", 1), 0)
		assertError(t, err, &storer.UnavailableError{Call: "put"})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want a deadline", err)
		}
	})
}

func TestPauseGrowsAndEnds(t *testing.T) {
	run(t, func(b *bench) {
		b.keeper.SetFaults(keeper.Faults{Outage: keeper.OutageRefuse})
		var waits []time.Duration
		for range 5 {
			began := time.Now()
			_, _, err := b.storer.List(b.t.Context(), "")
			assertError(b.t, err, &storer.UnavailableError{Call: "list"})
			waits = append(waits, time.Since(began))
		}
		want := []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
		if diff := cmp.Diff(want, waits); diff != "" {
			b.t.Errorf("waits before calls (-want +got):\n%s", diff)
		}
		b.keeper.SetFaults(keeper.Faults{})
		for range 2 {
			_, _, err := b.storer.List(b.t.Context(), "")
			if err != nil {
				b.t.Errorf("after the outage: %v", err)
			}
		}
	})
}

func TestWatch(t *testing.T) {
	run(t, func(b *bench) {
		ctx := b.t.Context()
		b.put(zone("a", 1), 0, 1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			got, revision, err := b.storer.Watch(ctx, 1, 30*time.Second)
			assertObjects(b.t, got, revision, err, 2, at(zone("a", 2), 2))
		}()
		time.Sleep(10 * time.Second)
		b.put(zone("a", 2), 1, 2)
		<-done
		b.keeper.SetFaults(keeper.Faults{OldReads: 1})
		got, revision, err := b.storer.Watch(ctx, 2, 30*time.Second)
		assertObjects(b.t, got, revision, err, 2)
		b.keeper.SetFaults(keeper.Faults{Repeat: 1})
		got, revision, err = b.storer.Watch(ctx, 2, 30*time.Second)
		assertObjects(b.t, got, revision, err, 2, at(zone("a", 1), 1), at(zone("a", 2), 2))
	})
}

func TestCleanUpEndsCalls(t *testing.T) {
	run(t, func(b *bench) {
		done := make(chan error, 1)
		go func() {
			_, _, err := b.storer.Watch(b.t.Context(), 0, time.Minute)
			done <- err
		}()
		synctest.Wait()
		b.end()
		assertError(b.t, <-done, &storer.UnavailableError{Call: "watch"})
		_, err := b.storer.Instances(b.t.Context())
		assertError(b.t, err, &storer.UnavailableError{Call: "instances"})
		if err == nil || !strings.Contains(err.Error(), "ended") {
			b.t.Errorf("call after clean-up: %v", err)
		}
	})
}

func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, cleanup := keeper.New(keeper.Config{}, hclog.NewNullLogger())
		defer cleanup()
		s, _, stop := serveAt(t, k, platformAddr, rate.NewLimiter(2, 1))
		defer stop()
		began := time.Now()
		for range 5 {
			if _, err := s.Instances(t.Context()); err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("5 calls at 2 a second took %s, want 2s", took)
		}
	})
}

func TestInstances(t *testing.T) {
	run(t, func(b *bench) {
		peer := netip.MustParseAddrPort("10.0.0.7:7")
		b.keeper.SetInstance(keeper.Instance{ID: "d1", Zone: "addis-a", Peer: peer, State: keeper.Leaving})
		b.keeper.SetInstance(keeper.Instance{ID: "d2", Zone: "", Peer: peer, State: keeper.Live})
		got, err := b.storer.Instances(b.t.Context())
		assertError(b.t, err, &storer.InvalidObjectsError{Objects: []storer.InvalidObject{{Key: declarer.Key{Kind: storer.KindInstance, Name: "d2"}}}})
		want := []declarer.Instance{{ID: "d1", Zone: "addis-a", Peer: peer, State: declarer.Leaving}}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			b.t.Errorf("instances (-want +got):\n%s", diff)
		}
	})
}

func TestOddAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		// rejected is the reason of a RejectedError; without it, an
		// UnavailableError is wanted.
		rejected  string
		unsettled bool
	}{
		{"no revision", 200, `{}`, "", true},
		{"revision not above", 200, `{"meta":{"name":"zone.a","revision":4}}`, "", true},
		{"no JSON", 200, `<html>`, "", true},
		{"conflict without the object", 409, `<html>`, "", false},
		{"too many calls", 429, ``, "", false},
		{"nothing done", 503, ``, "", false},
		{"gateway", 504, ``, "", true},
		{"redirect", 307, `x`, "x", false},
		{"bad request", 400, `no`, "no", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				s, _, stop := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					calls++
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(tt.status)
					fmt.Fprint(w, tt.body)
				}))
				defer stop()
				_, err := s.Put(t.Context(), zone("a", 1), 5)
				if tt.rejected != "" {
					assertError(t, err, &storer.RejectedError{Call: "put", Status: tt.status, Reason: tt.rejected})
				} else {
					assertError(t, err, &storer.UnavailableError{Call: "put", MaybeApplied: tt.unsettled})
				}
				if calls != 1 {
					t.Errorf("%d calls, want 1", calls)
				}
			})
		})
	}
}
