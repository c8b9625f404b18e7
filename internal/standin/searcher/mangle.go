package searcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/standin/responder"
)

// answerSearch writes the answer to q, with the faults that are in force.
func (s *Searcher) answerSearch(w http.ResponseWriter, r *http.Request, q *searchRequest) {
	version := q.Version
	if s.use(&s.faults.WrongVersion) {
		version++
	}
	a := s.answerOf(q, version)
	if s.use(&s.faults.Duplicate) {
		a.Hits = doubled(a.Hits)
	}
	a = s.crossed(a)
	if s.use(&s.faults.Late) {
		s.holdBack(r)
	}
	s.send(w, a)
}

// send writes an answer, cut short where the faults say so.
func (s *Searcher) send(w http.ResponseWriter, a any) {
	s.mu.Lock()
	n := s.faults.Truncate
	s.mu.Unlock()
	if !s.use(&s.faults.Truncate) {
		responder.Write(w, http.StatusOK, a)
		return
	}
	data, err := json.Marshal(a)
	if err != nil {
		responder.Refuse(w, http.StatusInternalServerError, "%v", err)
		return
	}
	isAborted := n%2 == 0
	if isAborted {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	// The caller may have gone.
	_, _ = w.Write(data[:len(data)/2])
	if isAborted {
		_ = http.NewResponseController(w).Flush()
		// The standard way to close a connection amid an answer.
		panic(http.ErrAbortHandler)
	}
}

// crossed returns a, or in its place the answer before it, or a with another
// attempt when there is none.
func (s *Searcher) crossed(a searchAnswer) searchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last
	s.last = &a
	if s.faults.Cross == 0 {
		return a
	}
	s.faults.Cross--
	if last != nil {
		return *last
	}
	wrong := a
	wrong.Attempt += "-other"
	return wrong
}

// holdBack waits for LateBy, whatever the request's deadline.
func (s *Searcher) holdBack(r *http.Request) {
	t := time.NewTimer(s.Faults().LateBy.Duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func doubled(hits []answerer.Hit) []answerer.Hit {
	twice := make([]answerer.Hit, 0, 2*len(hits))
	for _, h := range hits {
		twice = append(twice, h, h)
	}
	return twice
}
