package builder

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/load/driver"
	"cornelwood.example/internal/settings/reader"
)

const (
	flagRate     = "rate"
	flagDuration = "duration"
	flagSeed     = "seed"
	flagCounts   = "counts"

	answerTimeout = 10 * time.Second
	maxIdleConns  = 4096
	countsTimeout = 30 * time.Second
	defaultRate   = 100
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send queries at a fixed rate and report latency, coverage and extra load",
		Description: "Queries arrive at random times at a fixed mean rate, whether or not earlier ones have been answered; " +
			"each latency is measured from the planned arrival. With --counts the report includes the counters of a schema's stand-in searchers.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagCaller, Value: []string{defaultCaller}, Usage: "URL of a daemon's caller service; several are used in turn"},
			&cli.StringSliceFlag{Name: flagService, Required: true, Usage: "name of a service; several are used in turn"},
			&cli.FloatFlag{Name: flagRate, Value: defaultRate, Usage: "queries per second over all services"},
			&cli.DurationFlag{Name: flagDuration, Value: 10 * time.Second, Usage: "time during which queries arrive"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "deadline of each query; the default is the contract's"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the random arrival times"},
			&cli.StringFlag{Name: flagCounts, Usage: "schema file of the stand-in searchers whose counters are read"},
			jsonFlag(),
		},
		Action: runLoad,
	}
}

// querier sends queries to one daemon.
type querier struct {
	r *requester.Requester
}

// Query sends one query and returns its answer.
func (q querier) Query(ctx context.Context, query *answerer.Query) (*answerer.Answer, error) {
	var out answerer.Answer
	if err := q.r.Do(ctx, http.MethodPost, "/v1/query", query, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	cfg := driver.Config{
		Services:      cmd.StringSlice(flagService),
		Rate:          cmd.Float(flagRate),
		Duration:      cmd.Duration(flagDuration),
		Deadline:      cmd.Duration(flagDeadline),
		AnswerTimeout: answerTimeout,
		Seed:          cmd.Uint64(flagSeed),
	}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	for _, url := range cmd.StringSlice(flagCaller) {
		cfg.Queriers = append(cfg.Queriers, querier{requester.New(url, hc)})
	}
	if isTerminal(os.Stderr) && !cmd.Bool(flagJSON) {
		cfg.Progress = func(p driver.Progress) {
			fmt.Fprintf(cmd.Root().ErrWriter, "\r%s: %d sent, %d answered, %d refused", p.Elapsed.Round(time.Second), p.Sent, p.Answered, p.Refused)
		}
	}
	countsReader, err := newCountsReader(cmd, hc, cfg.Services)
	if err != nil {
		return err
	}
	rep, err := runWithCounts(ctx, cfg, countsReader)
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return printer.JSON(cmd.Root().Writer, rep)
	}
	return printReport(cmd, rep)
}

// runWithCounts runs the load and, if there is a countsReader, adds to the report what the searchers counted during the
// run.
func runWithCounts(ctx context.Context, cfg driver.Config, countsReader *driver.CountsReader) (*driver.Report, error) {
	if countsReader == nil {
		return driver.Run(ctx, cfg)
	}
	before, err := readCounts(ctx, countsReader)
	if err != nil {
		return nil, err
	}
	rep, err := driver.Run(ctx, cfg)
	if err != nil {
		return nil, err
	}
	after, err := readCounts(ctx, countsReader)
	if err != nil {
		return nil, err
	}
	rep.Upstream = after.Since(before, rep.Shards)
	return rep, nil
}

func readCounts(ctx context.Context, c *driver.CountsReader) (driver.UpstreamCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	return c.Read(ctx)
}

// newCountsReader returns a reader of the counters of the services' searchers, or nil if the flag is not set.
func newCountsReader(cmd *cli.Command, hc *http.Client, services []string) (*driver.CountsReader, error) {
	path := cmd.String(flagCounts)
	if path == "" {
		return nil, nil
	}
	schema, err := reader.ReadSchema(path)
	if err != nil {
		return nil, err
	}
	var addrs []netip.AddrPort
	for i := range schema.Services {
		if !slices.Contains(services, schema.Services[i].Name) {
			continue
		}
		for _, u := range schema.Services[i].Upstreams() {
			addrs = append(addrs, u.Addr)
		}
	}
	return driver.NewCountsReader(hc, addrs), nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printReport(cmd *cli.Command, rep *driver.Report) error {
	rows := [][]string{
		{"rate", fmt.Sprintf("%.0f/s for %s, seed %d", rep.Rate, rep.Elapsed, rep.Seed)},
		{"queries", fmt.Sprintf("%d sent, %d answered, %d complete, %d wrong, %d errors, %d dropped", rep.Sent, rep.Answered, rep.Complete, rep.Wrong, rep.Errors, rep.Dropped)},
		{"latency", fmt.Sprintf("p50 %s, p90 %s, p99 %s, p99.9 %s, max %s", rep.P50, rep.P90, rep.P99, rep.P999, rep.Max)},
		{"coverage", fmt.Sprintf("%.5f of %d shards", rep.Coverage, rep.Shards)},
		{"refused", formatCounts(rep.Refused)},
		{"missing", formatCounts(rep.Missing)},
	}
	if u := rep.Upstream; u != nil {
		rows = append(rows,
			[]string{"upstream", fmt.Sprintf("%d runs, %.2f%% extra, wasted %s", u.Runs, 100*u.ExtraShare, u.Wasted)},
			[]string{"admission", fmt.Sprintf("%d concurrent at most, %d overlaps, %d cold overloads, %d sheds", u.MaxInFlight, u.Overlaps, u.ColdOverloads, u.Sheds)},
			[]string{"connections", fmt.Sprintf("%d accepted, %d open at most", u.Connections, u.MaxOpen)})
	}
	return printer.Table(cmd.Root().Writer, []string{"LOAD", ""}, rows)
}

// formatCounts formats counts as "KEY COUNT, KEY COUNT", sorted, or "none" if there are no counts.
func formatCounts[K ~string](counts map[K]int) string {
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	if len(parts) == 0 {
		return "none"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
