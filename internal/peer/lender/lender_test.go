package lender

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/storer"
	"cornelwood.example/internal/peer/linker"
)

// fleet is a set of daemons that call each other without a network, and their store.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	members []declarer.Member
	lenders map[netip.AddrPort]*Lender
	ends    map[string]context.CancelFunc
	lost    map[netip.AddrPort]bool
	lease   Lease
	isAway  bool
	writes  int
	reads   int
	takes   int
	wait    sync.WaitGroup
}

func (f *fleet) ReadLease(context.Context) (Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway {
		return Lease{}, &storer.UnavailableError{Call: "read", Err: errors.New("away")}
	}
	f.reads++
	return f.lease, nil
}

func (f *fleet) WriteLease(_ context.Context, l *Lease) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway {
		return 0, &storer.UnavailableError{Call: "write", Err: errors.New("away")}
	}
	if l.Revision != f.lease.Revision {
		return 0, &ConflictError{Current: f.lease}
	}
	f.writes++
	f.lease = Lease{Record: l.Record, Revision: l.Revision + 1}
	return f.lease.Revision, nil
}

// Call delivers a call after a millisecond, unless the daemon is lost.
func (f *fleet) Call(ctx context.Context, peer netip.AddrPort, name string, in, out any) error {
	f.mu.Lock()
	l, isLost := f.lenders[peer], f.lost[peer]
	if name == TakeCall {
		f.takes++
	}
	f.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	body, err := linker.Encode(in)
	if err != nil {
		return err
	}
	handle := l.HandleTake
	if name == PingCall {
		handle = l.HandlePing
	}
	answer, err := handle(ctx, netip.AddrPort{}, body)
	if err != nil {
		return err
	}
	if body, err = linker.Encode(answer); err != nil {
		return err
	}
	return linker.Decode(body, out)
}

// withFleet runs a test in virtual time with daemons in three zones, after a lender has been found.
func withFleet(t *testing.T, n int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, lenders: make(map[netip.AddrPort]*Lender), lost: make(map[netip.AddrPort]bool), ends: make(map[string]context.CancelFunc)}
		started := time.Now()
		for i := range n {
			f.members = append(f.members, declarer.Member{
				ID: fmt.Sprintf("d%d", i), Zone: fmt.Sprintf("z%d", i%3), Share: float64(n - i),
				Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 1),
			})
		}
		all := func() ([]declarer.Member, bool) { return f.members, true }
		for _, m := range f.members {
			clock := func() time.Duration { return time.Hour + time.Since(started) }
			l := New(*testConfig(), m, f, f, all, clock, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
			f.lenders[m.Peer] = l
			ctx, cancel := context.WithCancel(t.Context())
			f.ends[m.ID] = cancel
			f.wait.Go(func() { _ = l.Serve(ctx) })
		}
		time.Sleep(4 * time.Second)
		test(f)
		for _, end := range f.ends {
			end()
		}
		f.wait.Wait()
	})
}

// at returns the Lender of a daemon.
func (f *fleet) at(id string) *Lender {
	for _, m := range f.members {
		if m.ID == id {
			return f.lenders[m.Peer]
		}
	}
	return nil
}

// kill ends a daemon and makes calls to it stay without an answer.
func (f *fleet) kill(id string) {
	f.ends[id]()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		f.lost[m.Peer] = f.lost[m.Peer] || m.ID == id
	}
}

func (f *fleet) setAway(isAway bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isAway = isAway
}

// load sends requests of an account at a rate for a time, spread over the living daemons, and returns how many were granted
// and refused, and of the refused those that are not known to be above the limit.
func (f *fleet) load(account *declarer.Account, perSecond int, d time.Duration) (granted, refused, unknown int) {
	f.t.Helper()
	for i := range int(d.Seconds() * float64(perSecond)) {
		m := f.members[i*7%len(f.members)]
		f.mu.Lock()
		isLost := f.lost[m.Peer]
		f.mu.Unlock()
		if !isLost {
			started := time.Now()
			_, err := f.lenders[m.Peer].Take(f.t.Context(), account, 1)
			if took := time.Since(started); took > 200*time.Millisecond {
				f.t.Errorf("a token took %s", took)
			}
			var r *RefusedError
			switch {
			case err == nil:
				granted++
			case errors.As(err, &r) && r.Wait > 0:
				refused++
				if !r.Exceeded {
					unknown++
				}
			default:
				f.t.Errorf("error %v", err)
			}
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return granted, refused, unknown
}

// TestCalm checks a fleet without faults: nobody is refused at 0.6 of the limit, one account above its limit gets that and is
// told so, and the store gets about a write a second and no reads.
func TestCalm(t *testing.T) {
	withFleet(t, 9, func(f *fleet) {
		within := &declarer.Account{Name: "a", Rate: 30, Burst: 30}
		f.mu.Lock()
		writes, reads := f.writes, f.reads
		f.mu.Unlock()
		if _, refused, _ := f.load(within, 18, 20*time.Second); refused > 0 {
			t.Errorf("%d refused of an account within its limit", refused)
		}
		f.mu.Lock()
		if n := f.writes - writes; n < 15 || n > 30 || f.reads != reads {
			t.Errorf("%d writes and %d reads in 20 s, want about 20 and none", n, f.reads-reads)
		}
		takes := f.takes
		f.mu.Unlock()
		above := &declarer.Account{Name: "b", Rate: 2, Burst: 2}
		started := time.Now()
		granted, refused, unknown := f.load(above, 60, 10*time.Second)
		capacity := 2 + extraShare*(0.1*12+20)
		most := int(capacity + 2*time.Since(started).Seconds())
		if granted > most || granted < most-2 || unknown > 0 {
			t.Errorf("%d granted, %d refused and %d of these unknown, want %d granted and none unknown", granted, refused, unknown, most)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if n := f.takes - takes; n > 300 {
			t.Errorf("%d calls for 600 requests, want refusals to be remembered", n)
		}
	})
}

// TestLenderLost checks that an account within its limit is served on when the lender is lost, is released, or the store is
// away.
func TestLenderLost(t *testing.T) {
	account := &declarer.Account{Name: "a", Rate: 30, Burst: 30}
	for name, tt := range map[string]struct {
		fault func(f *fleet)
		// most is the largest number of requests that may be refused, of 18 a second.
		most int
	}{
		"killed":     {func(f *fleet) { f.kill(f.lease.Record.Holder.ID) }, 10},
		"released":   {func(f *fleet) { f.at(f.lease.Record.Holder.ID).Release() }, 3},
		"store away": {func(f *fleet) { f.setAway(true) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 9, func(f *fleet) {
				f.load(account, 18, 12*time.Second)
				tt.fault(f)
				if _, refused, _ := f.load(account, 18, 6*time.Second); refused > tt.most {
					t.Errorf("%d refused, want %d at most", refused, tt.most)
				}
				f.setAway(false)
				if _, refused, _ := f.load(account, 18, 2*time.Second); refused > 0 {
					t.Errorf("%d refused after the fault", refused)
				}
			})
		})
	}
}

// TestNoLender checks that requests are refused as not known to be above the limit, and not as exceeded, once lender and
// store are lost, and that the zones' parts of the tolerance are still granted.
func TestNoLender(t *testing.T) {
	withFleet(t, 9, func(f *fleet) {
		account := &declarer.Account{Name: "a", Rate: 30, Burst: 30}
		f.load(account, 18, 3*time.Second)
		f.setAway(true)
		f.kill(f.lease.Record.Holder.ID)
		granted, refused, unknown := f.load(account, 18, 10*time.Second)
		if unknown != refused || refused == 0 || granted < 10 || granted > 60 {
			t.Errorf("%d granted, %d refused and %d of these unknown; want some tens granted and all refused unknown", granted, refused, unknown)
		}
	})
}

// TestReturn checks that a token that was given back is used by the next request.
func TestReturn(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		account := &declarer.Account{Name: "a", Rate: 0.01, Burst: 1}
		l := f.at("d2")
		time.Sleep(3 * time.Minute)
		g, err := l.Take(f.t.Context(), account, 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Return()
		time.Sleep(2 * time.Second)
		if _, err = f.at("d1").Take(f.t.Context(), account, 1); err != nil {
			t.Errorf("error %v at another daemon after the return", err)
		}
		if _, err := l.Take(f.t.Context(), account, 1); err == nil {
			t.Error("a token was used twice")
		}
	})
}

// TestWithoutLimit checks that requests of accounts without a limit, and of none, ask nobody.
func TestWithoutLimit(t *testing.T) {
	l := New(*testConfig(), declarer.Member{}, nil, nil, nil, func() time.Duration { return 0 }, hclog.NewNullLogger(), NewMetrics(prometheus.NewRegistry()))
	for _, a := range []*declarer.Account{nil, {Name: "a"}} {
		if g, err := l.Take(t.Context(), a, 1); err != nil {
			t.Errorf("account %+v: %v", a, err)
		} else {
			g.Return()
		}
	}
}

// TestMessages checks that invalid messages of other daemons are refused with the name of the field.
func TestMessages(t *testing.T) {
	for name, m := range map[string]interface{ Check() error }{
		"account":  &takeRequest{Limit: &Limit{Rate: 1}},
		"rate":     &takeRequest{Limit: &Limit{Account: "a"}},
		"negative": &takeRequest{Limit: &Limit{Account: "a", Rate: 1, Burst: -1}},
		"ahead":    &takeRequest{Ahead: -1},
		"returns":  &takeRequest{Returns: []returned{{Account: "a", Count: -1}}},
		"count":    &takeResponse{Count: -1},
		"held":     &ping{Lease: Lease{Record: Record{Held: -1}}},
		"holder":   &ping{Lease: Lease{Record: Record{Holder: declarer.Member{ID: "a"}}}},
	} {
		var field *declarer.FieldError
		if err := m.Check(); !errors.As(err, &field) {
			t.Errorf("%s: error %v, want one that names the field", name, err)
		}
	}
}
