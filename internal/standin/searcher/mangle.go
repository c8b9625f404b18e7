package searcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/standin/responder"
)

// answerSearch writes the answer to q with the faults in force applied.
func (s *Searcher) answerSearch(w http.ResponseWriter, r *http.Request, q *searchRequest) {
	version := q.Version
	if s.consume(&s.faults.WrongVersion) {
		version++
	}
	a := s.buildAnswer(q, version)
	if s.consume(&s.faults.Duplicate) {
		a.Hits = duplicateHits(a.Hits)
	}
	a = s.crossAnswer(a)
	if s.consume(&s.faults.Late) {
		s.delayAnswer(r)
	}
	s.send(w, a)
}

// send writes an answer, truncated when that fault is in force. An even remaining count closes the connection.
func (s *Searcher) send(w http.ResponseWriter, a any) {
	s.mu.Lock()
	n := s.faults.Truncate
	s.mu.Unlock()
	if !s.consume(&s.faults.Truncate) {
		responder.Write(w, http.StatusOK, a)
		return
	}
	data, err := json.Marshal(a)
	if err != nil {
		responder.Refuse(w, http.StatusInternalServerError, "%v", err)
		return
	}
	closeConn := n%2 == 0
	if closeConn {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	// A write error means that the caller disconnected.
	_, _ = w.Write(data[:len(data)/2])
	if closeConn {
		_ = http.NewResponseController(w).Flush()
		// Makes net/http close the connection in the middle of the answer.
		panic(http.ErrAbortHandler)
	}
}

// crossAnswer returns a. With the Cross fault it returns the previous answer instead, or a with another attempt's ID
// when there is none.
func (s *Searcher) crossAnswer(a searchAnswer) searchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastAnswer
	s.lastAnswer = &a
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

// delayAnswer waits for LateBy or until the caller disconnects, regardless of the request's deadline.
func (s *Searcher) delayAnswer(r *http.Request) {
	t := time.NewTimer(s.Faults().LateBy.Duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// duplicateHits returns a list with each hit twice.
func duplicateHits(hits []answerer.Hit) []answerer.Hit {
	twice := make([]answerer.Hit, 0, 2*len(hits))
	for _, h := range hits {
		twice = append(twice, h, h)
	}
	return twice
}
