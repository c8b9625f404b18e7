package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/limiter"
)

// Paths and headers of requests to an upstream.
const (
	searchPath     = "/search"
	runPath        = "/run"
	deadlineHeader = "Deadline-Ms"
)

// exchange is the attempt to run one task on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	task    *exchanger.Task
	attempt string
	timeout time.Duration
	// writes is the number of writes on the connection before the request.
	writes int64
	// began is when the request was passed to the connection.
	began time.Duration
}

// run sends the request and reads the answer.
func (x *exchange) run(ctx context.Context, body []byte) Outcome {
	left := x.timeout.Milliseconds()
	if left < 1 {
		x.conn.http.Release()
		return notSent(x.task, exchanger.DeadlineExceeded, limiter.Inconclusive, "no time left to send")
	}
	if d, ok := ctx.Deadline(); !ok || time.Until(d) > x.timeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.timeout)
		defer cancel()
	}
	x.began = monotonicNow()
	x.conn.link.startWaiting()
	x.writes = x.conn.link.writes.Load()
	res, err := x.conn.http.RoundTrip(x.request(ctx, body, left))
	if err != nil {
		return x.unanswered(ctx, err)
	}
	defer res.Body.Close()
	return x.answered(ctx, res)
}

// request builds the HTTP request. It has no GetBody function and no idempotency key, so
// that net/http cannot send it twice.
func (x *exchange) request(ctx context.Context, body []byte, left int64) *http.Request {
	path := searchPath
	if x.task.AtMostOnce() {
		path = runPath
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
	return req.WithContext(ctx)
}

// url returns the URL of a path of the upstream.
func (c *Client) url(path string) *url.URL {
	return &url.URL{Scheme: "http", Host: c.addr, Path: path}
}

// unanswered returns the outcome of a request that got no answer.
func (x *exchange) unanswered(ctx context.Context, err error) Outcome {
	out := Outcome{Result: exchanger.Result{ID: x.task.ID, Sent: x.mayBeSent(ctx)}}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Result.Status = exchanger.DeadlineExceeded
		out.Result.Reason = "deadline passed while the task ran"
		out.Sample = limiter.Sample{Kind: limiter.Slow, Latency: monotonicNow() - x.began}
	case ctx.Err() != nil:
		out.Result.Status = exchanger.Failed
		out.Result.Reason = "cancelled"
		out.Sample = limiter.Sample{Kind: limiter.Inconclusive, Latency: monotonicNow() - x.began}
	case !out.Result.Sent:
		out.Result.Status = exchanger.Unreachable
		out.Result.Reason = fmt.Sprintf("send request: %v", err)
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

// mayBeSent reports whether bytes of the request may have been sent, or may still be. When
// ctx ends, net/http returns before its writer does; when the connection fails, it returns
// after the writer.
func (x *exchange) mayBeSent(ctx context.Context) bool {
	return x.client.cfg.HTTP1 || ctx.Err() != nil || x.conn.link.writes.Load() != x.writes
}

// answered returns the outcome of a request that got an answer.
func (x *exchange) answered(ctx context.Context, res *http.Response) Outcome {
	if res.StatusCode != http.StatusOK {
		return x.mapStatus(res)
	}
	out := Outcome{Result: exchanger.Result{ID: x.task.ID, Sent: true}}
	err := x.decode(res.Body, &out.Result)
	if err == nil {
		out.Sample = limiter.Sample{Kind: limiter.Success, Latency: monotonicNow() - x.began}
		return out
	}
	if ctx.Err() != nil || x.conn.http.Err() != nil {
		return x.unanswered(ctx, err)
	}
	x.client.pool.retire(x.conn)
	out.Result = exchanger.Result{ID: x.task.ID, Status: exchanger.Failed, Sent: true, Reason: err.Error()}
	out.Sample.Kind = limiter.Inconclusive
	out.Invalid = true
	return out
}
