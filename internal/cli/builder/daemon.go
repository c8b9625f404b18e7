package builder

import (
	"context"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/daemon/assembler"
	"cornelwood.example/internal/settings/reader"
)

const flagSettings = "settings"

func daemonCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemon",
		Usage: "run one instance's daemon",
		Description: "Runs until SIGTERM or SIGINT, then shuts down gracefully: /ready fails, the load balancer's lag passes, requests in flight finish, " +
			"and the upstreams are handed over. Prints one line with its addresses once it listens.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Required: true, Usage: "settings file"},
		},
		Action: runDaemon,
	}
}

func runDaemon(ctx context.Context, cmd *cli.Command) error {
	set, err := reader.ReadSettings(cmd.String(flagSettings))
	if err != nil {
		return err
	}
	d, closer, err := assembler.New(set, newLogger(set.Log, cmd.Root().ErrWriter))
	if err != nil {
		return eris.Wrap(err, "start")
	}
	defer closer()
	self := d.Self()
	fmt.Fprintf(cmd.Root().Writer, "listening caller=%s operator=%s peer=%s\n", self.Caller, self.Operator, self.Peer)
	return d.Serve(ctx)
}

// newLogger returns a logger that writes to w with the level and format of the settings.
func newLogger(set reader.Log, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "cornelwood",
		Level:      hclog.LevelFromString(set.Level),
		JSONFormat: set.JSON,
		Output:     w,
	})
}
