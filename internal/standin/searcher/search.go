package searcher

import (
	"fmt"
	"net/http"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/standin/responder"
)

// maxBodyBytes is the largest body of POST /search and POST /run.
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

// check returns an error that describes the first invalid field, or nil.
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

// searchAnswer is the body of the answer to POST /search.
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

// search runs one sub-request.
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

// serveWork admits and runs one request. lookup returns the refusal of a shard or version that is not held, or status
// 0; onStart counts the start of the run; answer writes the answer.
func (s *Searcher) serveWork(
	w http.ResponseWriter, r *http.Request,
	lookup func() (int, refusal), onStart func(*Counts), answer func(),
) {
	ctx, cancel, err := deadlineContext(r)
	if err != nil {
		responder.Refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	defer cancel()
	on, _ := r.Context().Value(connKey{}).(*conn)
	status, reason := s.admit(on)
	if status != 0 {
		responder.Write(w, status, refusal{Reason: reason, Run: notRun})
		return
	}
	status, body := lookup()
	if status == 0 {
		status, body = s.execute(ctx, r.Context().Done(), onStart)
	}
	// finish comes before the answer is written: the caller may send its next request as soon as it reads the answer, and
	// this request must not count as in flight by then.
	s.finish(status == 0)
	if status != 0 {
		responder.Write(w, status, body)
		return
	}
	answer()
}

// lookup returns status 0 when the shard is held in the version, or the status and the body of the refusal.
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

// buildAnswer returns the correct answer to q in a version.
func (s *Searcher) buildAnswer(q *searchRequest, version uint64) searchAnswer {
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
