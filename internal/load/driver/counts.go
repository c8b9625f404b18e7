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

// maxPolls bounds the searchers asked at once.
const maxPolls = 32

// CountsReader reads what stand-in searchers counted.
type CountsReader struct {
	hc    *http.Client
	addrs []netip.AddrPort
}

// counts is the part of a stand-in searcher's /counts that a report needs.
type counts struct {
	Started       int           `json:"started"`
	Sheds         int           `json:"sheds"`
	MostInside    int           `json:"mostinside"`
	Overlaps      int           `json:"overlaps"`
	ColdOverloads int           `json:"coldoverloads"`
	Accepted      int           `json:"accepted"`
	MostOpen      int           `json:"mostopen"`
	Wasted        time.Duration `json:"wasted"`
}

// NewCountsReader returns a Counter for the searchers at addrs.
func NewCountsReader(hc *http.Client, addrs []netip.AddrPort) *CountsReader {
	return &CountsReader{hc: hc, addrs: addrs}
}

// Read returns the sum of all searchers' counts since they started; MostAtOnce
// and MostOpen are the highest of any.
func (c *CountsReader) Read(ctx context.Context) (UpstreamCounts, error) {
	var (
		mu  sync.Mutex
		sum UpstreamCounts
	)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxPolls)
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

func (c *CountsReader) readOne(ctx context.Context, addr netip.AddrPort) (counts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/counts?brief=1", http.NoBody)
	if err != nil {
		return counts{}, fmt.Errorf("counts of %s: %w", addr, err)
	}
	// The searchers have few connections to give.
	req.Close = true
	resp, err := c.hc.Do(req)
	if err != nil {
		return counts{}, fmt.Errorf("counts of %s: %w", addr, err)
	}
	defer resp.Body.Close()
	var one counts
	if err := json.NewDecoder(resp.Body).Decode(&one); err != nil {
		return counts{}, fmt.Errorf("counts of %s: %w", addr, err)
	}
	return one, nil
}

func (u *UpstreamCounts) add(c counts) {
	u.Runs += c.Started
	u.Sheds += c.Sheds
	u.Overlaps += c.Overlaps
	u.ColdOverloads += c.ColdOverloads
	u.Connections += c.Accepted
	u.Wasted.Duration += c.Wasted
	u.MaxInFlight = max(u.MaxInFlight, c.MostInside)
	u.MaxOpen = max(u.MaxOpen, c.MostOpen)
}

// Since returns what was counted after before was read, for answered queries
// that touch the given number of shards.
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
