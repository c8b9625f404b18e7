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

// fixture is a storer that calls the platform's stand-in through the platform's client,
// on an in-memory network.
type fixture struct {
	t           *testing.T
	keeper      *keeper.Keeper
	storer      *storer.Storer
	closeStorer func()
}

// runTest runs test in a synctest bubble. Every backoff has the length of its window.
func runTest(t *testing.T, test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k, cleanup := keeper.New(keeper.Config{}, hclog.NewNullLogger())
		defer cleanup()
		s, closeStorer, stop := newStorer(t, k)
		defer stop()
		test(&fixture{t: t, keeper: k, storer: s, closeStorer: closeStorer})
	})
}

// newStorer returns a storer that calls h, the function that closes it, and a function
// that stops both.
func newStorer(t *testing.T, h http.Handler) (s *storer.Storer, closeStorer, stop func()) {
	return newStorerAt(t, h, platformAddr, rate.NewLimiter(rate.Inf, 0))
}

// newStorerAt is like newStorer with a storer that calls addr; h is served at platformAddr.
func newStorerAt(t *testing.T, h http.Handler, addr netip.AddrPort, limiter *rate.Limiter) (s *storer.Storer, closeStorer, stop func()) {
	network := dialer.New()
	ln, err := network.Listen(platformAddr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	transport := &http.Transport{DialContext: network.DialContext}
	s, closeStorer = storer.New(config(limiter), platform.NewClientWithTransport(transport, url.URL{Scheme: "http", Host: addr.String()}).Declarations())
	return s, closeStorer, func() {
		closeStorer()
		transport.CloseIdleConnections()
		srv.Close()
	}
}

func config(limiter *rate.Limiter) storer.Config {
	return storer.Config{
		Timeout:    time.Second,
		Limiter:    limiter,
		MinBackoff: time.Second,
		MaxBackoff: 4 * time.Second,
		Rand:       func() float64 { return 1 },
	}
}

func zoneObject(name string, groups int) declarer.Object {
	return declarer.Object{
		Key:  declarer.Key{Kind: declarer.KindZone, Name: name},
		Zone: &declarer.Zone{Name: name, Region: "et-central", Groups: groups},
	}
}

func (f *fixture) put(obj declarer.Object, expect, want uint64) {
	f.t.Helper()
	version, err := f.storer.Put(f.t.Context(), obj, expect)
	if err != nil || version != want {
		f.t.Errorf("Put(%s, %d) = %d, %v, want %d", obj.Key, expect, version, err, want)
	}
}

func withVersion(o declarer.Object, version uint64) declarer.Object {
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

// assertError compares all fields of an error of type E except its cause, Err.
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
	runTest(t, func(f *fixture) {
		ctx := f.t.Context()
		f.put(zoneObject("a", 1), 0, 1)
		f.put(zoneObject("b", 1), 0, 2)
		f.put(zoneObject("a", 2), 1, 3)
		tombstone := declarer.Object{Key: zoneObject("b", 1).Key, Deleted: true, Changes: []string{"c1"}}
		f.put(tombstone, 2, 4)
		got, err := f.storer.Get(ctx, zoneObject("a", 2).Key)
		assertObjects(f.t, []declarer.Object{got}, 0, err, 0, withVersion(zoneObject("a", 2), 3))
		all, revision, err := f.storer.List(ctx, declarer.KindZone)
		assertObjects(f.t, all, revision, err, 4, withVersion(zoneObject("a", 2), 3), withVersion(tombstone, 4))
		none, revision, err := f.storer.List(ctx, declarer.KindService)
		assertObjects(f.t, none, revision, err, 4)
	})
}

func TestPutErrors(t *testing.T) {
	runTest(t, func(f *fixture) {
		ctx := f.t.Context()
		f.put(zoneObject("a", 1), 0, 1)
		_, err := f.storer.Put(ctx, zoneObject("a", 2), 0)
		assertError(f.t, err, &storer.ConflictError{Key: zoneObject("a", 1).Key, Expected: 0, Current: 1})
		_, err = f.storer.Put(ctx, zoneObject("c", 1), 7)
		assertError(f.t, err, &storer.ConflictError{Key: zoneObject("c", 1).Key, Expected: 7, Current: 0})
		_, err = f.storer.Get(ctx, zoneObject("c", 1).Key)
		assertError(f.t, err, &storer.NotFoundError{Key: zoneObject("c", 1).Key})
		_, err = f.storer.Put(ctx, zoneObject("a", 0), 1)
		assertError(f.t, err, &declarer.FieldError{Field: "groups", Reason: "want 1 to 4096, got 0"})
		large := zoneObject("a", 1)
		large.Changes = []string{strings.Repeat("x", 1<<20)}
		_, err = f.storer.Put(ctx, large, 1)
		var fieldError *declarer.FieldError
		if !errors.As(err, &fieldError) {
			f.t.Errorf("large object: error %v, want a FieldError", err)
		}
	})
}

func TestConcurrentPuts(t *testing.T) {
	runTest(t, func(f *fixture) {
		f.put(zoneObject("a", 1), 0, 1)
		var wg sync.WaitGroup
		results := make([]error, 8)
		for i := range results {
			wg.Go(func() { _, results[i] = f.storer.Put(f.t.Context(), zoneObject("a", 2+i), 1) })
		}
		wg.Wait()
		applied := 0
		for _, err := range results {
			if err == nil {
				applied++
				continue
			}
			assertError(f.t, err, &storer.ConflictError{Key: zoneObject("a", 1).Key, Expected: 1, Current: 2})
		}
		if applied != 1 {
			f.t.Errorf("%d concurrent writes were applied, want 1", applied)
		}
	})
}

func TestPutWithLostAnswer(t *testing.T) {
	runTest(t, func(f *fixture) {
		f.keeper.SetFaults(keeper.Faults{Lose: 1})
		_, err := f.storer.Put(f.t.Context(), zoneObject("a", 1), 0)
		assertError(f.t, err, &storer.UnavailableError{Call: "put", MaybeApplied: true})
		_, err = f.storer.Put(f.t.Context(), zoneObject("a", 1), 0)
		assertError(f.t, err, &storer.ConflictError{Key: zoneObject("a", 1).Key, Current: 1})
		if n := f.keeper.Counts().Written; n != 1 {
			f.t.Errorf("%d writes were applied, want 1", n)
		}
	})
}

func TestUnavailable(t *testing.T) {
	tests := []struct {
		name         string
		faults       keeper.Faults
		maybeApplied bool
	}{
		// The platform answers 503 when it has not run the call.
		{"refuses", keeper.Faults{Outage: keeper.OutageRefuse}, false},
		{"hangs", keeper.Faults{Outage: keeper.OutageHang}, true},
		{"slow", keeper.Faults{Slow: declarer.Duration{Duration: time.Hour}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runTest(t, func(f *fixture) {
				f.keeper.SetFaults(tt.faults)
				_, err := f.storer.Put(f.t.Context(), zoneObject("a", 1), 0)
				assertError(f.t, err, &storer.UnavailableError{Call: "put", MaybeApplied: tt.maybeApplied})
				_, _, err = f.storer.List(f.t.Context(), "")
				assertError(f.t, err, &storer.UnavailableError{Call: "list"})
				ctx, cancel := context.WithTimeout(f.t.Context(), time.Millisecond)
				defer cancel()
				_, err = f.storer.Put(ctx, zoneObject("a", 1), 0)
				assertError(f.t, err, &storer.UnavailableError{Call: "put"})
			})
		})
	}
}

// dialForever never connects.
func dialForever(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestPutWithoutConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, stop := newStorerAt(t, http.NotFoundHandler(), netip.MustParseAddrPort("10.0.0.9:80"), rate.NewLimiter(rate.Inf, 0))
		defer stop()
		_, err := s.Put(t.Context(), zoneObject("a", 1), 0)
		assertError(t, err, &storer.UnavailableError{Call: "put"})
		transport := &http.Transport{DialContext: dialForever}
		defer transport.CloseIdleConnections()
		s, closeStorer := storer.New(config(rate.NewLimiter(rate.Inf, 0)), platform.NewClientWithTransport(transport, url.URL{Scheme: "http", Host: platformAddr.String()}).Declarations())
		defer closeStorer()
		_, err = s.Put(t.Context(), zoneObject("a", 1), 0)
		assertError(t, err, &storer.UnavailableError{Call: "put"})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want a deadline exceeded", err)
		}
	})
}

func TestBackoff(t *testing.T) {
	runTest(t, func(f *fixture) {
		f.keeper.SetFaults(keeper.Faults{Outage: keeper.OutageRefuse})
		var waits []time.Duration
		for range 5 {
			started := time.Now()
			_, _, err := f.storer.List(f.t.Context(), "")
			assertError(f.t, err, &storer.UnavailableError{Call: "list"})
			waits = append(waits, time.Since(started))
		}
		want := []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
		if diff := cmp.Diff(want, waits); diff != "" {
			f.t.Errorf("waits before calls (-want +got):\n%s", diff)
		}
		f.keeper.SetFaults(keeper.Faults{})
		for range 2 {
			_, _, err := f.storer.List(f.t.Context(), "")
			if err != nil {
				f.t.Errorf("after the outage: %v", err)
			}
		}
	})
}

func TestWatch(t *testing.T) {
	runTest(t, func(f *fixture) {
		ctx := f.t.Context()
		f.put(zoneObject("a", 1), 0, 1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			got, revision, err := f.storer.Watch(ctx, 1, 30*time.Second)
			assertObjects(f.t, got, revision, err, 2, withVersion(zoneObject("a", 2), 2))
		}()
		time.Sleep(10 * time.Second)
		f.put(zoneObject("a", 2), 1, 2)
		<-done
		f.keeper.SetFaults(keeper.Faults{OldReads: 1})
		got, revision, err := f.storer.Watch(ctx, 2, 30*time.Second)
		assertObjects(f.t, got, revision, err, 2)
		f.keeper.SetFaults(keeper.Faults{Repeat: 1})
		got, revision, err = f.storer.Watch(ctx, 2, 30*time.Second)
		assertObjects(f.t, got, revision, err, 2, withVersion(zoneObject("a", 1), 1), withVersion(zoneObject("a", 2), 2))
	})
}

func TestCloseEndsCalls(t *testing.T) {
	runTest(t, func(f *fixture) {
		done := make(chan error, 1)
		go func() {
			_, _, err := f.storer.Watch(f.t.Context(), 0, time.Minute)
			done <- err
		}()
		synctest.Wait()
		f.closeStorer()
		assertError(f.t, <-done, &storer.UnavailableError{Call: "watch"})
		_, err := f.storer.Instances(f.t.Context())
		assertError(f.t, err, &storer.UnavailableError{Call: "instances"})
		if err == nil || !strings.Contains(err.Error(), "closed") {
			f.t.Errorf("call after close: %v", err)
		}
	})
}

func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, cleanup := keeper.New(keeper.Config{}, hclog.NewNullLogger())
		defer cleanup()
		s, _, stop := newStorerAt(t, k, platformAddr, rate.NewLimiter(2, 1))
		defer stop()
		started := time.Now()
		for range 5 {
			if _, err := s.Instances(t.Context()); err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(started); took != 2*time.Second {
			t.Errorf("5 calls at 2 a second took %s, want 2s", took)
		}
	})
}

func TestInstances(t *testing.T) {
	runTest(t, func(f *fixture) {
		peer := netip.MustParseAddrPort("10.0.0.7:7")
		f.keeper.SetInstance(keeper.Instance{ID: "d1", Zone: "addis-a", Peer: peer, State: keeper.Leaving})
		f.keeper.SetInstance(keeper.Instance{ID: "d2", Zone: "", Peer: peer, State: keeper.Live})
		got, err := f.storer.Instances(f.t.Context())
		assertError(f.t, err, &storer.InvalidObjectsError{Objects: []storer.InvalidObject{{Key: declarer.Key{Kind: storer.KindInstance, Name: "d2"}}}})
		want := []declarer.Instance{{ID: "d1", Zone: "addis-a", Peer: peer, State: declarer.Leaving}}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			f.t.Errorf("instances (-want +got):\n%s", diff)
		}
	})
}

func TestPutAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		// rejected is the reason of the RejectedError that is wanted. If it is empty, an
		// UnavailableError is wanted.
		rejected     string
		maybeApplied bool
	}{
		{"no revision", 200, `{}`, "", true},
		{"revision not above", 200, `{"meta":{"name":"zone.a","revision":4}}`, "", true},
		{"no JSON", 200, `<html>`, "", true},
		{"conflict without the object", 409, `<html>`, "", false},
		{"too many calls", 429, ``, "", false},
		{"call not run", 503, ``, "", false},
		{"gateway", 504, ``, "", true},
		{"redirect", 307, `x`, "x", false},
		{"bad request", 400, `no`, "no", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				s, _, stop := newStorer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					calls++
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(tt.status)
					fmt.Fprint(w, tt.body)
				}))
				defer stop()
				_, err := s.Put(t.Context(), zoneObject("a", 1), 5)
				if tt.rejected != "" {
					assertError(t, err, &storer.RejectedError{Call: "put", Status: tt.status, Reason: tt.rejected})
				} else {
					assertError(t, err, &storer.UnavailableError{Call: "put", MaybeApplied: tt.maybeApplied})
				}
				if calls != 1 {
					t.Errorf("%d calls, want 1", calls)
				}
			})
		})
	}
}
