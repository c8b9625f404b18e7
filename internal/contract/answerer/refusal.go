package answerer

import (
	"fmt"
	"net/http"
)

// Code is the kind of a refusal.
type Code string

// Codes of refusals.
const (
	CodeBadField   Code = "bad_field"
	CodeBadBody    Code = "bad_body"
	CodeTooLarge   Code = "too_large"
	CodeBadMethod  Code = "bad_method"
	CodeNoService  Code = "no_service"
	CodeNoConfig   Code = "no_config"
	CodeOverloaded Code = "overloaded"
	CodeNoSnapshot Code = "no_snapshot"
	CodeDeadline   Code = "deadline"
	CodeLeaving    Code = "leaving"
	CodeNoMemory   Code = "no_memory"
	CodeBadTicket  Code = "bad_ticket"
	CodeNoIssuer   Code = "no_issuer"
	CodeConflict   Code = "conflict"
	CodeNotFound   Code = "not_found"
	CodeNoPlatform Code = "no_platform"
	CodeUnsettled  Code = "unsettled"
	CodeInternal   Code = "internal"
)

// RefusalError is the error that callers and operators receive instead of an
// answer.
type RefusalError struct {
	Code Code `json:"code"`
	// Field is the invalid field, if there is one.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Outcome says whether the request was run.
	Outcome Outcome `json:"run"`
	Request string  `json:"request,omitempty"`
	// Version is the current version, for CodeConflict.
	Version uint64 `json:"version,omitempty"`
}

// Error returns the code, the field, the reason and the outcome.
func (r *RefusalError) Error() string {
	field := ""
	if r.Field != "" {
		field = fmt.Sprintf("field %q: ", r.Field)
	}
	return fmt.Sprintf("%s: %s%s (%s)", r.Code, field, r.Reason, r.Outcome)
}

// Status returns the HTTP status code of the refusal.
func (r *RefusalError) Status() int {
	switch r.Code {
	case CodeBadField, CodeBadBody, CodeBadTicket:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeBadMethod:
		return http.StatusMethodNotAllowed
	case CodeNoService, CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeDeadline, CodeUnsettled:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// badField returns the refusal of a request that was not run because a field is invalid.
func badField(request, field, reason string) error {
	return &RefusalError{Code: CodeBadField, Field: field, Reason: reason, Outcome: NotRun, Request: request}
}
