// Package responder reads and writes the JSON bodies of the stand-ins.
package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrorBody is the body of an answer that refuses a request.
type ErrorBody struct {
	Reason string `json:"reason"`
}

// Write sends v as the JSON body of an answer with the given status, or status 500 when v cannot be encoded.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller disconnected.
	_, _ = w.Write(data)
}

// Refuse sends an ErrorBody with the given status; its reason is formatted as by fmt.Sprintf.
func Refuse(w http.ResponseWriter, status int, format string, args ...any) {
	Write(w, status, ErrorBody{Reason: fmt.Sprintf(format, args...)})
}

// Read decodes a JSON body of at most limit bytes into v. When the body is malformed or has an unknown field it answers
// with status 400, when it is larger with status 413, and returns false.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("want one JSON value")
	}
	return checkBodyError(w, err)
}

// ReadRaw returns a JSON body of at most limit bytes. When the body is malformed it answers with status 400, when it is
// larger with status 413, and returns false.
func ReadRaw(w http.ResponseWriter, r *http.Request, limit int64) (json.RawMessage, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil && !json.Valid(data) {
		err = errors.New("want a JSON value")
	}
	return data, checkBodyError(w, err)
}

// checkBodyError returns true when err is nil, and otherwise refuses the request and returns false.
func checkBodyError(w http.ResponseWriter, err error) bool {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		Refuse(w, http.StatusRequestEntityTooLarge, "body: want at most %d bytes", tooLarge.Limit)
	default:
		Refuse(w, http.StatusBadRequest, "body: %v", err)
	}
	return false
}
