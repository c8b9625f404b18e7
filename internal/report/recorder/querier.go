package recorder

import (
	"context"
	"errors"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
)

// Next answers queries. It fails with a *answerer.RefusalError.
type Next interface {
	Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error)
}

// Views shows the current view.
type Views interface {
	View() *viewer.View
}

// Querier records each query that another querier answers.
type Querier struct {
	next  Next
	views Views
	rec   *Recorder
}

// NewQuerier returns a Querier that records the queries of next in rec, each
// under the contract of the view in force.
func NewQuerier(next Next, views Views, rec *Recorder) *Querier {
	return &Querier{next: next, views: views, rec: rec}
}

// Query answers with what next answers. Not recorded are refusals that are the
// caller's fault, queries whose own deadline is shorter than the contract's
// latency, and callers who left before that latency had passed.
func (r *Querier) Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error) {
	start := r.rec.now()
	a, err := r.next.Query(ctx, q)
	r.record(ctx, q, a, err, r.rec.now().Sub(start))
	return a, err
}

func (r *Querier) record(ctx context.Context, q *answerer.Query, a *answerer.Answer, err error, took time.Duration) {
	contract := r.contract(q.Service)
	if contract != nil && isOutside(ctx, q, contract, took) {
		return
	}
	switch {
	case err != nil:
		r.rec.refuse(q.Service, codeOf(err), contract)
	case contract == nil:
		// The service was deleted while the query ran.
	default:
		r.rec.Record(q.Service, *contract, took, a.Coverage.Fraction())
	}
}

func (r *Querier) contract(service string) *declarer.Contract {
	v := r.views.View()
	if v == nil {
		return nil
	}
	s := v.Services[service]
	if s == nil {
		return nil
	}
	return &s.Contract
}

// isOutside reports whether the caller gave the service less time than its
// contract asks for.
func isOutside(ctx context.Context, q *answerer.Query, contract *declarer.Contract, took time.Duration) bool {
	if q.Deadline != nil && q.Deadline.Duration < contract.Latency.Duration {
		return true
	}
	return errors.Is(ctx.Err(), context.Canceled) && took <= contract.Latency.Duration
}

// codeOf returns the code of a refusal; other errors are internal.
func codeOf(err error) answerer.Code {
	var ref *answerer.RefusalError
	if errors.As(err, &ref) {
		return ref.Code
	}
	return answerer.CodeInternal
}
