package searcher

import (
	"fmt"
	"net/http"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/standin/responder"
)

const maxBodyBytes = 64 << 10

// searchRequest is the body of POST /search.
type searchRequest struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Version uint64 `json:"version"`
	Terms   string `json:"terms"`
	Limit   int    `json:"limit"`
}

func (q *searchRequest) check(service string) error {
	switch {
	case q.Request == "" || q.Attempt == "":
		return fmt.Errorf("request and attempt: want ids, got %q and %q", q.Request, q.Attempt)
	case q.Service != service:
		return fmt.Errorf("service: want %q, got %q", service, q.Service)
	case q.Limit < 0:
		return fmt.Errorf("limit: want 0 or more, got %d", q.Limit)
	default:
		return nil
	}
}

// searchAnswer is the answer to POST /search.
type searchAnswer struct {
	Request   string         `json:"request"`
	Attempt   string         `json:"attempt"`
	Service   string         `json:"service"`
	Shard     int            `json:"shard"`
	Version   uint64         `json:"version"`
	Documents uint64         `json:"documents"`
	Oldest    uint64         `json:"oldest"`
	Newest    uint64         `json:"newest"`
	Hits      []answerer.Hit `json:"hits"`
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	var q searchRequest
	if !responder.Read(w, r, maxBodyBytes, &q) {
		return
	}
	if err := q.check(s.cfg.Service); err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	s.serveWork(w, r, func() (int, refusal) {
		return s.lookup(&q)
	}, func(c *Counts) {
		countID(c.Searches, q.Request)
	}, func() {
		s.answerSearch(w, r, &q)
	})
}

// serveWork runs one request's work: lookup refuses work for what is not held,
// note counts its start, and answer writes its answer.
func (s *Searcher) serveWork(
	w http.ResponseWriter, r *http.Request,
	lookup func() (int, refusal), note func(*Counts), answer func(),
) {
	ctx, cancel, err := deadlineContext(r)
	if err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	defer cancel()
	status, reason := s.admit()
	if status != 0 {
		responder.Write(w, status, refusal{Reason: reason, Run: notRun})
		return
	}
	status, body := lookup()
	if status == 0 {
		status, body = s.work(ctx, r.Context().Done(), note)
	}
	// The caller may send further work as soon as it reads the answer.
	s.leave(status == 0)
	if status != 0 {
		responder.Write(w, status, body)
		return
	}
	answer()
}

// lookup returns status 0 when the shard and the version are held.
func (s *Searcher) lookup(q *searchRequest) (int, refusal) {
	s.mu.Lock()
	oldest, newest := s.state.oldest, s.state.newest
	s.mu.Unlock()
	body := refusal{Run: notRun, Oldest: oldest, Newest: newest}
	if q.Version < oldest || q.Version > newest {
		body.Reason = fmt.Sprintf("version %d is not held", q.Version)
		return http.StatusGone, body
	}
	if !s.cfg.holds(q.Shard, q.Version) {
		body.Reason = fmt.Sprintf("shard %d is not held in version %d", q.Shard, q.Version)
		return http.StatusNotFound, body
	}
	return 0, refusal{}
}

// answerOf returns the right answer to q in a version.
func (s *Searcher) answerOf(q *searchRequest, version uint64) searchAnswer {
	s.mu.Lock()
	oldest, newest := s.state.oldest, s.state.newest
	s.mu.Unlock()
	return searchAnswer{
		Request:   q.Request,
		Attempt:   q.Attempt,
		Service:   q.Service,
		Shard:     q.Shard,
		Version:   version,
		Documents: DocumentCount(s.cfg.Documents, q.Shard, version),
		Oldest:    oldest,
		Newest:    newest,
		Hits:      Hits(q.Service, q.Shard, version, q.Terms, q.Limit),
	}
}
