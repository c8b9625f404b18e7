package forwarder

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/route/delegator"
)

// askFor returns another daemon's message for the query of withForwarder.
func askFor(shards ...int) *exchanger.Gather {
	return &exchanger.Gather{
		Version: 1, Route: "q", Shards: shards, Attempts: 2, Needed: 3, Goal: goal, Remaining: timeout,
		Request: "r", Method: http.MethodGet, Host: "h", Target: "/q/x",
	}
}

// gatherFor gathers a query for another daemon, which permits all attempts after permitAfter, and returns the message
// with its parts as a text: shard indexes, and those missing with their attempts.
func (s *setup) gatherFor(ctx context.Context, in *exchanger.Gather, permitAfter time.Duration) (*exchanger.Gathered, string) {
	s.t.Helper()
	job, refused := s.Admit(ctx, in)
	if refused.Code != "" {
		s.t.Fatalf("refused: %s", refused.Code)
	}
	if permitAfter == 0 {
		job.Allow(2)
	} else {
		time.AfterFunc(permitAfter, func() { job.Allow(2) })
	}
	var all exchanger.Gathered
	_ = job.Run(ctx, func(g *exchanger.Gathered) error {
		all.Parts = append(all.Parts, g.Parts...)
		all.Records = append(all.Records, g.Records...)
		all.Missing = append(all.Missing, g.Missing...)
		all.MayHaveRun = g.MayHaveRun
		return nil
	})
	if n := s.Gathers(); n != 0 {
		s.t.Errorf("%d queries are gathered after the last has ended, want 0", n)
	}
	var b strings.Builder
	for i := range 9 {
		for _, p := range all.Parts {
			if p.Shard == i {
				b.WriteString(string(rune('0' + i)))
			}
		}
	}
	slices.SortFunc(all.Missing, func(a, b exchanger.Missing) int { return a.Shard - b.Shard })
	for _, m := range all.Missing {
		b.WriteString(" without " + string(rune('0'+m.Shard)) + "x" + string(rune('0'+m.Attempts)))
	}
	return &all, b.String()
}

func TestGather(t *testing.T) {
	for _, tt := range []struct {
		name string
		in   *exchanger.Gather
		want string
	}{
		{"all shards", askFor(), "0123"},
		{"some shards", askFor(3, 1, 0), "013"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				g, parts := s.gatherFor(s.t.Context(), tt.in, 0)
				if parts != tt.want || len(g.Records) != 16*len(tt.want) {
					t.Errorf("parts %q with %d bytes of records, want %q with 16 bytes each", parts, len(g.Records), tt.want)
				}
				s.assertSent(len(tt.want))
			})
		})
	}
}

// TestGatherNeedsPermit checks that a daemon which gathers makes one attempt a shard until it has a permit for the
// others, both for a slow searcher and for one that fails: 2a answers late, 3a fails.
func TestGatherNeedsPermit(t *testing.T) {
	for _, tt := range []struct {
		name        string
		permitAfter time.Duration
		sent        int
		want        string
	}{
		{"permitted", 3 * time.Millisecond, 6, "0123"},
		{"permitted late", 60 * time.Millisecond, 6, "0123"},
		{"not permitted", never, 4, "03"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.behaviors["2a"] = replyAfter(300*time.Millisecond, goodReply("2a"))
				s.behaviors["3a"] = failWith(true, false)
				s.stats.budget("2", gatherer, time.Now()).AddTokens(9)
				in := askFor()
				in.Needed, in.Remaining = 2, 200*time.Millisecond
				_, parts := s.gatherFor(s.t.Context(), in, tt.permitAfter)
				if parts != tt.want {
					t.Errorf("parts %q, want %q", parts, tt.want)
				}
				s.assertSent(tt.sent)
			})
		})
	}
}

// TestGatherLeavesRest checks that shards whose searchers cannot be reached are left to the asking daemon, with their
// attempts, and those that have used all of them are not.
func TestGatherLeavesRest(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.stats.budget("2", gatherer, time.Now()).AddTokens(9)
		for _, id := range []string{"1a", "1b"} {
			s.behaviors[id] = failWith(false, true)
		}
		for _, id := range []string{"2a", "2b"} {
			s.behaviors[id] = failWith(true, false)
		}
		g, parts := s.gatherFor(s.t.Context(), askFor(), 0)
		if parts != "23 without 0x2 without 1x0" || !g.MayHaveRun {
			t.Errorf("parts %q, may have run %t, want two parts, and shard 0 missing with 2 attempts left", parts, g.MayHaveRun)
		}
	})
}

func TestGatherRefused(t *testing.T) {
	defined := askFor()
	defined.Version, defined.Definition = 9, &testRouting(4).Routes[0]
	other := askFor()
	other.Version = 9
	for _, tt := range []struct {
		name    string
		in      *exchanger.Gather
		prepare func(s *setup)
		want    exchanger.GatherCode
	}{
		{"another version", other, func(*setup) {}, exchanger.WrongVersion},
		{"another version, defined", defined, func(*setup) {}, ""},
		{"unknown shard", askFor(4), func(*setup) {}, exchanger.WrongVersion},
		{"leaving", askFor(), func(s *setup) { s.SetLeaving() }, exchanger.Leaving},
		{"busy", askFor(), func(s *setup) { s.gathers.Store(maxGathers) }, exchanger.Busy},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				tt.prepare(s)
				before := s.Gathers()
				job, refused := s.Admit(s.t.Context(), tt.in)
				if refused.Code != tt.want {
					t.Errorf("refused %q, want %q", refused.Code, tt.want)
				}
				if refused.Code == "" {
					_ = job.Run(s.t.Context(), func(*exchanger.Gathered) error { return nil })
				}
				if n := s.Gathers(); n != before {
					t.Errorf("%d queries counted as gathered, want %d", n, before)
				}
			})
		})
	}
}

// TestGatherCancelled checks that the exchanges of a query end when the asking daemon leaves.
func TestGatherCancelled(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		for _, id := range []string{"1a", "2a", "3a", "4a"} {
			s.behaviors[id] = replyAfter(never, nil)
		}
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Millisecond)
		defer cancel()
		s.gatherFor(ctx, askFor(), never)
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cancelled != 4 {
			t.Errorf("%d exchanges cancelled, want 4", s.cancelled)
		}
	})
}

// fakeDelegator is a daemon that gathers: it sends its messages after 20 ms, 10 ms apart.
type fakeDelegator struct {
	messages []*exchanger.Gathered
	result   delegator.Result
	// pause is an additional time before the first message.
	pause time.Duration
}

func (f *fakeDelegator) Reachable([]declarer.Member) bool { return true }

func (f *fakeDelegator) Delegate(_ context.Context, _ []declarer.Member, q *delegator.Query) delegator.Result {
	time.Sleep(f.pause + 10*time.Millisecond)
	for _, g := range f.messages {
		time.Sleep(10 * time.Millisecond)
		q.OnMessage(g)
	}
	return f.result
}

// parts returns a message with parts of these shards.
func parts(missing []exchanger.Missing, shards ...int) *exchanger.Gathered {
	g := &exchanger.Gathered{Missing: missing, MayHaveRun: true}
	for _, i := range shards {
		g.Parts = append(g.Parts, exchanger.Part{Shard: i, Stamp: "gathered"})
		g.Records = append(g.Records, "gathered--------"...)
	}
	return g
}

// TestDelegated checks the answers to a query that another daemon gathers, or does not.
func TestDelegated(t *testing.T) {
	final := delegator.Result{Final: true, Daemon: "m"}
	left := func(attempts int) []exchanger.Missing { return []exchanger.Missing{{Shard: 2, Attempts: attempts}} }
	type messages = []*exchanger.Gathered
	for _, tt := range []struct {
		name     string
		messages messages
		result   delegator.Result
		status   int
		// stamps is the number of parts in the answer, and sent the number of requests that this daemon sends itself.
		stamps, sent int
	}{
		{"complete", messages{parts(nil, 0, 1, 2, 3)}, final, http.StatusOK, 4, 0},
		{"complete with two messages", messages{parts(nil, 0, 1), parts(nil, 2, 3)}, final, http.StatusOK, 4, 0},
		{"covered", messages{parts(left(0), 0, 1, 3)}, final, http.StatusOK, 3, 0},
		{"shard not reached, not needed", messages{parts(left(1), 0, 1, 3)}, final, http.StatusOK, 3, 0},
		{"shard not reached", messages{parts([]exchanger.Missing{{Shard: 3}, {Shard: 2, Attempts: 1}}, 0, 1)}, final, http.StatusOK, 3, 1},
		{"too few", messages{parts([]exchanger.Missing{{Shard: 2}, {Shard: 3}}, 0, 1)}, final, http.StatusBadGateway, 0, 0},
		{"shard without a word", messages{parts(nil, 0, 1)}, final, http.StatusBadGateway, 0, 0},
		{"shard twice", messages{parts(nil, 0, 1, 2), parts(nil, 2, 3)}, final, http.StatusOK, 3, 0},
		{"nobody gathers", nil, delegator.Result{Attempts: 2}, http.StatusOK, 4, 4},
		{"silent daemon", nil, delegator.Result{Attempts: 1, MayHaveRun: true}, http.StatusOK, 4, 4},
		{"lost daemon", nil, delegator.Result{MayHaveRun: true}, http.StatusBadGateway, 0, 0},
		{"lost after parts", messages{parts(nil, 0, 1, 2)}, delegator.Result{MayHaveRun: true}, http.StatusOK, 3, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withForwarder(t, 4, func(s *setup) {
				s.gatherElsewhere()
				s.delegator = &fakeDelegator{messages: tt.messages, result: tt.result}
				// The budget must allow for the shard that is asked a second time.
				s.stats.cfg.ExtraSlack = 1000
				s.stats.askerBudget(&testRouting(4).Routes[0], time.Now()).AddTokens(1)
				a, _ := s.request(s.t.Context(), "/q/x", "")
				s.assertAnswer(a, tt.status)
				if len(a.Stamps) != tt.stamps || a.Status == http.StatusOK && a.Missing != 4-tt.stamps {
					t.Errorf("%d parts, %d missing, want %d parts of 4", len(a.Stamps), a.Missing, tt.stamps)
				}
				s.assertSent(tt.sent)
			})
		})
	}
}

// TestDelegatedRecords checks that the records of a shard that was not reached are merged with those gathered.
func TestDelegatedRecords(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.gatherElsewhere()
		missing := []exchanger.Missing{{Shard: 3}, {Shard: 2, Attempts: 1}}
		s.delegator = &fakeDelegator{messages: []*exchanger.Gathered{parts(missing, 0, 1)}, result: delegator.Result{Final: true}}
		s.stats.cfg.ExtraSlack = 1000
		s.stats.askerBudget(&testRouting(4).Routes[0], time.Now()).AddTokens(1)
		a, _ := s.request(s.t.Context(), "/q/x", "")
		if diff := cmp.Diff("gathered--------gathered--------3a              ", string(a.Body)); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
	})
}

// TestGatherHere checks that a daemon which gathers itself answers like one that asks, including a shard that comes after
// the goal.
func TestGatherHere(t *testing.T) {
	withForwarder(t, 4, func(s *setup) {
		s.gatherElsewhere()
		s.delegator = &fakeDelegator{}
		s.self.ID = s.views.View().GatherGroups(s.views.View().Matcher.Route("q"), "z", func([]declarer.Member) bool { return true })[0].Members[0].ID
		for _, id := range []string{"1a", "1b", "2a", "2b"} {
			s.behaviors[id] = replyAfter(300*time.Millisecond, goodReply(id))
		}
		a, took := s.request(s.t.Context(), "/q/x", "")
		s.assertAnswer(a, http.StatusOK)
		s.assertTook(took, 300*time.Millisecond, 320*time.Millisecond)
	})
}

// TestBudgetsOfGatherer checks that a daemon which gathers, and asks others for shards of other zones, keeps both budgets.
func TestBudgetsOfGatherer(t *testing.T) {
	s := newStats(Config{ExtraPercent: 17, ExtraSlack: 600, ExtraWindow: 10 * time.Second})
	s.setFleet(300, 10)
	rt := &declarer.Route{Shards: []string{"1"}}
	now := time.Unix(1000, 0)
	s.budget("1", gatherer, now).AddTokens(9)
	s.askerBudget(rt, now)
	b := s.budget("1", gatherer, now)
	taken := 0
	for b.Take() {
		taken++
	}
	if taken < 8 {
		t.Errorf("%d extra requests left to the gatherer after a query of its own, want 8 or more", taken)
	}
}
