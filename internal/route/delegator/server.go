package delegator

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

// Job is a query that a daemon gathers for another.
type Job interface {
	// Allow permits n attempts for each shard. Before, one is permitted. Any goroutine may call it.
	Allow(n int)
	// Stop ends the job with the answer so far. Any goroutine may call it.
	Stop()
	// Run gathers the query and passes the messages with parts to send, the last one as its end. ctx is cancelled when
	// nobody waits for them any more.
	Run(ctx context.Context, send func(*exchanger.Gathered) error) error
}

// Gatherer gathers queries for other daemons.
type Gatherer interface {
	// Admit returns the job of a query, or the reason for which it is refused. It decides early enough for
	// Config.AcceptTimeout. ctx ends with the stream.
	Admit(ctx context.Context, in *exchanger.Gather) (Job, exchanger.Refusal)
}

// Server serves the queries of other daemons with a Gatherer.
type Server struct {
	gatherer Gatherer
}

// NewServer returns a Server.
func NewServer(g Gatherer) *Server {
	return &Server{gatherer: g}
}

// Serve serves one stream.
func (s *Server) Serve(ctx context.Context, stream Stream) error {
	var in exchanger.Gather
	if err := stream.Recv(&in); err != nil {
		return err
	}
	received := time.Now()
	job, refused := s.gatherer.Admit(ctx, &in)
	if refused.Code != "" {
		return stream.Send(&exchanger.Gathered{Refused: refused.Code, RetryAfter: refused.RetryAfter})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := stream.Send(&exchanger.Gathered{Accepted: true, Held: time.Since(received)}); err != nil {
		// Without the call the job would count as running for good.
		cancel()
	}
	go func() {
		for {
			var p exchanger.Permit
			switch err := stream.Recv(&p); {
			case err != nil:
				// The asking daemon has ended the stream.
				cancel()
				return
			case p.Stop:
				job.Stop()
			default:
				job.Allow(p.Attempts)
			}
		}
	}()
	return job.Run(ctx, func(g *exchanger.Gathered) error { return stream.Send(g) })
}
