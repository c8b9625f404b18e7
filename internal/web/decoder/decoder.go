// Package decoder reads and writes the JSON bodies of the product's HTTP
// services. Bodies are bounded and decoded strictly, and a RefusalError names the
// invalid field.
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

// unknownFieldPrefix is the start of encoding/json's error message about an unknown field.
const unknownFieldPrefix = "json: unknown field "

// Decode decodes one JSON value of at most limit bytes from the request's body into v. It returns a
// *answerer.RefusalError when the body is too large, is not JSON, has an unknown field, or has more data after the value.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	return DecodeReader(http.MaxBytesReader(w, r.Body, limit), v)
}

// DecodeReader is Decode for a body whose size the caller has already limited.
func DecodeReader(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return refuse(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return badBody("unexpected data after the JSON value")
	}
	return nil
}

// Write writes v as JSON with the status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have disconnected; there is nobody to report the error to.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes err as a RefusalError. An error of another type becomes an internal refusal with an unknown outcome.
func WriteError(w http.ResponseWriter, err error) {
	var ref *answerer.RefusalError
	if !errors.As(err, &ref) {
		ref = &answerer.RefusalError{Code: answerer.CodeInternal, Reason: err.Error(), Outcome: answerer.Unknown}
	}
	Write(w, ref.Status(), ref)
}

// refuse returns the refusal for an error of decoding a body.
func refuse(err error) error {
	var (
		large  *http.MaxBytesError
		typ    *json.UnmarshalTypeError
		syntax *json.SyntaxError
		given  interface{ Evicted() bool }
	)
	switch {
	case errors.As(err, &given) && given.Evicted():
		return &answerer.RefusalError{Code: answerer.CodeNoMemory, Outcome: answerer.NotRun, Reason: err.Error()}
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
