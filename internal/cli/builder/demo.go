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

	sampleTimeout = 10 * time.Second
	// maxSampleTries and sampleInterval limit the wait for a complete answer while the searchers are still cold.
	maxSampleTries = 20
	sampleInterval = 100 * time.Millisecond
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run two complete deployments in one process",
		Description: "Starts a platform, searchers and three daemons for each of the two deployments in the fixtures, answers sample queries, " +
			"and runs until it is interrupted. With --once it prints one JSON object for each sample query and exits.",
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
		if err := printSite(ctx, cmd, site); err != nil {
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

// printSite sends one query to each service of a site and prints the answers. Without --once it also prints commands
// that call the site.
func printSite(ctx context.Context, cmd *cli.Command, site *stager.Site) error {
	w := cmd.Root().Writer
	in := site.Daemons[0]
	once := cmd.Bool(flagOnce)
	if !once {
		fmt.Fprintf(w, "\n%s: %d daemons\n", site.Name, len(site.Daemons))
		fmt.Fprintf(w, "  query: cornelwood query --caller http://%s --service %s --terms \"metal loss\"\n", in.Caller, site.Schema.Services[0].Name)
		fmt.Fprintf(w, "  status: cornelwood status --operator http://%s\n", in.Operator)
	}
	for _, sv := range site.Schema.Services {
		a, err := sampleAnswer(ctx, in, sv.Name)
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

// sampleAnswer sends a sample query until its answer is complete, and returns that answer, or the last one and its error
// after maxSampleTries.
func sampleAnswer(ctx context.Context, in declarer.Instance, service string) (*answerer.Answer, error) {
	c := requester.New("http://"+in.Caller.String(), &http.Client{Timeout: sampleTimeout})
	q := answerer.Query{
		Service: service, Terms: "sample", Limit: 3,
		Deadline: &declarer.Duration{Duration: 2 * time.Second},
	}
	var (
		a   answerer.Answer
		err error
	)
	for range maxSampleTries {
		a = answerer.Answer{}
		err = c.Do(ctx, http.MethodPost, "/v1/query", q, &a)
		if err == nil && a.Coverage.Complete() {
			return &a, nil
		}
		select {
		case <-time.After(sampleInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &a, err
}
