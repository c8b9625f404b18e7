// Package requester calls a daemon's HTTP services for the command line and the
// load tool.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cornelwood.example/internal/contract/answerer"
)

// maxAnswerBytes bounds an answer's body.
const maxAnswerBytes = 16 << 20

// Requester calls one daemon.
type Requester struct {
	base string
	hc   *http.Client
}

// UnreachableError says that a call got no answer from the daemon.
type UnreachableError struct {
	URL string
	Err error
}

// Error returns the URL and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// New returns a Requester for the daemon at the base URL.
func New(base string, hc *http.Client) *Requester {
	return &Requester{base: strings.TrimSuffix(base, "/"), hc: hc}
}

// Do sends in as JSON (nil for no body) and decodes the answer into out (nil to
// drop it). It fails with a *answerer.RefusalError when the daemon refuses, and
// with an *UnreachableError when there is no answer.
func (r *Requester) Do(ctx context.Context, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	url := r.base + path
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("request to %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.hc.Do(req)
	if err != nil {
		return &UnreachableError{URL: url, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &UnreachableError{URL: url, Err: err}
	}
	return decode(url, resp.StatusCode, data, out)
}

func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	return bytes.NewReader(data), nil
}

func decode(url string, status int, data []byte, out any) error {
	if status >= http.StatusBadRequest {
		var ref answerer.RefusalError
		if err := json.Unmarshal(data, &ref); err != nil || ref.Code == "" {
			return &UnreachableError{URL: url, Err: fmt.Errorf("status %d: %.200s", status, data)}
		}
		return &ref
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UnreachableError{URL: url, Err: fmt.Errorf("answer: %w", err)}
	}
	return nil
}
