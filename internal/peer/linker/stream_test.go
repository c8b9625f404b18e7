package linker_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cornelwood.example/internal/peer/linker"
)

// count is the message of the test's streams.
type count struct {
	N int `json:"n"`
}

// TestStream exchanges messages in both directions, twice over one connection.
func TestStream(t *testing.T) {
	server := start(t, linker.Config{}, workerFunc(hold), func(l *linker.Linker) {
		l.HandleStream("Double", func(_ context.Context, s *linker.Stream) error {
			var c count
			for s.Recv(&c) == nil {
				if err := s.Send(&count{N: 2 * c.N}); err != nil {
					return err
				}
			}
			return nil
		})
	})
	client := start(t, linker.Config{}, workerFunc(hold))
	for range 2 {
		s, end, err := client.OpenStream(t.Context(), server.addr, "Double")
		if err != nil {
			t.Fatal(err)
		}
		var got []int
		for n := range 3 {
			if err := s.Send(&count{N: n}); err != nil {
				t.Fatal(err)
			}
			var c count
			if err := s.Recv(&c); err != nil {
				t.Fatal(err)
			}
			got = append(got, c.N)
		}
		end(true)
		if diff := cmp.Diff([]int{0, 2, 4}, got); diff != "" {
			t.Errorf("replies (-want +got):\n%s", diff)
		}
	}
	if n := client.metric(t, "cornelwood_peer_dials_total"); n != 1 {
		t.Errorf("%g connections for two streams, want 1", n)
	}
}

// TestStreamEnds checks that the peer's handler is cancelled when the stream is given up, and at its deadline.
func TestStreamEnds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		timeout time.Duration
		giveUp  bool
	}{{"given up", time.Minute, true}, {"deadline", 50 * time.Millisecond, false}} {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan struct{})
			server := start(t, linker.Config{}, workerFunc(hold), func(l *linker.Linker) {
				l.HandleStream("Wait", func(ctx context.Context, _ *linker.Stream) error {
					<-ctx.Done()
					close(ended)
					return ctx.Err()
				})
			})
			client := start(t, linker.Config{}, workerFunc(hold))
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
			defer cancel()
			_, end, err := client.OpenStream(ctx, server.addr, "Wait")
			if err != nil {
				t.Fatal(err)
			}
			if tt.giveUp {
				end(false)
			} else {
				defer end(false)
			}
			select {
			case <-ended:
			case <-time.After(waitLimit):
				t.Error("the handler was not cancelled")
			}
		})
	}
}

func TestStreamToNobody(t *testing.T) {
	client := start(t, linker.Config{}, workerFunc(hold))
	_, _, err := client.OpenStream(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), "Double")
	var unreachable *linker.UnreachableError
	if !errors.As(err, &unreachable) || unreachable.Sent || !unreachable.Refused {
		t.Errorf("error %v, want that nothing was sent and the connection refused", err)
	}
}

// metric returns the value of a counter without labels.
func (d *daemon) metric(t *testing.T, name string) float64 {
	t.Helper()
	families, err := d.reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
