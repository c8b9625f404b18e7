package commander

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/web/decoder"
)

const (
	// maxBodyBytes bounds the body of an operator's call. It is the platform's limit of an object.
	maxBodyBytes = 1 << 20
	// maxChangeBytes bounds the id of a change.
	maxChangeBytes = 64
)

// request is the body of every call that changes an object. Each call accepts some of its fields.
type request struct {
	// Change is the id that the operator chose for the change.
	Change string `json:"change"`
	// Version is the object's version that the change was made from.
	Version *uint64           `json:"version,omitempty"`
	Service *declarer.Service `json:"service,omitempty"`
	Zone    *declarer.Zone    `json:"zone,omitempty"`
	// Set holds new values of settings, by their keys.
	Set map[string]string `json:"set,omitempty"`
}

// fields holds which fields of a request a call accepts.
type fields struct {
	version, service, zone, set presence
}

// presence is whether a call refuses, requires or permits a field.
type presence int

const (
	refused presence = iota
	required
	optional
)

// decodeRequest decodes and checks the body of a call that changes an object.
func decodeRequest(r io.Reader, f fields) (*request, error) {
	var req request
	if err := decoder.DecodeReader(r, &req); err != nil {
		return nil, err
	}
	if err := checkChange(req.Change); err != nil {
		return nil, err
	}
	checks := []struct {
		field    string
		presence presence
		has      bool
	}{
		{"version", f.version, req.Version != nil},
		{"service", f.service, req.Service != nil},
		{"zone", f.zone, req.Zone != nil},
		{"set", f.set, len(req.Set) > 0},
	}
	for _, c := range checks {
		if c.presence == refused && c.has {
			return nil, refuse(answerer.CodeBadField, c.field, "the call does not accept this field")
		}
		if c.presence == required && !c.has {
			return nil, refuse(answerer.CodeBadField, c.field, "the call requires this field")
		}
	}
	return &req, nil
}

// checkChange checks that the id of a change consists of 1 to maxChangeBytes letters, digits, '-', '.' and '_'.
func checkChange(id string) error {
	if id == "" || len(id) > maxChangeBytes {
		return refuse(answerer.CodeBadField, "change", fmt.Sprintf("want 1 to %d bytes, got %d", maxChangeBytes, len(id)))
	}
	for _, r := range id {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("-._", r) {
			return refuse(answerer.CodeBadField, "change", fmt.Sprintf("want letters, digits, '-', '.' and '_', got %q", id))
		}
	}
	return nil
}

// invalidValue returns the refusal for an error of checking a declared value. It names the first invalid field, with the
// prefix.
func invalidValue(prefix string, err error) error {
	var fe *declarer.FieldError
	if errors.As(err, &fe) {
		return refuse(answerer.CodeBadField, prefix+fe.Field, fe.Reason)
	}
	return refuse(answerer.CodeBadBody, "", err.Error())
}
