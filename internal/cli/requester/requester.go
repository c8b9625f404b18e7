// Package requester calls the HTTP services of a daemon.
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

// maxAnswerBytes limits the part of an answer's body that is read.
const maxAnswerBytes = 16 << 20

// Requester is a client of one daemon.
type Requester struct {
	base string
	hc   *http.Client
}

// NoAnswerError is the error of a call to which the daemon gave no valid answer: the connection failed, the body cannot
// be decoded, or the status is an error without a refusal in the body.
type NoAnswerError struct {
	URL string
	Err error
}

// Error returns the URL of the call and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no valid answer from %s: %v", e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Err
}

// New returns a Requester that sends requests to the daemon at the base URL with hc.
func New(base string, hc *http.Client) *Requester {
	return &Requester{base: strings.TrimSuffix(base, "/"), hc: hc}
}

// Do sends a request with in as JSON body, or without a body if in is nil, and decodes the answer into out, unless out
// is nil. The error is an *answerer.RefusalError if the daemon refuses the request, and a *NoAnswerError if it gives no
// valid answer.
func (r *Requester) Do(ctx context.Context, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	url := r.base + path
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("create request to %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.hc.Do(req)
	if err != nil {
		return &NoAnswerError{URL: url, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &NoAnswerError{URL: url, Err: err}
	}
	return decode(url, resp.StatusCode, data, out)
}

func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	return bytes.NewReader(data), nil
}

func decode(url string, status int, data []byte, out any) error {
	if status >= http.StatusBadRequest {
		var ref answerer.RefusalError
		if err := json.Unmarshal(data, &ref); err != nil || ref.Code == "" {
			return &NoAnswerError{URL: url, Err: fmt.Errorf("status %d: %.200s", status, data)}
		}
		return &ref
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &NoAnswerError{URL: url, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}
