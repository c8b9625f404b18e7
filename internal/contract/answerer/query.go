package answerer

import (
	"fmt"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Bounds of a caller's request.
const (
	// MaxBodyBytes bounds the encoded body.
	MaxBodyBytes    = 64 << 10
	maxTermsBytes   = 4 << 10
	maxRequestBytes = 128
	maxLimit        = 1000
	defaultLimit    = 10
	maxDeadline     = 60 * time.Second
)

// Query is a search request.
type Query struct {
	// Request is the request id that the caller chose; the daemon generates one when
	// it is empty.
	Request string `json:"request,omitempty"`
	Service string `json:"service"`
	Terms   string `json:"terms"`
	// Limit is the number of results wanted; 0 means 10.
	Limit int `json:"limit,omitempty"`
	// Deadline is the time left for the answer; nil means the deadline of the service's
	// contract.
	Deadline *declarer.Duration `json:"deadline,omitempty"`
}

// Check sets defaults and validates the query. It returns the first invalid field as
// a *RefusalError, or nil.
func (q *Query) Check() error {
	if q.Service == "" {
		return badField(q.Request, "service", "want the name of a service")
	}
	if len(q.Request) > maxRequestBytes {
		return badField("", "request", fmt.Sprintf("want at most %d bytes, got %d", maxRequestBytes, len(q.Request)))
	}
	if len(q.Terms) > maxTermsBytes {
		return badField(q.Request, "terms", fmt.Sprintf("want at most %d bytes, got %d", maxTermsBytes, len(q.Terms)))
	}
	if q.Limit == 0 {
		q.Limit = defaultLimit
	}
	if q.Limit < 1 || q.Limit > maxLimit {
		return badField(q.Request, "limit", fmt.Sprintf("want 1 to %d, got %d", maxLimit, q.Limit))
	}
	if q.Deadline != nil && (q.Deadline.Duration <= 0 || q.Deadline.Duration > maxDeadline) {
		return badField(q.Request, "deadline", fmt.Sprintf("want above 0 and at most %s, got %s", maxDeadline, q.Deadline))
	}
	return nil
}
