package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/standin/searcher"
)

func searcherCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
		&cli.StringFlag{Name: "name", Value: "searcher", Usage: "`NAME` of the upstream"},
		&cli.IntSliceFlag{Name: "shards", Value: []int{0}, Usage: "`SHARDS` held, such as 0,1"},
		&cli.IntFlag{Name: "slots", Value: 3, Usage: "`NUMBER` of requests that run concurrently"},
		&cli.IntFlag{Name: "cold", Value: 1, Usage: "`NUMBER` of requests in flight above which it is overloaded while cold"},
		&cli.IntFlag{Name: "connections", Value: 30, Usage: "largest `NUMBER` of open connections; 0 for no limit"},
	}
	return &cli.Command{
		Name:  "searcher",
		Usage: "runs one searcher",
		Flags: append(flags, behaviourFlags()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runSearcher(ctx, cmd, out)
		},
	}
}

// behaviourFlags returns the flags that the commands searcher and fleet share.
func behaviourFlags() []cli.Flag {
	return []cli.Flag{
		readyFlag(),
		&cli.StringFlag{Name: "versions", Usage: "`RANGE` of versions held, such as 1-3"},
		&cli.Uint64Flag{Name: "documents", Value: searcher.DefaultDocuments, Usage: "`NUMBER` of documents in a shard"},
		&cli.BoolFlag{Name: "warm", Usage: "start warm"},
		&cli.DurationFlag{Name: "cold-for", Value: 2 * time.Second, Usage: "least `DURATION` of a cold start"},
		&cli.IntFlag{Name: "cold-successes", Value: 5, Usage: "least `NUMBER` of answers of a cold start"},
		&cli.DurationFlag{Name: "shed-for", Value: time.Second, Usage: "`DURATION` of shedding after an overload while cold"},
		&cli.DurationFlag{Name: "connect-delay", Value: time.Millisecond, Usage: "`DURATION` until a new connection is served"},
		&cli.DurationFlag{Name: "mean", Value: 4 * time.Millisecond, Usage: "mean service `DURATION`"},
		&cli.FloatFlag{Name: "straggler", Value: 0.005, Usage: "`SHARE` of requests that are stragglers"},
		&cli.FloatFlag{Name: "factor", Value: 20, Usage: "`FACTOR` by which a straggler is slower"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random numbers for service times and shedding"},
	}
}

// behaviourConfig returns the settings that behaviourFlags set.
func behaviourConfig(cmd *cli.Command) (searcher.Config, error) {
	oldest, newest, err := parseVersions(cmd.String("versions"))
	if err != nil {
		return searcher.Config{}, err
	}
	return searcher.Config{
		Documents:       cmd.Uint64("documents"),
		Oldest:          oldest,
		Newest:          newest,
		Warm:            cmd.Bool("warm"),
		ColdFor:         cmd.Duration("cold-for"),
		ColdSuccesses:   cmd.Int("cold-successes"),
		ShedFor:         cmd.Duration("shed-for"),
		ConnectDelay:    cmd.Duration("connect-delay"),
		MeanServiceTime: cmd.Duration("mean"),
		StragglerShare:  cmd.Float("straggler"),
		StragglerFactor: cmd.Float("factor"),
		Seed:            cmd.Uint64("seed"),
	}, nil
}

func runSearcher(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	cfg, err := behaviourConfig(cmd)
	if err != nil {
		return err
	}
	cfg.Service, cfg.Name = cmd.String("service"), cmd.String("name")
	cfg.Shards = cmd.IntSlice("shards")
	cfg.Slots, cfg.ColdSlots = cmd.Int("slots"), cmd.Int("cold")
	cfg.Connections = cmd.Int("connections")
	cfg.Oldest, cfg.Newest = max(1, cfg.Oldest), max(1, cfg.Newest)
	s, cleanup, err := searcher.New(cfg)
	if err != nil {
		return err
	}
	defer cleanup()
	ln, err := listen(cmd.String("listen"))
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	err = announce(out, cmd.String("ready-file"), []string{"listening " + ln.Addr().String()})
	if err != nil {
		return err
	}
	return waitAndStop(ctx, served, s.Shutdown)
}

// parseVersions parses a range such as "1-3" or a single version. It returns 0 and 0 for an empty text.
func parseVersions(text string) (oldest, newest uint64, err error) {
	if text == "" {
		return 0, 0, nil
	}
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		last = first
	}
	oldest, err = strconv.ParseUint(first, 10, 64)
	if err == nil {
		newest, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || oldest == 0 || newest < oldest {
		return 0, 0, fmt.Errorf("versions: want a range such as 1-3, got %q", text)
	}
	return oldest, newest, nil
}
