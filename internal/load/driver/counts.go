package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cornelwood.example/internal/contract/declarer"
)

// maxConcurrentReads is the largest number of searchers whose counts are read concurrently.
const maxConcurrentReads = 32

// CountsReader reads and adds up the counters of stand-in searchers.
type CountsReader struct {
	hc    *http.Client
	addrs []netip.AddrPort
}

// counts is the part of a stand-in searcher's /counts page that a report needs.
type counts struct {
	Started       int           `json:"started"`
	Sheds         int           `json:"sheds"`
	MaxInFlight   int           `json:"mostinside"`
	Overlaps      int           `json:"overlaps"`
	ColdOverloads int           `json:"coldoverloads"`
	Accepted      int           `json:"accepted"`
	MaxOpen       int           `json:"mostopen"`
	Wasted        time.Duration `json:"wasted"`
}

// NewCountsReader returns a CountsReader for the searchers at addrs.
func NewCountsReader(hc *http.Client, addrs []netip.AddrPort) *CountsReader {
	return &CountsReader{hc: hc, addrs: addrs}
}

// Read returns the counters of all searchers since their start, added up; MaxInFlight and MaxOpen are the maximum over
// the searchers. ExtraShare is not set. It returns the first error when a searcher's counters cannot be read.
func (c *CountsReader) Read(ctx context.Context) (UpstreamCounts, error) {
	var (
		mu  sync.Mutex
		sum UpstreamCounts
	)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for _, addr := range c.addrs {
		g.Go(func() error {
			one, err := c.readOne(ctx, addr)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			sum.add(one)
			return nil
		})
	}
	err := g.Wait()
	return sum, err
}

// readOne returns the counters of the searcher at addr.
func (c *CountsReader) readOne(ctx context.Context, addr netip.AddrPort) (counts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/counts?brief=1", http.NoBody)
	if err != nil {
		return counts{}, fmt.Errorf("read the counts of searcher %s: %w", addr, err)
	}
	// Searchers accept few connections, so the connection is not kept open.
	req.Close = true
	resp, err := c.hc.Do(req)
	if err != nil {
		return counts{}, fmt.Errorf("read the counts of searcher %s: %w", addr, err)
	}
	defer resp.Body.Close()
	var one counts
	if err := json.NewDecoder(resp.Body).Decode(&one); err != nil {
		return counts{}, fmt.Errorf("read the counts of searcher %s: %w", addr, err)
	}
	return one, nil
}

// add adds the counters of one searcher.
func (u *UpstreamCounts) add(c counts) {
	u.Runs += c.Started
	u.Sheds += c.Sheds
	u.Overlaps += c.Overlaps
	u.ColdOverloads += c.ColdOverloads
	u.Connections += c.Accepted
	u.Wasted.Duration += c.Wasted
	u.MaxInFlight = max(u.MaxInFlight, c.MaxInFlight)
	u.MaxOpen = max(u.MaxOpen, c.MaxOpen)
}

// Since returns the counts of a run from readings before and after it: the difference of u and before, except that
// MaxInFlight and MaxOpen are those of u. ExtraShare is computed for a run whose answered queries cover the given
// number of shards, added up over the queries; it stays 0 when shards is 0.
func (u UpstreamCounts) Since(before UpstreamCounts, shards int) *UpstreamCounts {
	u.Runs -= before.Runs
	u.Sheds -= before.Sheds
	u.Overlaps -= before.Overlaps
	u.ColdOverloads -= before.ColdOverloads
	u.Connections -= before.Connections
	u.Wasted = declarer.Duration{Duration: u.Wasted.Duration - before.Wasted.Duration}
	if shards > 0 {
		u.ExtraShare = float64(u.Runs)/float64(shards) - 1
	}
	return &u
}
