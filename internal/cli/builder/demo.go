package builder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/demo/stager"
)

const (
	flagOnce     = "once"
	flagFixtures = "fixtures"

	demoTimeout = 10 * time.Second
	// demoTries and demoPause bound the wait for a complete answer while the
	// searchers are still cold.
	demoTries = 20
	demoPause = 100 * time.Millisecond
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run two whole deployments in one process",
		Description: "Starts a platform, searchers and three daemons for each of the two deployments in the fixtures, answers sample queries, " +
			"and stays up until it is interrupted. With --once it prints one JSON object for each sample query and exits.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagOnce, Usage: "print the answers as JSON and exit"},
			&cli.StringFlag{Name: flagFixtures, Value: "_fixtures", Usage: "folder with the settings and schemas"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.Warn, Output: cmd.Root().ErrWriter})
	for _, name := range []string{"abay", "clydeside"} {
		site, stop, err := stager.New(ctx, cmd.String(flagFixtures), name, log)
		if err != nil {
			return fmt.Errorf("site %q: %w", name, err)
		}
		defer stop()
		if err := showSite(ctx, cmd, site); err != nil {
			return fmt.Errorf("site %q: %w", name, err)
		}
	}
	if cmd.Bool(flagOnce) {
		return nil
	}
	fmt.Fprintln(cmd.Root().Writer, "\nrunning; interrupt to stop")
	<-ctx.Done()
	return nil
}

// showSite asks each service of a site one query and says how to ask more.
func showSite(ctx context.Context, cmd *cli.Command, site *stager.Site) error {
	w := cmd.Root().Writer
	in := site.Daemons[0]
	once := cmd.Bool(flagOnce)
	if !once {
		fmt.Fprintf(w, "\n%s: %d daemons\n", site.Name, len(site.Daemons))
		fmt.Fprintf(w, "  ask: cornelwood query --caller http://%s --service %s --terms \"metal loss\"\n", in.Caller, site.Schema.Services[0].Name)
		fmt.Fprintf(w, "  operate: cornelwood status --operator http://%s\n", in.Operator)
	}
	for _, sv := range site.Schema.Services {
		a, err := sample(ctx, in, sv.Name)
		if err != nil {
			return err
		}
		if once {
			err = printer.JSON(w, a)
		} else {
			err = printAnswer(cmd, a)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// sample returns a complete answer, or the last one.
func sample(ctx context.Context, in declarer.Instance, service string) (*answerer.Answer, error) {
	c := requester.New("http://"+in.Caller.String(), &http.Client{Timeout: demoTimeout})
	q := answerer.Query{
		Service: service, Terms: "sample", Limit: 3,
		Deadline: &declarer.Duration{Duration: 2 * time.Second},
	}
	var (
		a   answerer.Answer
		err error
	)
	for range demoTries {
		a = answerer.Answer{}
		err = c.Do(ctx, http.MethodPost, "/v1/query", q, &a)
		if err == nil && a.Coverage.Complete() {
			return &a, nil
		}
		select {
		case <-time.After(demoPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &a, err
}
