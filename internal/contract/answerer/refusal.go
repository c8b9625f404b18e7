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
	CodeBadTicket  Code = "bad_ticket"
	CodeNoIssuer   Code = "no_issuer"
	CodeConflict   Code = "conflict"
	CodeNotFound   Code = "not_found"
	CodeNoPlatform Code = "no_platform"
	CodeUnsettled  Code = "unsettled"
	CodeInternal   Code = "internal"
)

// RefusalError is the error that callers and operators receive in place of an
// answer.
type RefusalError struct {
	Code Code `json:"code"`
	// Field names the field at fault, if one is.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Outcome says whether the request was run.
	Outcome Outcome `json:"run"`
	Request string  `json:"request,omitempty"`
	// Version is the version in force, for CodeConflict.
	Version uint64 `json:"version,omitempty"`
}

// Error returns the code, the field, the reason, and whether the request was run.
func (r *RefusalError) Error() string {
	field := ""
	if r.Field != "" {
		field = fmt.Sprintf("field %q: ", r.Field)
	}
	return fmt.Sprintf("%s: %s%s (%s)", r.Code, field, r.Reason, r.Outcome)
}

// Status returns the HTTP status that goes with the refusal.
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

// badField refuses a request, not run, for the fault of one field.
func badField(request, field, reason string) error {
	return &RefusalError{Code: CodeBadField, Field: field, Reason: reason, Outcome: NotRun, Request: request}
}
