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
	// maxBodyBytes bounds the body of an operator's call: an object of the platform.
	maxBodyBytes = 1 << 20
	// maxChangeBytes bounds the id of a change.
	maxChangeBytes = 64
)

// request is the body of every call that changes something. Each call accepts
// some of its fields.
type request struct {
	// Change is the operator's own id of the change.
	Change  string            `json:"change"`
	Version *uint64           `json:"version,omitempty"`
	Service *declarer.Service `json:"service,omitempty"`
	Zone    *declarer.Zone    `json:"zone,omitempty"`
	// Set holds settings by their keys.
	Set map[string]string `json:"set,omitempty"`
}

// fields says which fields of a request a call wants.
type fields struct {
	version, service, zone, set use
}

// use says whether a field is refused, wanted or may stand.
type use int

const (
	refused use = iota
	wanted
	optional
)

// decodeRequest reads and checks the body of a call that changes something.
func decodeRequest(r io.Reader, f fields) (*request, error) {
	var req request
	if err := decoder.DecodeReader(r, &req); err != nil {
		return nil, err
	}
	if err := checkChange(req.Change); err != nil {
		return nil, err
	}
	checks := []struct {
		field string
		use   use
		has   bool
	}{
		{"version", f.version, req.Version != nil},
		{"service", f.service, req.Service != nil},
		{"zone", f.zone, req.Zone != nil},
		{"set", f.set, len(req.Set) > 0},
	}
	for _, c := range checks {
		if c.use == refused && c.has {
			return nil, refuse(answerer.CodeBadField, c.field, "the call does not take this field")
		}
		if c.use == wanted && !c.has {
			return nil, refuse(answerer.CodeBadField, c.field, "the call wants this field")
		}
	}
	return &req, nil
}

// checkChange accepts ids of letters, digits, '-', '.' and '_'.
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

// checkRefusal turns the faults of a declared value into a refusal that names
// the first field.
func checkRefusal(prefix string, err error) error {
	var fe *declarer.FieldError
	if errors.As(err, &fe) {
		return refuse(answerer.CodeBadField, prefix+fe.Field, fe.Reason)
	}
	return refuse(answerer.CodeBadBody, "", err.Error())
}
