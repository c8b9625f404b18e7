// Package decoder reads and writes the JSON bodies of the system's HTTP
// services: bounded, strict, and with a RefusalError that names the field.
package decoder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cornelwood.example/internal/contract/answerer"
)

// unknownFieldPrefix opens encoding/json's message about an unknown field.
const unknownFieldPrefix = "json: unknown field "

// Decode reads one JSON value of at most limit bytes from the request's body
// into v. It returns a *answerer.RefusalError when the body is too large, is not
// JSON, has an unknown field, or goes on after the value.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	return DecodeReader(http.MaxBytesReader(w, r.Body, limit), v)
}

// DecodeReader is Decode for a body that is bounded already.
func DecodeReader(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return refuse(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return badBody("the body goes on after the JSON value")
	}
	return nil
}

// Write writes v as JSON with the status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes err as a RefusalError. Other errors become an internal
// refusal whose run is unknown.
func WriteError(w http.ResponseWriter, err error) {
	var ref *answerer.RefusalError
	if !errors.As(err, &ref) {
		ref = &answerer.RefusalError{Code: answerer.CodeInternal, Reason: err.Error(), Outcome: answerer.Unknown}
	}
	Write(w, ref.Status(), ref)
}

func refuse(err error) error {
	var (
		large  *http.MaxBytesError
		typ    *json.UnmarshalTypeError
		syntax *json.SyntaxError
	)
	switch {
	case errors.As(err, &large):
		return &answerer.RefusalError{
			Code: answerer.CodeTooLarge, Outcome: answerer.NotRun,
			Reason: fmt.Sprintf("want a body of at most %d bytes", large.Limit),
		}
	case errors.As(err, &typ):
		return badField(typ.Field, fmt.Sprintf("want %s, got %s", typ.Type, typ.Value))
	case errors.As(err, &syntax):
		return badBody(fmt.Sprintf("not JSON at byte %d: %v", syntax.Offset, err))
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		name := strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`)
		return badField(name, "unknown field")
	default:
		return badBody(fmt.Sprintf("cannot read the body: %v", err))
	}
}

func badField(field, reason string) error {
	return &answerer.RefusalError{Code: answerer.CodeBadField, Field: field, Reason: reason, Outcome: answerer.NotRun}
}

func badBody(reason string) error {
	return &answerer.RefusalError{Code: answerer.CodeBadBody, Reason: reason, Outcome: answerer.NotRun}
}
