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

// fakeFeed is a store of one object. With hang, calls hang until their context ends; with
// fail, they fail. It records the name and the time of each call.
type fakeFeed struct {
	// cutAfter makes every watch that waits for longer fail after this time.
	cutAfter time.Duration
	mu       sync.Mutex
	revision uint64
	// compacted is the lowest revision that can be watched from.
	compacted uint64
	hang      bool
	fail      error
	calls     []string
	times     []time.Duration
	start     time.Time
}

func (f *fakeFeed) record(ctx context.Context, call string) error {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.times = append(f.times, time.Since(f.start))
	hang, err := f.hang, f.fail
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// update runs edit with the feed locked, while a Follower may read it.
func (f *fakeFeed) update(edit func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit()
}

func (f *fakeFeed) revisions() (revision, compacted uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.compacted
}

func (f *fakeFeed) List(ctx context.Context) ([]Item[string], uint64, error) {
	if err := f.record(ctx, "list"); err != nil {
		return nil, 0, err
	}
	revision, _ := f.revisions()
	return []Item[string]{{Name: "a", Revision: revision}}, revision, nil
}

func (f *fakeFeed) Watch(ctx context.Context, from uint64, wait time.Duration) ([]Change[string], uint64, error) {
	if err := f.record(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	revision, compacted := f.revisions()
	if from < compacted {
		return nil, 0, &CompactedError{Revision: from}
	}
	if from < revision {
		return []Change[string]{{Item: Item[string]{Name: "a", Revision: revision}}}, revision, nil
	}
	if f.cutAfter > 0 && f.cutAfter < wait {
		time.Sleep(f.cutAfter)
		return nil, 0, errors.New("cut off")
	}
	time.Sleep(wait)
	return nil, revision, nil
}

// fakeSink records the last revision and the number of calls of Lost.
type fakeSink struct {
	mu       sync.Mutex
	revision uint64
	known    bool
	losses   int
	// asked holds the times at which the calls that succeeded were sent.
	asked []time.Duration
}

func (s *fakeSink) Revision() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.known
}

func (s *fakeSink) Replace(_ []Item[string], revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.known = revision, true
}

func (s *fakeSink) Apply(_ []Change[string], revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *fakeSink) Confirm(asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, asked)
}

func (s *fakeSink) Lost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses++
}

// lossCount returns the number of calls of Lost so far.
func (s *fakeSink) lossCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses
}

// testGate is a Gate that a test opens.
type testGate struct {
	open    atomic.Bool
	changed chan struct{}
}

func (g *testGate) Open() (bool, <-chan struct{}) { return g.open.Load(), g.changed }

// runFollower serves a Follower in a synctest bubble while test runs, and returns its sink.
func runFollower(t *testing.T, feed *fakeFeed, g *testGate, test func(sink *fakeSink)) *fakeSink {
	t.Helper()
	sink := &fakeSink{}
	synctest.Test(t, func(t *testing.T) {
		g.changed = make(chan struct{})
		cfg := testConfig(feed)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- New("test", cfg, feed, sink, g).Serve(ctx) }()
		test(sink)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return sink
}

// testConfig returns the settings of a Follower of a feed that starts now.
func testConfig(feed *fakeFeed) Config {
	feed.start = time.Now()
	cfg := Default()
	cfg.Rand = func() float64 { return 0.5 }
	cfg.Clock = func() time.Duration { return time.Since(feed.start) }
	return cfg
}

// TestRecovered guards against a daemon that has some kinds of objects and lacks others for as long as the longest pause after the
// store is back, because each follower waits out its own.
func TestRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &fakeFeed{revision: 7, fail: errors.New("down")}, &fakeFeed{revision: 7, fail: errors.New("down")}
		cfg := testConfig(first)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		serve := func(feed *fakeFeed) *fakeSink {
			sink := &fakeSink{}
			feed.start = first.start
			running.Go(func() { _ = New("test", cfg, feed, sink, openGate()).Serve(ctx) })
			return sink
		}
		sinks := []*fakeSink{serve(first)}
		time.Sleep(1200 * time.Millisecond)
		sinks = append(sinks, serve(second))
		time.Sleep(5 * time.Second)
		for _, feed := range []*fakeFeed{first, second} {
			feed.update(func() { feed.fail = nil })
		}
		time.Sleep(4 * time.Second)
		cancel()
		running.Wait()
		if diff := cmp.Diff(sinks[0].asked[0], sinks[1].asked[0]); diff != "" {
			t.Errorf("time of the first list of each follower (-first +second):\n%s", diff)
		}
	})
}

func openGate() *testGate {
	g := &testGate{}
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
		sink := runFollower(t, feed, openGate(), func(*fakeSink) { time.Sleep(4 * time.Second) })
		assertCalls(t, feed, "list", "watch", "watch")
		if sink.revision != 7 || sink.losses != 0 {
			t.Errorf("revision %d, lost %d times", sink.revision, sink.losses)
		}
	})
	t.Run("dates the state by when the call was sent", func(t *testing.T) {
		// An answer may wait for long, in the store or in a process that is frozen, and the store may change meanwhile.
		feed := &fakeFeed{revision: 7}
		sink := runFollower(t, feed, openGate(), func(*fakeSink) {
			time.Sleep(4 * time.Second)
			feed.update(func() { feed.hang = true })
			time.Sleep(10 * time.Second)
		})
		if diff := cmp.Diff(feed.times[:len(sink.asked)], sink.asked); diff != "" || len(sink.asked) != 4 {
			t.Errorf("%d dates, want 4, of the calls that were answered (-want +got):\n%s", len(sink.asked), diff)
		}
	})
	t.Run("lists again when the store has dropped the changes", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		runFollower(t, feed, openGate(), func(*fakeSink) {
			time.Sleep(time.Second)
			feed.update(func() { feed.revision, feed.compacted = 20, 19 })
			time.Sleep(4 * time.Second)
		})
		assertCalls(t, feed, "list", "watch", "watch", "list", "watch")
	})
	t.Run("a call that hangs times out", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		sink := runFollower(t, feed, openGate(), func(*fakeSink) {
			time.Sleep(time.Second)
			feed.update(func() { feed.hang = true })
			time.Sleep(5 * time.Second)
		})
		cfg := Default()
		for i := 2; i < len(feed.times)-1; i++ {
			if gap := feed.times[i+1] - feed.times[i]; gap > cfg.WatchWait+cfg.CallMargin+cfg.MaxBackoff*5/4 {
				t.Errorf("calls %d and %d are %s apart", i, i+1, gap)
			}
		}
		if sink.losses != 1 {
			t.Errorf("Lost was called %d times, want 1", sink.losses)
		}
	})
	t.Run("a watch that is cut off is no outage", func(t *testing.T) {
		feed := &fakeFeed{revision: 7, cutAfter: 700 * time.Millisecond}
		sink := runFollower(t, feed, openGate(), func(sink *fakeSink) {
			time.Sleep(10 * time.Second)
			feed.update(func() { feed.revision = 8 })
			time.Sleep(feed.cutAfter + feed.cutAfter/2)
			if revision, _ := sink.Revision(); revision != 8 {
				t.Errorf("revision %d, want 8 by the check after the cut", revision)
			}
		})
		if sink.losses != 0 {
			t.Errorf("Lost was called %d times, want 0: the store answers each check", sink.losses)
		}
		if n := len(feed.calls); n > 40 {
			t.Errorf("%d calls in 11 s, want 40 at most", n)
		}
	})
	t.Run("an outage is noticed within a watch and a check", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		runFollower(t, feed, openGate(), func(sink *fakeSink) {
			time.Sleep(time.Second)
			feed.update(func() { feed.hang = true })
			cfg := Default()
			time.Sleep(2*cfg.WatchWait + 2*cfg.CallMargin + cfg.WatchPause*5/4)
			if n := sink.lossCount(); n != 1 {
				t.Errorf("Lost was called %d times, want 1", n)
			}
		})
	})
	t.Run("makes no call while the gate is closed", func(t *testing.T) {
		feed := &fakeFeed{revision: 7}
		gate := &testGate{}
		runFollower(t, feed, gate, func(*fakeSink) {
			time.Sleep(3 * time.Second)
			feed.update(func() {
				if len(feed.calls) != 0 {
					t.Errorf("calls while the gate is closed: %v", feed.calls)
				}
			})
			gate.open.Store(true)
			close(gate.changed)
			time.Sleep(time.Second)
		})
		assertCalls(t, feed, "list", "watch")
	})
	t.Run("pauses longer after each failure", func(t *testing.T) {
		feed := &fakeFeed{fail: errors.New("down")}
		runFollower(t, feed, openGate(), func(*fakeSink) { time.Sleep(5 * time.Second) })
		if n := len(feed.calls); n < 6 || n > 12 {
			t.Errorf("%d calls in 5 s of an outage, want 6 to 12", n)
		}
	})
}
