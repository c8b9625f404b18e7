// Package receiver serves callers over HTTP: queries, tickets, runs, and the load
// balancer's checks.
package receiver

import (
	"context"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/web/decoder"
)

// Querier answers queries. It fails with a *answerer.RefusalError.
type Querier interface {
	Query(ctx context.Context, q *answerer.Query) (*answerer.Answer, error)
}

// Ticketer issues and runs tickets. It fails with a *answerer.RefusalError.
type Ticketer interface {
	Issue(service string) (answerer.Ticket, error)
	Run(ctx context.Context, r answerer.Run) (answerer.RunResult, error)
}

// Checker provides the results of the load balancer's checks.
type Checker interface {
	// Ready reports whether this instance accepts new callers, and otherwise the reason.
	Ready() (bool, string)
	// Live reports whether the control goroutine responds before ctx ends.
	Live(ctx context.Context) bool
}

// Limits of a caller's connection and calls.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// runTimeout bounds how long a caller waits for the result of a run.
	runTimeout = time.Minute
	// liveTimeout bounds how long the control goroutine may take to respond.
	liveTimeout = 2 * time.Second
)

// Receiver is the HTTP handler for callers.
type Receiver struct {
	mux      *http.ServeMux
	querier  Querier
	ticketer Ticketer
	checker  Checker
}

// New returns a Receiver; metrics serves /metrics.
func New(querier Querier, ticketer Ticketer, checker Checker, metrics http.Handler) *Receiver {
	r := &Receiver{mux: http.NewServeMux(), querier: querier, ticketer: ticketer, checker: checker}
	r.mux.HandleFunc("/v1/query", r.query)
	r.mux.HandleFunc("/v1/ticket", r.ticket)
	r.mux.HandleFunc("/v1/run", r.run)
	r.mux.HandleFunc("GET /ready", r.ready)
	r.mux.HandleFunc("GET /live", r.live)
	r.mux.Handle("GET /metrics", metrics)
	r.mux.HandleFunc("/", r.notFound)
	return r
}

// Server returns an HTTP server for the handler, with timeouts against slow callers.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP serves one call.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mux.ServeHTTP(w, req)
}

func (r *Receiver) query(w http.ResponseWriter, req *http.Request) {
	var q answerer.Query
	if !decodePost(w, req, &q) {
		return
	}
	if err := q.Check(); err != nil {
		decoder.WriteError(w, err)
		return
	}
	a, err := r.querier.Query(req.Context(), &q)
	if err != nil {
		decoder.WriteError(w, err)
		return
	}
	decoder.Write(w, http.StatusOK, a)
}

func (r *Receiver) ticket(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Service string `json:"service"`
	}
	if !decodePost(w, req, &in) {
		return
	}
	tk, err := r.ticketer.Issue(in.Service)
	if err != nil {
		decoder.WriteError(w, err)
		return
	}
	decoder.Write(w, http.StatusOK, tk)
}

func (r *Receiver) run(w http.ResponseWriter, req *http.Request) {
	var in answerer.Run
	if !decodePost(w, req, &in) {
		return
	}
	if err := in.Check(); err != nil {
		decoder.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), runTimeout)
	defer cancel()
	res, err := r.ticketer.Run(ctx, in)
	if err != nil {
		decoder.WriteError(w, err)
		return
	}
	decoder.Write(w, http.StatusOK, res)
}

func (r *Receiver) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := r.checker.Ready()
	writeCheck(w, ok, reason)
}

func (r *Receiver) live(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), liveTimeout)
	defer cancel()
	writeCheck(w, r.checker.Live(ctx), "the control goroutine does not respond")
}

func (r *Receiver) notFound(w http.ResponseWriter, req *http.Request) {
	decoder.WriteError(w, &answerer.RefusalError{
		Code: answerer.CodeNotFound, Field: "path", Outcome: answerer.NotRun,
		Reason: "no endpoint for " + req.Method + " " + req.URL.Path,
	})
}

// decodePost checks that the method is POST and decodes the body into v. When it returns false it has written a refusal.
func decodePost(w http.ResponseWriter, req *http.Request, v any) bool {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		decoder.WriteError(w, &answerer.RefusalError{
			Code: answerer.CodeBadMethod, Field: "method", Outcome: answerer.NotRun,
			Reason: "want POST, got " + req.Method,
		})
		return false
	}
	if err := decoder.Decode(w, req, answerer.MaxBodyBytes, v); err != nil {
		decoder.WriteError(w, err)
		return false
	}
	return true
}

// checkResult is the answer to one of the load balancer's checks.
type checkResult struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

func writeCheck(w http.ResponseWriter, ok bool, reason string) {
	if ok {
		decoder.Write(w, http.StatusOK, checkResult{OK: true})
		return
	}
	decoder.Write(w, http.StatusServiceUnavailable, checkResult{Reason: reason})
}
