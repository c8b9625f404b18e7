package ticketer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
)

const service = "crew-roster"

func TestRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1", "a-2")
		tk := f.issue(t)
		var wg sync.WaitGroup
		for i := range 50 {
			// Both instances get the same ticket many times concurrently.
			entry := []string{"a-1", "a-2"}[i%2]
			wg.Go(func() {
				assertOutcome(t, f, entry, tk, answerer.Done)
			})
		}
		wg.Wait()
		if n := f.runs.Load(); n != 1 {
			t.Errorf("the action ran %d times, want once", n)
		}
	})
}

func TestRunContinuesAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1")
		f.runTime = 50 * time.Millisecond
		tk := f.issue(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		res, err := f.daemons["a-1"].Run(ctx, action(tk))
		if err != nil || res.Outcome != answerer.Unknown {
			t.Errorf("Run = %v, %v, want unknown while it runs", res, err)
		}
		assertOutcome(t, f, "a-1", tk, answerer.Done)
		if n := f.runs.Load(); n != 1 {
			t.Errorf("the action ran %d times, want once", n)
		}
	})
}

func TestRunAfterIssuerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1", "a-2")
		tk := f.issue(t)
		assertOutcome(t, f, "a-1", tk, answerer.Done)
		f.start("a-1", 2)
		for _, entry := range []string{"a-1", "a-2"} {
			assertOutcome(t, f, entry, tk, answerer.Unknown)
		}
		if n := f.runs.Load(); n != 1 {
			t.Errorf("the action ran %d times, want once", n)
		}
	})
}

func TestRunRefusesInvalidTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1")
		good := f.issue(t)
		forged := good[:len(good)-1] + "x"
		tests := map[string]string{
			"empty parts": "::::",
			"no ticket":   "hello",
			"forged hash": forged,
			"only colons": strings.Repeat(":", 200),
		}
		for name, text := range tests {
			_, err := f.daemons["a-1"].RunLocal(t.Context(), action(text))
			assertRefusal(t, name, err, answerer.CodeBadTicket, answerer.NotRun)
		}
		if n := f.runs.Load(); n != 0 {
			t.Errorf("the action ran %d times, want never", n)
		}
	})
}

func TestRunExpiredTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1")
		used, fresh := f.issue(t), f.issue(t)
		assertOutcome(t, f, "a-1", used, answerer.Done)
		time.Sleep(maxTicketAge + time.Second)
		assertOutcome(t, f, "a-1", used, answerer.Done)
		_, err := f.daemons["a-1"].Run(t.Context(), action(fresh))
		assertRefusal(t, "", err, answerer.CodeBadTicket, answerer.NotRun)
		time.Sleep(resultAge)
		_, err = f.daemons["a-1"].Run(t.Context(), action(fresh))
		assertRefusal(t, "", err, answerer.CodeBadTicket, answerer.Unknown)
	})
}

func TestCloseWaitsForRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a-1")
		f.runTime = 200 * time.Millisecond
		tk := f.issue(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			assertOutcome(t, f, "a-1", tk, answerer.Done)
		}()
		synctest.Wait()
		f.closers["a-1"]()
		if n := f.runs.Load(); n != 1 {
			t.Errorf("%d runs had ended when close returned, want 1", n)
		}
		<-done
		_, err := f.daemons["a-1"].Issue(service)
		assertRefusal(t, "", err, answerer.CodeLeaving, answerer.NotRun)
	})
}

// fleet is a set of Ticketers that forward to one another. It is their Runner and Forwarder.
type fleet struct {
	view      *viewer.Viewer
	daemons   map[string]*Ticketer
	closers   map[string]func()
	instances map[string]declarer.Instance
	// runs counts the runs of the action that have ended.
	runs atomic.Int64
	// runTime is how long the action takes.
	runTime time.Duration
}

func newFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()
	f := &fleet{
		view:      viewer.New(viewer.Build(declarer.Instance{}, nil, nil)),
		daemons:   make(map[string]*Ticketer),
		closers:   make(map[string]func()),
		instances: make(map[string]declarer.Instance),
	}
	for _, id := range ids {
		f.start(id, 1)
	}
	return f
}

// start starts a process of a daemon, with a new key.
func (f *fleet) start(id string, incarnation uint64) {
	f.instances[id] = declarer.Instance{ID: id, Zone: "a", Region: "r", Incarnation: incarnation, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	f.daemons[id], f.closers[id] = New(Config{
		Instance:    id,
		Incarnation: incarnation,
		Key:         fmt.Appendf(nil, "key of %s %d", id, incarnation),
		Views:       f.view,
		Runner:      f,
		Forwarder:   f,
		Now:         time.Now,
		Log:         hclog.NewNullLogger(),
	})
	objects := []declarer.Object{{
		Key:     declarer.Key{Kind: declarer.KindService, Name: service},
		Version: 1,
		Service: &declarer.Service{
			Name: service, Class: declarer.Action,
			Contract: declarer.Contract{Deadline: declarer.Duration{Duration: time.Second}},
		},
	}}
	var all []declarer.Instance
	for _, in := range f.instances {
		all = append(all, in)
	}
	f.view.Publish(viewer.Build(f.instances[id], objects, all))
}

func (f *fleet) issue(t *testing.T) string {
	t.Helper()
	tk, err := f.daemons["a-1"].Issue(service)
	if err != nil {
		t.Fatalf("Issue: %v", err)
	}
	return tk.Ticket
}

// Run waits for runTime and counts the run.
func (f *fleet) Run(_ context.Context, service, ticket string, _ json.RawMessage) answerer.RunResult {
	time.Sleep(f.runTime)
	f.runs.Add(1)
	return answerer.RunResult{Ticket: ticket, Service: service, Outcome: answerer.Done}
}

// Forward runs the ticket at its issuer.
func (f *fleet) Forward(ctx context.Context, to *declarer.Instance, r answerer.Run) (answerer.RunResult, error) {
	return f.daemons[to.ID].RunLocal(ctx, r)
}

func action(ticket string) answerer.Run {
	return answerer.Run{Ticket: ticket, Service: service, Action: json.RawMessage(`{"crew":7}`)}
}

func assertOutcome(t *testing.T, f *fleet, entry, ticket string, want answerer.Outcome) {
	t.Helper()
	res, err := f.daemons[entry].Run(t.Context(), action(ticket))
	if err != nil {
		t.Errorf("Run through %s: %v", entry, err)
		return
	}
	if diff := cmp.Diff(want, res.Outcome); diff != "" {
		t.Errorf("outcome through %s (-want +got):\n%s%s", entry, diff, res.Reason)
	}
}

func assertRefusal(t *testing.T, name string, err error, code answerer.Code, outcome answerer.Outcome) {
	t.Helper()
	var ref *answerer.RefusalError
	if !errors.As(err, &ref) {
		t.Errorf("%s: error = %v, want a refusal %q", name, err, code)
		return
	}
	got := answerer.RefusalError{Code: ref.Code, Outcome: ref.Outcome}
	if diff := cmp.Diff(answerer.RefusalError{Code: code, Outcome: outcome}, got); diff != "" {
		t.Errorf("%s: refusal (-want +got):\n%s", name, diff)
	}
}
