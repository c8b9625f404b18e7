package recorder

import (
	"context"
	"errors"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/viewer"
)

// NextQuerier answers queries. Its errors are of type *answerer.RefusalError.
type NextQuerier interface {
	Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error)
}

// Views provides the view in force, nil while there is none.
type Views interface {
	View() *viewer.View
}

// Querier passes queries to another querier and records their outcomes.
type Querier struct {
	next  NextQuerier
	views Views
	rec   *Recorder
}

// NewQuerier returns a Querier that records the queries of next in rec, each
// under the contract of the view in force.
func NewQuerier(next NextQuerier, views Views, rec *Recorder) *Querier {
	return &Querier{next: next, views: views, rec: rec}
}

// Query returns the result of the next querier and records it. It does not record
// refusals that are the caller's fault, queries whose own deadline is shorter than
// the contract's latency, and queries that the caller cancelled before that latency
// had passed.
func (r *Querier) Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error) {
	start := r.rec.now()
	a, err := r.next.Query(ctx, q)
	r.record(ctx, q, a, err, r.rec.now().Sub(start))
	return a, err
}

func (r *Querier) record(ctx context.Context, q *answerer.Query, a *answerer.Answer, err error, latency time.Duration) {
	contract := r.contract(q.Service)
	if contract != nil && hasTooLittleTime(ctx, q, contract, latency) {
		return
	}
	switch {
	case err != nil:
		r.rec.recordRefusal(q.Service, codeOf(err), contract)
	case contract == nil:
		// The service was deleted while the query ran.
	default:
		r.rec.Record(q.Service, *contract, latency, a.Coverage.Fraction())
	}
}

// contract returns the service's contract in the view in force, nil when there is none.
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

// hasTooLittleTime reports whether the caller allowed the query less time than the
// contract's latency, by its deadline or by cancelling it.
func hasTooLittleTime(ctx context.Context, q *answerer.Query, contract *declarer.Contract, latency time.Duration) bool {
	if q.Deadline != nil && q.Deadline.Duration < contract.Latency.Duration {
		return true
	}
	return errors.Is(ctx.Err(), context.Canceled) && latency <= contract.Latency.Duration
}

// codeOf returns the code of a refusal, and CodeInternal for any other error.
func codeOf(err error) answerer.Code {
	var ref *answerer.RefusalError
	if errors.As(err, &ref) {
		return ref.Code
	}
	return answerer.CodeInternal
}
