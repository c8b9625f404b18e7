// Package responder reads and writes the JSON bodies of the stand-ins.
package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Fault is the body of an answer that refuses a request.
type Fault struct {
	Reason string `json:"reason"`
}

// Write sends v as the JSON body of an answer with the given status.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone is no fault of the stand-in.
	_, _ = w.Write(data)
}

// Refuse sends a Fault with the given status.
func Refuse(w http.ResponseWriter, status int, format string, args ...any) {
	Write(w, status, Fault{Reason: fmt.Sprintf(format, args...)})
}

// Read decodes a JSON body of at most limit bytes into v. It refuses the
// request and returns false when the body is malformed, has an unknown field
// or is larger.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("want one JSON value")
	}
	return accept(w, err)
}

// ReadRaw returns a JSON body of at most limit bytes. It refuses the request
// and returns false when the body is malformed or larger.
func ReadRaw(w http.ResponseWriter, r *http.Request, limit int64) (json.RawMessage, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil && !json.Valid(data) {
		err = errors.New("want a JSON value")
	}
	return data, accept(w, err)
}

func accept(w http.ResponseWriter, err error) bool {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &large):
		Refuse(w, http.StatusRequestEntityTooLarge, "body: want at most %d bytes", large.Limit)
	default:
		Refuse(w, http.StatusBadRequest, "body: %v", err)
	}
	return false
}
