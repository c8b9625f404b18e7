package dialer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/limiter"
)

// InvalidAnswerError means that an answer does not fit the request.
type InvalidAnswerError struct {
	// Field is the field whose value is wrong.
	Field     string
	Want, Got string
}

// Error returns the field, and its expected and actual value.
func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("answer has wrong %s: want %q, got %q", e.Field, e.Want, e.Got)
}

// searchReply is the answer to POST /search.
type searchReply struct {
	Request   string         `json:"request"`
	Attempt   string         `json:"attempt"`
	Service   string         `json:"service"`
	Shard     int            `json:"shard"`
	Version   uint64         `json:"version"`
	Documents uint64         `json:"documents"`
	Oldest    uint64         `json:"oldest"`
	Newest    uint64         `json:"newest"`
	Hits      []answerer.Hit `json:"hits"`
}

// runReply is the answer to POST /run.
type runReply struct {
	Request string          `json:"request"`
	Reply   json.RawMessage `json:"reply"`
}

// versionRange is the body of a 410 response: the snapshot versions that the upstream holds.
type versionRange struct {
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

// decode reads the answer into r. It fails when the answer is malformed or not to the task.
func (x *exchange) decode(body io.Reader, r *exchanger.Result) error {
	if x.task.AtMostOnce() {
		return x.decodeRun(body, r)
	}
	var a searchReply
	if err := decodeBody(body, x.client.cfg.MaxBodyBytes, &a); err != nil {
		return err
	}
	if err := x.check(&a); err != nil {
		return err
	}
	for i := range a.Hits {
		a.Hits[i].Shard = x.task.Shard
	}
	r.Version, r.Documents, r.Hits = a.Version, a.Documents, a.Hits
	r.Oldest, r.Newest = a.Oldest, a.Newest
	return nil
}

func (x *exchange) decodeRun(body io.Reader, r *exchanger.Result) error {
	var a runReply
	if err := decodeBody(body, x.client.cfg.MaxBodyBytes, &a); err != nil {
		return err
	}
	if a.Request != x.task.Request {
		return &InvalidAnswerError{Field: "request", Want: x.task.Request, Got: a.Request}
	}
	r.Reply = a.Reply
	return nil
}

// check returns an *InvalidAnswerError when the answer does not fit the task.
func (x *exchange) check(a *searchReply) error {
	t := x.task
	switch {
	case a.Request != t.Request:
		return &InvalidAnswerError{Field: "request", Want: t.Request, Got: a.Request}
	case a.Attempt != x.attempt:
		return &InvalidAnswerError{Field: "attempt", Want: x.attempt, Got: a.Attempt}
	case a.Service != t.Service:
		return &InvalidAnswerError{Field: "service", Want: t.Service, Got: a.Service}
	case a.Shard != t.Shard:
		return &InvalidAnswerError{Field: "shard", Want: fmt.Sprint(t.Shard), Got: fmt.Sprint(a.Shard)}
	case a.Version != t.Version:
		return &InvalidAnswerError{Field: "version", Want: fmt.Sprint(t.Version), Got: fmt.Sprint(a.Version)}
	case t.Limit > 0 && len(a.Hits) > t.Limit:
		return &InvalidAnswerError{Field: "hits", Want: fmt.Sprintf("at most %d", t.Limit), Got: fmt.Sprint(len(a.Hits))}
	default:
		return nil
	}
}

// mapStatus maps a status other than 200 to an outcome.
func (x *exchange) mapStatus(res *http.Response) Outcome {
	out := Outcome{Result: exchanger.Result{
		ID:     x.task.ID,
		Sent:   true,
		Reason: fmt.Sprintf("upstream answered %s", res.Status),
	}}
	out.Sample.Kind = limiter.Inconclusive
	switch res.StatusCode {
	case http.StatusGone:
		var h versionRange
		if decodeBody(res.Body, x.client.cfg.MaxBodyBytes, &h) == nil {
			out.Result.Oldest, out.Result.Newest = h.Oldest, h.Newest
		}
		out.Result.Status = exchanger.VersionUnavailable
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Result.Status = exchanger.Shed
		out.Sample.Kind = limiter.Shed
	case http.StatusConflict:
		out.Result.Status = exchanger.UpstreamOut
		out.Result.Reason = "upstream is draining"
		out.Sample.Kind = limiter.Draining
	case http.StatusGatewayTimeout:
		out.Result.Status = exchanger.DeadlineExceeded
		out.Sample = limiter.Sample{Kind: limiter.Slow, Latency: monotonicNow() - x.began}
	default:
		out.Result.Status = exchanger.Failed
	}
	return out
}

// decodeBody reads one JSON value of at most limit bytes.
func decodeBody(body io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if int64(len(data)) > limit {
		return &InvalidAnswerError{Field: "body", Want: fmt.Sprintf("at most %d bytes", limit), Got: "more"}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
