package main_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/load/driver"
)

// balancer sends queries to the daemons in turn, as the platform's load balancer does, except to an excluded one.
type balancer struct {
	daemons  []*daemon
	next     atomic.Int64
	excluded atomic.Pointer[daemon]
	answered atomic.Int64
}

// Query sends one query to the next daemon.
func (b *balancer) Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error) {
	d := b.pick()
	var out answerer.Answer
	if err := requester.New("http://"+d.caller, httpClient).Do(ctx, http.MethodPost, "/v1/query", q, &out); err != nil {
		return nil, fmt.Errorf("%s: %w", d.id, err)
	}
	b.answered.Add(1)
	return &out, nil
}

func (b *balancer) pick() *daemon {
	for {
		d := b.daemons[b.next.Add(1)%int64(len(b.daemons))]
		if d != b.excluded.Load() {
			return d
		}
	}
}

// awaitAnswers waits until n more queries are answered.
func (b *balancer) awaitAnswers(t *testing.T, n int64) {
	t.Helper()
	want := b.answered.Load() + n
	eventually(t, startTimeout, func() error {
		if got := b.answered.Load(); got < want {
			return fmt.Errorf("%d answers, want %d", got, want)
		}
		return nil
	})
}

// baselineAnswers is the number of answers that underLoad awaits before and after it calls its function.
const baselineAnswers = 30

// underLoad calls fn while queries arrive at the daemons, and returns the report of their answers.
func underLoad(t *testing.T, daemons []*daemon, fn func(b *balancer)) *driver.Report {
	t.Helper()
	b := &balancer{daemons: daemons}
	cfg := driver.Config{
		Queriers: []driver.Querier{b}, Services: []string{"finder"},
		Rate: 60, Duration: 10 * startTimeout, AnswerTimeout: 10 * time.Second, Seed: 1,
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan *driver.Report, 1)
	go func() {
		report, err := driver.Run(ctx, cfg)
		if err != nil {
			t.Errorf("load: %v", err)
		}
		done <- report
	}()
	b.awaitAnswers(t, baselineAnswers)
	fn(b)
	b.awaitAnswers(t, baselineAnswers)
	stop()
	report := <-done
	t.Logf("load: %d sent, %d answered, %d complete, refused %v, missing %v, p99 %s", report.Sent, report.Answered, report.Complete, report.Refused, report.Missing, report.P99)
	return report
}

// assertAnswered fails the test when a query got no answer, a refusal, or a wrong answer.
func assertAnswered(t *testing.T, report *driver.Report) {
	t.Helper()
	got := map[string]int{"errors": report.Errors, "wrong": report.Wrong, "refused": len(report.Refused), "unanswered": report.Sent - report.Answered}
	want := map[string]int{"errors": 0, "wrong": 0, "refused": 0, "unanswered": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("queries without a right answer (-want +got):\n%s%v", diff, report.Refused)
	}
}
