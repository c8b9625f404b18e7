package builder

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/daemon/router"
	"cornelwood.example/internal/report/queuer"
	"cornelwood.example/internal/settings/reader"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one instance's entry daemon",
		Description: "Forwards clients' requests to the searchers registered in the metadata store, according to the routes of the desired state there. " +
			"Runs until SIGTERM or SIGINT, then shuts down gracefully: the load balancer's health check fails, open connections are served " +
			"and closed with their next answer, and requests in flight finish. SIGHUP reloads the settings. Logs go to standard output.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Required: true, Usage: "settings file"},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	// This comes first, because SIGHUP terminates a process that does not handle it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	set, err := reader.ReadEntrySettings(cmd.String(flagSettings))
	if err != nil {
		return err
	}
	out, flush := queuer.New(cmd.Root().Writer)
	defer flush()
	log := newLogger(set.Log, out)
	d, closer, err := router.New(set, log)
	if err != nil {
		return eris.Wrap(err, "start")
	}
	defer closer()
	defer reloadOnHangup(hangups, d, cmd.String(flagSettings), log)()
	return d.Serve(ctx)
}

// reloadOnHangup reloads the settings at each signal until the function that it returns is called. If the settings file
// has errors, it logs them and keeps the current settings.
func reloadOnHangup(hangups chan os.Signal, d *router.Router, path string, log hclog.Logger) func() {
	go func() {
		for range hangups {
			set, err := reader.ReadEntrySettings(path)
			if err != nil {
				log.Error("settings not reloaded", "error", err)
				continue
			}
			d.Reload(set)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}
