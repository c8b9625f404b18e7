package dialer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cornelwood.example/internal/contract/exchanger"
	"cornelwood.example/internal/upstream/limiter"
)

// maxTries is the maximum number of connections tried for one task, as long as no byte of
// it was sent.
const maxTries = 3

// Admit is called right before a task is written to a connection. It returns the task's
// timeout, or the Result of a task that must not be sent any more.
type Admit func() (time.Duration, *exchanger.Result)

// Client sends tasks to one upstream. It is safe for concurrent use.
type Client struct {
	cfg  Config
	addr string
	pool *pool
}

// New returns a Client for the upstream at addr, and a function that closes its
// connections. It opens none before the first task.
func New(cfg Config, addr string, events Events) (*Client, func()) {
	p := newPool(cfg, addr, events)
	return &Client{cfg: cfg, addr: addr, pool: p}, p.close
}

// Outcome describes how a task ended.
type Outcome struct {
	Result exchanger.Result
	Sample limiter.Sample
	// Invalid is true when the answer was malformed or not to this task.
	Invalid bool
	// Hold is not nil while the upstream may still be running the task; its Wait
	// returns when it has stopped.
	Hold interface{ Wait() }
}

// Do sends one task and waits for its answer, for the cancellation of ctx, or for the
// timeout that admit returns.
func (c *Client) Do(ctx context.Context, t *exchanger.Task, admit Admit) Outcome {
	body, attempt, err := encode(t)
	if err != nil {
		return notSent(t, exchanger.Failed, limiter.Inconclusive, fmt.Sprintf("encode: %v", err))
	}
	for try := 1; ; try++ {
		cn, err := c.pool.acquire(ctx)
		if err != nil {
			return connectFailure(ctx, t, err)
		}
		timeout, refused := admit()
		if refused != nil {
			cn.http.Release()
			c.pool.release(cn)
			return Outcome{Result: *refused, Sample: limiter.Sample{Kind: limiter.Inconclusive}}
		}
		x := &exchange{client: c, conn: cn, task: t, attempt: attempt, timeout: timeout}
		out := x.run(ctx, body)
		c.pool.release(cn)
		if out.Result.Status != exchanger.Unreachable || try == maxTries {
			return out
		}
	}
}

// Get reads a JSON page of the upstream into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	cn, err := c.pool.acquire(ctx)
	if err != nil {
		return err
	}
	defer c.pool.release(cn)
	req := (&http.Request{Method: http.MethodGet, URL: c.url(path), Header: http.Header{}}).WithContext(ctx)
	cn.link.startWaiting()
	res, err := cn.http.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %d", path, res.StatusCode)
	}
	return decodeBody(res.Body, c.cfg.MaxBodyBytes, v)
}

// Open returns the number of open connections, including those being opened.
func (c *Client) Open() int {
	return c.pool.open()
}

// connectFailure returns the outcome of a task for which acquire returned err.
func connectFailure(ctx context.Context, t *exchanger.Task, err error) Outcome {
	var ue *UnreachableError
	switch {
	case errors.As(err, &ue):
		return notSent(t, exchanger.Unreachable, limiter.Reset, ue.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notSent(t, exchanger.DeadlineExceeded, limiter.Inconclusive, "deadline passed while connecting")
	default:
		return notSent(t, exchanger.Failed, limiter.Inconclusive, "cancelled while connecting")
	}
}

// notSent returns the outcome of a task that was not sent.
func notSent(t *exchanger.Task, s exchanger.Status, k limiter.Kind, reason string) Outcome {
	return Outcome{
		Result: exchanger.Result{ID: t.ID, Status: s, Reason: reason},
		Sample: limiter.Sample{Kind: k},
	}
}
