package follower

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fakeFeed is a store of names; a call may hang until its context ends.
type fakeFeed struct {
	mu       sync.Mutex
	revision uint64
	floor    uint64
	hang     bool
	fail     error
	calls    []string
	at       []time.Duration
	start    time.Time
}

func (f *fakeFeed) note(ctx context.Context, call string) error {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.at = append(f.at, time.Since(f.start))
	hang, err := f.hang, f.fail
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// change changes the feed while it is read.
func (f *fakeFeed) change(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

func (f *fakeFeed) state() (revision, floor uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.floor
}

func (f *fakeFeed) List(ctx context.Context) ([]Item[string], uint64, error) {
	if err := f.note(ctx, "list"); err != nil {
		return nil, 0, err
	}
	revision, _ := f.state()
	return []Item[string]{{Name: "a", Revision: revision}}, revision, nil
}

func (f *fakeFeed) Watch(ctx context.Context, from uint64, wait time.Duration) ([]Change[string], uint64, error) {
	if err := f.note(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	revision, floor := f.state()
	if from < floor {
		return nil, 0, &CompactedError{Revision: from}
	}
	if from < revision {
		return []Change[string]{{Item: Item[string]{Name: "a", Revision: revision}}}, revision, nil
	}
	time.Sleep(wait)
	return nil, revision, nil
}

// fakeSink notes what it is told.
type fakeSink struct {
	revision uint64
	known    bool
	lost     int
}

func (s *fakeSink) Revision() (uint64, bool) { return s.revision, s.known }
func (s *fakeSink) Replace(_ []Item[string], revision uint64) {
	s.revision, s.known = revision, true
}
func (s *fakeSink) Apply(_ []Change[string], revision uint64) { s.revision = revision }
func (s *fakeSink) Lost(error)                                { s.lost++ }

// gate is a Gate that a test opens and closes.
type gate struct {
	open    atomic.Bool
	changed chan struct{}
}

func (g *gate) Open() (bool, <-chan struct{}) { return g.open.Load(), g.changed }

func follow(t *testing.T, feed *fakeFeed, g *gate, during func(sink *fakeSink)) *fakeSink {
	t.Helper()
	sink := &fakeSink{}
	synctest.Test(t, func(t *testing.T) {
		feed.start = time.Now()
		g.changed = make(chan struct{})
		cfg := Default()
		cfg.Rand = func() float64 { return 0.5 }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- New("test", cfg, feed, sink, g).Serve(ctx) }()
		during(sink)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return sink
}

func open() *gate {
	g := &gate{}
	g.open.Store(true)
	return g
}

func assertCalls(t *testing.T, feed *fakeFeed, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, feed.calls[:min(len(want), len(feed.calls))]); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestFollower(t *testing.T) {
	t.Run("lists once, then watches", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		sink := follow(t, feed, open(), func(*fakeSink) { time.Sleep(4 * time.Second) })
		assertCalls(t, feed, "list", "watch", "watch")
		if sink.revision != 7 || sink.lost != 0 {
			t.Errorf("revision %d, lost %d times", sink.revision, sink.lost)
		}
	})
	t.Run("lists again when the history is gone", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		follow(t, feed, open(), func(*fakeSink) {
			time.Sleep(time.Second)
			feed.change(func() { feed.revision, feed.floor = 20, 19 })
			time.Sleep(4 * time.Second)
		})
		assertCalls(t, feed, "list", "watch", "watch", "list", "watch")
	})
	t.Run("a call that hangs ends within its time", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		sink := follow(t, feed, open(), func(*fakeSink) {
			time.Sleep(time.Second)
			feed.change(func() { feed.hang = true })
			time.Sleep(5 * time.Second)
		})
		cfg := Default()
		for i := 2; i < len(feed.at)-1; i++ {
			if gap := feed.at[i+1] - feed.at[i]; gap > cfg.Wait+cfg.Slack+cfg.MaxRetry*5/4 {
				t.Errorf("calls %d and %d are %s apart", i, i+1, gap)
			}
		}
		if sink.lost != 1 {
			t.Errorf("told %d times that the store is lost, want 1", sink.lost)
		}
	})
	t.Run("makes no call while the gate is closed", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		g := &gate{}
		follow(t, feed, g, func(*fakeSink) {
			time.Sleep(3 * time.Second)
			feed.change(func() {
				if len(feed.calls) != 0 {
					t.Errorf("calls behind a closed gate: %v", feed.calls)
				}
			})
			g.open.Store(true)
			close(g.changed)
			time.Sleep(time.Second)
		})
		assertCalls(t, feed, "list", "watch")
	})
	t.Run("pauses longer after each failure", func(t *testing.T) {
		feed := &fakeFeed{fail: errors.New("down")}
		follow(t, feed, open(), func(*fakeSink) { time.Sleep(5 * time.Second) })
		if n := len(feed.calls); n < 6 || n > 12 {
			t.Errorf("%d calls in 5 s of an outage, want 6 to 12", n)
		}
	})
}
