package registrar

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"cornelwood.example/internal/contract/declarer"
)

// fakeRegistry is a store in an era that fails a number of calls.
type fakeRegistry struct {
	mu       sync.Mutex
	era      uint64
	failures int
	// records holds the eras in which the record was written.
	records []uint64
}

func (f *fakeRegistry) Register(context.Context, declarer.Member, bool) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return 0, errors.New("store away")
	}
	f.records = append(f.records, f.era)
	return f.era, nil
}

func (f *fakeRegistry) Deregister(context.Context, string) error { return nil }

// restore begins an era in which the next calls fail.
func (f *fakeRegistry) restore(era uint64, failures int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.failures = era, failures
}

// TestRegisterInEachEra guards against a daemon that the other daemons no longer find because a restored store lost its record, and
// against records that are written again without a cause.
func TestRegisterInEachEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeRegistry{era: 3}
		r := New(declarer.Member{ID: "d"}, true, store, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Serve(ctx) }()
		assertRecords := func(what string, want ...uint64) {
			t.Helper()
			time.Sleep(rewriteSpread + callTimeout)
			synctest.Wait()
			store.mu.Lock()
			defer store.mu.Unlock()
			if diff := cmp.Diff(want, store.records); diff != "" {
				t.Errorf("%s: eras of the records (-want +got):\n%s", what, diff)
			}
		}
		assertRecords("at the start", 3)
		// The answer to the registration shows the era, too.
		r.ObserveEra(3)
		assertRecords("era of the record", 3)
		store.restore(4, 2)
		r.ObserveEra(4)
		r.ObserveEra(4)
		assertRecords("restored", 3, 4)
		r.ObserveEra(2)
		assertRecords("lower era", 3, 4)
		store.restore(6, 0)
		r.ObserveEra(5)
		r.ObserveEra(6)
		assertRecords("restored twice", 3, 4, 6)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve: %v", err)
		}
	})
}
