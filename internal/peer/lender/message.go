package lender

import (
	"fmt"
	"math"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// Record is the content of the lease.
type Record struct {
	// Holder is the lender; its ID is empty when the lease was released. Term is the holder's process.
	Holder declarer.Member `json:"holder"`
	Term   uint64          `json:"term"`
	// Sequence is the number of the write, and Held the time for which the holder had held the lease then.
	Sequence uint64        `json:"sequence"`
	Held     time.Duration `json:"held"`
	// Successor may replace the holder once it no longer acknowledges the holder's pings; nil when there is none.
	Successor *declarer.Member `json:"successor,omitempty"`
}

// Check validates the record. It returns the first error, or nil.
func (r *Record) Check() error {
	if r.Held < 0 {
		return &declarer.FieldError{Field: "held", Reason: fmt.Sprintf("want 0 or more, got %s", r.Held)}
	}
	if r.Holder.ID != "" {
		if err := r.Holder.Check(); err != nil {
			return fmt.Errorf("holder: %w", err)
		}
	}
	if r.Successor != nil {
		if err := r.Successor.Check(); err != nil {
			return fmt.Errorf("successor: %w", err)
		}
	}
	return nil
}

// names reports whether the record names a daemon as the successor.
func (r *Record) names(id string) bool {
	return r.Successor != nil && r.Successor.ID == id
}

// Lease is a record and its revision in the store; revision 0 means that there is none.
type Lease struct {
	Record   Record `json:"record"`
	Revision uint64 `json:"revision"`
}

// Check validates the lease. It returns the first error, or nil.
func (l *Lease) Check() error {
	return l.Record.Check()
}

// ConflictError reports that a lease was not written since the stored one is another.
type ConflictError struct {
	// Current is the stored lease; its revision is 0 when there is none.
	Current Lease
}

// Error returns the holder and the revision of the stored lease.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the lease is held by %q at revision %d", e.Current.Record.Holder.ID, e.Current.Revision)
}

// Limit is an account's limit, of a version of the desired state.
type Limit struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Version uint64  `json:"version"`
}

// Check validates the limit. It returns the first error, or nil.
func (l *Limit) Check() error {
	switch {
	case l.Account == "":
		return &declarer.FieldError{Field: "account", Reason: "want a name"}
	case !(l.Rate > 0) || math.IsInf(l.Rate, 0) || !(l.Burst >= 0) || math.IsInf(l.Burst, 0):
		return &declarer.FieldError{Field: "rate", Reason: fmt.Sprintf("want a rate above 0 and a burst of 0 or more, got %g and %g", l.Rate, l.Burst)}
	default:
		return nil
	}
}

// returned are tokens of one grant that were not used.
type returned struct {
	Account string `json:"account"`
	Grant   uint64 `json:"grant"`
	Count   int    `json:"count"`
}

// maxReturns bounds the returns in one call.
const maxReturns = 64

// takeRequest asks for tokens of an account, or only returns tokens when Limit is nil.
type takeRequest struct {
	Limit *Limit `json:"limit,omitempty"`
	// Ahead is the number of tokens wanted in addition to the one that is needed now.
	Ahead int `json:"ahead,omitempty"`
	// Local asks a daemon of the own zone to grant a token when there is no lender.
	Local   bool       `json:"local,omitempty"`
	Returns []returned `json:"returns,omitempty"`
}

// Check validates the request. It returns the first error, or nil.
func (t *takeRequest) Check() error {
	if t.Ahead < 0 || len(t.Returns) > maxReturns {
		return &declarer.FieldError{Field: "ahead", Reason: fmt.Sprintf("want 0 or more and at most %d returns, got %d and %d", maxReturns, t.Ahead, len(t.Returns))}
	}
	for _, r := range t.Returns {
		if r.Count < 1 {
			return &declarer.FieldError{Field: "returns", Reason: fmt.Sprintf("want counts of 1 or more, got %d", r.Count)}
		}
	}
	if t.Limit == nil {
		return nil
	}
	return t.Limit.Check()
}

// takeResponse is the answer to a takeRequest.
type takeResponse struct {
	// IsLender is true when the daemon decided as the lender.
	IsLender bool `json:"lender,omitempty"`
	// Count is the number of tokens granted, and Grant the number of the grant.
	Count int    `json:"count,omitempty"`
	Grant uint64 `json:"grant,omitempty"`
	// Wait is the time until there is room, and Exceeded true when the account is known to be above its limit.
	Wait     time.Duration `json:"wait,omitempty"`
	Exceeded bool          `json:"exceeded,omitempty"`
	// Lease is the newest lease that the daemon has seen.
	Lease Lease `json:"lease"`
}

// Check validates the response. It returns the first error, or nil.
func (t *takeResponse) Check() error {
	if t.Count < 0 || t.Wait < 0 {
		return &declarer.FieldError{Field: "count", Reason: fmt.Sprintf("want a count and a wait of 0 or more, got %d and %s", t.Count, t.Wait)}
	}
	return t.Lease.Check()
}

// ping tells a daemon of the lender.
type ping struct {
	Lease Lease `json:"lease"`
	// Nominee is true when the receiver is, or will be, named as the successor.
	Nominee bool `json:"nominee,omitempty"`
}

// Check validates the message. It returns the first error, or nil.
func (p *ping) Check() error {
	return p.Lease.Check()
}

// pong is the answer to a ping.
type pong struct {
	// Accept is true when the receiver will not replace the lender for the takeover time.
	Accept bool `json:"accept,omitempty"`
}
