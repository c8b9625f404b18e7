package main_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/standin/searcher"
)

// Time limits that the users require.
const (
	// applyLimit is the time within which an accepted change is in force at every daemon.
	applyLimit = 3 * time.Second
	// removalLimit is the time after which a zone or searcher that was taken out gets no new work.
	removalLimit = 3 * time.Second
)

// TestKilledOwner kills a daemon under load. Other daemons take over its upstreams, and no searcher is overloaded.
func TestKilledOwner(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}})
	warmUp(t, s)
	report := underLoad(t, s.daemons[1:], func(*balancer) {
		s.daemons[0].kill()
		awaitState(t, s.daemons[1], s.daemons[0].id, "")
	})
	assertAnswered(t, report)
	assertNoOverload(t, s)
}

// TestFrozenOwner suspends a daemon for longer than the takeover time and resumes it. It must not continue to admit
// work to its former upstreams.
func TestFrozenOwner(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "a", "b"}})
	warmUp(t, s)
	report := underLoad(t, s.daemons[1:], func(*balancer) {
		s.daemons[0].signal(t, syscall.SIGSTOP)
		awaitState(t, s.daemons[1], s.daemons[0].id, "missing")
		s.daemons[0].signal(t, syscall.SIGCONT)
		awaitState(t, s.daemons[1], s.daemons[0].id, "live")
	})
	assertAnswered(t, report)
	assertNoOverload(t, s)
}

// TestPlatformOutage makes the platform unavailable: queries are still answered, changes are refused as not run, and
// a restarted daemon gets its configuration from its peers.
func TestPlatformOutage(t *testing.T) {
	s := withSite(t, siteOptions{})
	warmUp(t, s)
	setFaults(t, s.platformURL, map[string]any{"outage": "refuse"})
	t.Run("queries are still answered", func(t *testing.T) {
		assertComplete(t, s.daemons[0])
	})
	t.Run("a change is refused, not run", func(t *testing.T) {
		err := s.daemons[0].callOperator(t, http.MethodPost, "/v1/zones/a/out", map[string]string{"change": "c-1"}, nil)
		var refusal *answerer.RefusalError
		if !errors.As(err, &refusal) || refusal.Code != answerer.CodeNoPlatform || refusal.Outcome != answerer.NotRun {
			t.Errorf("error = %v, want no_platform, not_run", err)
		}
	})
	t.Run("a restarted daemon gets its configuration from peers", func(t *testing.T) {
		s.daemons[2].kill()
		s.restart(t, s.daemons[2])
		s.awaitReady(t, s.daemons[2])
		assertComplete(t, s.daemons[2])
	})
	setFaults(t, s.platformURL, map[string]any{"outage": ""})
	t.Run("changes are accepted again", func(t *testing.T) {
		eventually(t, startTimeout, func() error {
			return s.daemons[0].callOperator(t, http.MethodPost, "/v1/zones/a/out", map[string]string{"change": "c-2"}, nil)
		})
	})
}

// TestZoneOut takes a zone out under load and takes it back in.
func TestZoneOut(t *testing.T) {
	s := withSite(t, siteOptions{})
	warmUp(t, s)
	report := underLoad(t, s.daemons, func(*balancer) {
		cornelwood(t, "zone", "out", "a", "--operator", "http://"+s.daemons[1].operator)
		time.Sleep(removalLimit)
		before := startedInZone(t, s, "a")
		time.Sleep(time.Second)
		if after := startedInZone(t, s, "a"); after != before {
			t.Errorf("searchers of zone a started %d runs more than %s after it was taken out", after-before, removalLimit)
		}
		cornelwood(t, "zone", "in", "a", "--operator", "http://"+s.daemons[2].operator)
		eventually(t, startTimeout, func() error {
			if startedInZone(t, s, "a") == before {
				return errors.New("zone a gets no work after it was taken back in")
			}
			return nil
		})
	})
	assertAnswered(t, report)
	assertNoOverload(t, s)
}

// TestGracefulShutdown stops a daemon under load. No caller loses a request.
func TestGracefulShutdown(t *testing.T) {
	s := withSite(t, siteOptions{zones: []string{"a", "a", "b"}, balancerLag: "500ms"})
	warmUp(t, s)
	stopping := s.daemons[0]
	report := underLoad(t, s.daemons, func(b *balancer) {
		stopping.signal(t, syscall.SIGTERM)
		eventually(t, startTimeout, func() error {
			if stopping.get(t, "/ready", nil) == nil {
				return errors.New("still ready")
			}
			return nil
		})
		b.excluded.Store(stopping)
		<-stopping.done
	})
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code of the daemon = %d, want 0", code)
	}
	assertAnswered(t, report)
	assertNoOverload(t, s)
}

// TestRunThroughAnotherInstance runs a ticket through the instance that issued it and through another one, then after
// its issuer was killed, and after the issuer's restart. The action is run once.
func TestRunThroughAnotherInstance(t *testing.T) {
	s := withSite(t, siteOptions{})
	warmUp(t, s)
	issuer, other := s.daemons[0], s.daemons[1]
	ticket := takeTicket(t, issuer)
	for _, d := range []*daemon{other, issuer, other} {
		if res := runTicket(t, d, ticket); res.Outcome != answerer.Done {
			t.Errorf("run through %s: %+v, want done", d.id, res)
		}
	}
	issuer.kill()
	if res := runTicket(t, other, ticket); res.Outcome != answerer.Unknown {
		t.Errorf("run without the issuer: %+v, want unknown", res)
	}
	s.restart(t, issuer)
	s.awaitReady(t, issuer)
	if res := runTicket(t, issuer, ticket); res.Outcome != answerer.Unknown {
		t.Errorf("run after the issuer's restart: %+v, want unknown", res)
	}
	if n := ticketRuns(t, s, ticket); n != 1 {
		t.Errorf("searchers ran the action %d times, want once", n)
	}
}

// TestChangeInForce makes a change through one daemon, which must be in force at every daemon within applyLimit.
func TestChangeInForce(t *testing.T) {
	s := withSite(t, siteOptions{})
	var accepted declarer.Object
	set := map[string]any{"change": "c-1", "set": map[string]string{"priority": "7"}}
	if err := s.daemons[0].callOperator(t, http.MethodPost, "/v1/services/finder/contract", set, &accepted); err != nil {
		t.Fatal(err)
	}
	for _, d := range s.daemons {
		eventually(t, applyLimit, func() error {
			var got declarer.Object
			if err := d.callOperator(t, http.MethodGet, "/v1/services/finder", nil, &got); err != nil {
				return err
			}
			if diff := cmp.Diff(accepted, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
				return fmt.Errorf("object at %s (-accepted +got):\n%s", d.id, diff)
			}
			return nil
		})
	}
}

// warmUp waits until every daemon has given a complete answer.
func warmUp(t *testing.T, s *site) {
	t.Helper()
	for _, d := range s.daemons {
		assertComplete(t, d)
	}
}

// forEachCounts calls do with the counters of each searcher.
func forEachCounts(t *testing.T, s *site, do func(u declarer.Upstream, c searcher.Counts)) {
	t.Helper()
	for _, sv := range s.services {
		for _, u := range sv.Upstreams() {
			var c searcher.Counts
			if err := requester.New("http://"+u.Addr.String(), noKeepAliveClient).Do(t.Context(), http.MethodGet, "/counts", nil, &c); err != nil {
				t.Fatalf("counts of %s: %v", u.Name, err)
			}
			do(u, c)
		}
	}
}

// assertNoOverload fails the test when a searcher got more work at once than it can run.
func assertNoOverload(t *testing.T, s *site) {
	t.Helper()
	forEachCounts(t, s, func(u declarer.Upstream, c searcher.Counts) {
		got := map[string]int{"overlaps": c.Overlaps, "cold overloads": c.ColdOverloads}
		if diff := cmp.Diff(map[string]int{"overlaps": 0, "cold overloads": 0}, got); diff != "" {
			t.Errorf("searcher %s, last cold overload %+v (-want +got):\n%s", u.Name, c.LastColdOverload, diff)
		}
	})
}

func startedInZone(t *testing.T, s *site, zone string) int {
	t.Helper()
	n := 0
	forEachCounts(t, s, func(u declarer.Upstream, c searcher.Counts) {
		if u.Zone == zone {
			n += c.Started
		}
	})
	return n
}

func ticketRuns(t *testing.T, s *site, ticket string) int {
	t.Helper()
	n := 0
	forEachCounts(t, s, func(_ declarer.Upstream, c searcher.Counts) {
		n += c.Runs[ticket]
	})
	return n
}

// awaitState waits until a daemon reports an instance in the state want; "" means that it is not listed, or is gone.
func awaitState(t *testing.T, d *daemon, id, want string) {
	t.Helper()
	eventually(t, startTimeout, func() error {
		status, err := d.status(t)
		if err != nil {
			return err
		}
		got := ""
		for _, m := range status.Members {
			if m.ID == id && m.State != "gone" {
				got = m.State
			}
		}
		if got != want {
			return fmt.Errorf("%s reports %s as %q, want %q", d.id, id, got, want)
		}
		return nil
	})
}

func takeTicket(t *testing.T, d *daemon) string {
	t.Helper()
	var ticket answerer.Ticket
	in := map[string]string{"service": "roster"}
	if err := requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodPost, "/v1/ticket", in, &ticket); err != nil {
		t.Fatalf("ticket: %v", err)
	}
	return ticket.Ticket
}

func runTicket(t *testing.T, d *daemon, ticket string) answerer.RunResult {
	t.Helper()
	var res answerer.RunResult
	in := answerer.Run{Ticket: ticket, Service: "roster", Action: json.RawMessage(`{"crew":7}`)}
	if err := requester.New("http://"+d.caller, httpClient).Do(t.Context(), http.MethodPost, "/v1/run", in, &res); err != nil {
		t.Fatalf("run: %v", err)
	}
	return res
}

// TestShutdownFinishesQueries stops a daemon with slow queries in flight. All of them are answered.
func TestShutdownFinishesQueries(t *testing.T) {
	const queries = 5
	s := withSite(t, siteOptions{fleetFlags: []string{"--mean", "500ms", "--warm"}, balancerLag: "10ms"})
	stopping := s.daemons[0]
	answers := make(chan error, queries)
	for range queries {
		go func() {
			_, err := stopping.query(t, answerer.Query{Service: "finder", Deadline: &declarer.Duration{Duration: 20 * time.Second}})
			answers <- err
		}()
	}
	eventually(t, startTimeout, func() error { return stopping.checkRunning(t, queries) })
	stopping.signal(t, syscall.SIGTERM)
	for range queries {
		if err := <-answers; err != nil {
			t.Errorf("query in flight at the shutdown: %v", err)
		}
	}
	<-stopping.done
	if code := stopping.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code of the daemon = %d, want 0", code)
	}
}

// TestShutdownAnswersOverdueQueries stops a daemon with a query and a run in flight that outlast its time for requests in flight.
// Both are answered with what is known; they were cut off without an answer (issue 29).
func TestShutdownAnswersOverdueQueries(t *testing.T) {
	const drain = 2 * time.Second
	s := withSite(t, siteOptions{fleetFlags: []string{"--mean", "8s", "--warm"}, balancerLag: "10ms", drainLimit: drain.String()})
	stopping := s.daemons[0]
	ticket := takeTicket(t, stopping)
	errs := make(chan error, 2)
	go func() {
		_, err := stopping.query(t, answerer.Query{Service: "finder", Deadline: &declarer.Duration{Duration: 20 * time.Second}})
		errs <- err
	}()
	go func() {
		var res answerer.RunResult
		in := answerer.Run{Ticket: ticket, Service: "roster", Action: json.RawMessage(`{"crew":7}`)}
		errs <- requester.New("http://"+stopping.caller, httpClient).Do(t.Context(), http.MethodPost, "/v1/run", in, &res)
	}()
	eventually(t, startTimeout, func() error { return stopping.checkRunning(t, 1) })
	stopping.signal(t, syscall.SIGTERM)
	signaledAt := time.Now()
	for range 2 {
		if err := <-errs; err != nil {
			t.Errorf("request in flight at the end of the shutdown: %v", err)
		}
	}
	// An answer at the very end would be a matter of luck.
	if took := time.Since(signaledAt); took >= drain {
		t.Errorf("answered %s after SIGTERM, want less than %s", took, drain)
	}
	<-stopping.done
}

// TestDrainedUpstream drains a searcher under load. It gets no new work after removalLimit.
func TestDrainedUpstream(t *testing.T) {
	s := withSite(t, siteOptions{})
	warmUp(t, s)
	u := s.services[0].Upstreams()[0]
	report := underLoad(t, s.daemons, func(b *balancer) {
		setFaults(t, "http://"+u.Addr.String(), map[string]any{"drain": true})
		time.Sleep(removalLimit + time.Second)
		b.awaitAnswers(t, baselineAnswers)
	})
	assertAnswered(t, report)
	forEachCounts(t, s, func(each declarer.Upstream, c searcher.Counts) {
		if each.Name == u.Name && c.LastAfterDrain > removalLimit {
			t.Errorf("searcher %s got work %s after its drain began, want none after %s", u.Name, c.LastAfterDrain, removalLimit)
		}
	})
	assertNoOverload(t, s)
}

// checkRunning returns an error unless the daemon's metrics show want queries in flight.
func (d *daemon) checkRunning(t *testing.T, want int) error {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.caller+"/metrics", http.NoBody)
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return err
	}
	if got := int(families["cornelwood_query_running"].GetMetric()[0].GetGauge().GetValue()); got != want {
		return fmt.Errorf("%d queries in flight, want %d", got, want)
	}
	return nil
}
