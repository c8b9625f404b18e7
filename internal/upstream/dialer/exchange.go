package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/limiter"
)

// Paths and headers of an upstream.
const (
	searchPath     = "/search"
	runPath        = "/run"
	deadlineHeader = "Deadline-Ms"
)

// exchange is one task on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	task    *exchanger.Task
	attempt string
	timeout time.Duration
	// sent is true from just before the first byte is written.
	sent atomic.Bool
	// began is when the request was handed to the connection.
	began time.Duration
}

// run sends the request and reads the answer.
func (x *exchange) run(ctx context.Context, body []byte) Outcome {
	left := x.timeout.Milliseconds()
	if left < 1 {
		x.conn.http.Release()
		return failed(x.task, exchanger.Late, limiter.Unused, "no time left to send")
	}
	if d, ok := ctx.Deadline(); !ok || time.Until(d) > x.timeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.timeout)
		defer cancel()
	}
	x.began = clock()
	x.conn.link.owe()
	res, err := x.conn.http.RoundTrip(x.request(ctx, body, left))
	if err != nil {
		return x.lost(ctx, err)
	}
	defer res.Body.Close()
	return x.answered(ctx, res)
}

// request builds the HTTP request. It carries no GetBody and no idempotency key,
// so that nothing can send it twice.
func (x *exchange) request(ctx context.Context, body []byte, left int64) *http.Request {
	path := searchPath
	if x.task.Once() {
		path = runPath
	}
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { x.sent.Store(true) },
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL:    x.client.url(path),
		Header: http.Header{
			"Content-Type": {"application/json"},
			deadlineHeader: {strconv.FormatInt(left, 10)},
		},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// url returns the URL of a path of the upstream.
func (c *Client) url(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: c.addr, Path: path}
}

// lost returns the outcome of a request that got no answer.
func (x *exchange) lost(ctx context.Context, err error) Outcome {
	out := Outcome{Result: exchanger.Result{ID: x.task.ID, Sent: x.sent.Load()}}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Result.Status = exchanger.Late
		out.Result.Reason = "deadline passed while it ran"
		out.Sample.Kind = limiter.Slow
	case ctx.Err() != nil:
		out.Result.Status = exchanger.Failed
		out.Result.Reason = "cancelled"
		out.Sample = limiter.Sample{Kind: limiter.Unused, Latency: clock() - x.began}
	case !out.Result.Sent:
		out.Result.Status = exchanger.Unreachable
		out.Result.Reason = fmt.Sprintf("send: %v", err)
		out.Sample.Kind = limiter.Reset
	default:
		out.Result.Status = exchanger.Failed
		out.Result.Reason = fmt.Sprintf("connection lost: %v", err)
		out.Sample.Kind = limiter.Reset
	}
	if out.Result.Sent {
		out.Hold = x.hold()
	}
	return out
}

// answered returns the outcome of a request that got an answer.
func (x *exchange) answered(ctx context.Context, res *http.Response) Outcome {
	if res.StatusCode != http.StatusOK {
		return x.refused(res)
	}
	out := Outcome{Result: exchanger.Result{ID: x.task.ID, Sent: true}}
	err := x.decode(res.Body, &out.Result)
	if err == nil {
		out.Sample = limiter.Sample{Kind: limiter.Success, Latency: clock() - x.began}
		return out
	}
	if ctx.Err() != nil || x.conn.http.Err() != nil {
		return x.lost(ctx, err)
	}
	x.client.pool.retire(x.conn)
	out.Result = exchanger.Result{ID: x.task.ID, Status: exchanger.Failed, Sent: true, Reason: err.Error()}
	out.Sample.Kind = limiter.Unused
	out.Invalid = true
	return out
}
