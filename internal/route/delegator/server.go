package delegator

import (
	"context"

	"cornelwood.example/internal/contract/exchanger"
)

// Job is a query that a daemon gathers for another.
type Job interface {
	// Allow permits n attempts for each shard. Before, one is permitted. Any goroutine may call it.
	Allow(n int)
	// Run gathers the query and returns the answer. ctx is cancelled when nobody waits for it any more.
	Run(ctx context.Context) *exchanger.Gathered
}

// Gatherer gathers queries for other daemons.
type Gatherer interface {
	// Admit returns the job of a query, or the reason for which it is refused.
	Admit(in *exchanger.Gather) (Job, exchanger.GatherCode)
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
	job, refused := s.gatherer.Admit(&in)
	if refused != "" {
		return stream.Send(&exchanger.Gathered{Refused: refused})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := stream.Send(&exchanger.Gathered{Accepted: true}); err != nil {
		// The job has not sent anything yet; without this call it would count as running.
		cancel()
		job.Run(ctx)
		return err
	}
	go func() {
		defer cancel()
		for {
			var p exchanger.Permit
			if stream.Recv(&p) != nil {
				// The asking daemon has ended the stream.
				return
			}
			job.Allow(p.Attempts)
		}
	}()
	answer := job.Run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return stream.Send(answer)
}
