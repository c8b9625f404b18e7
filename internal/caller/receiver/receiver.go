// Package receiver serves callers over HTTP: queries, tickets, runs, and the
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

// Checker tells the balancer how this instance is.
type Checker interface {
	// Ready reports whether new callers are welcome, and else why not.
	Ready() (bool, string)
	// Live reports whether the control goroutine turns.
	Live(ctx context.Context) bool
}

// Bounds of a caller's connection.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	// runWait bounds how long a caller is kept waiting for a run.
	runWait = time.Minute
	// liveWait bounds how long the control goroutine may take to turn.
	liveWait = 2 * time.Second
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

// Server returns an HTTP server for the handler, with bounds on slow callers.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// ServeHTTP serves one call.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mux.ServeHTTP(w, req)
}

func (r *Receiver) query(w http.ResponseWriter, req *http.Request) {
	var q answerer.Query
	if !accept(w, req, &q) {
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
	if !accept(w, req, &in) {
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
	if !accept(w, req, &in) {
		return
	}
	if err := in.Check(); err != nil {
		decoder.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), runWait)
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
	ctx, cancel := context.WithTimeout(req.Context(), liveWait)
	defer cancel()
	writeCheck(w, r.checker.Live(ctx), "the control goroutine does not turn")
}

func (r *Receiver) notFound(w http.ResponseWriter, req *http.Request) {
	decoder.WriteError(w, &answerer.RefusalError{
		Code: answerer.CodeNotFound, Field: "path", Outcome: answerer.NotRun,
		Reason: "no call " + req.Method + " " + req.URL.Path,
	})
}

// accept checks the method and decodes the body; it writes the refusal itself.
func accept(w http.ResponseWriter, req *http.Request, v any) bool {
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

// check is the answer to the balancer's checks.
type check struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

func writeCheck(w http.ResponseWriter, ok bool, reason string) {
	if ok {
		decoder.Write(w, http.StatusOK, check{OK: true})
		return
	}
	decoder.Write(w, http.StatusServiceUnavailable, check{Reason: reason})
}
