// Package builder defines the commands of the cornelwood program, with their flags and help texts.
package builder

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// flagJSON is the name of the flag that selects output in JSON.
const flagJSON = "json"

// New returns the program's root command, which writes to stdout and stderr.
func New(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "cornelwood",
		Usage: "a query tier over many shards",
		Description: "Cornelwood runs between callers and the searchers that store their records. It sends a query to one searcher of each shard " +
			"and returns one merged answer, from one snapshot, with the coverage that was reached.",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			daemonCommand(),
			entryCommand(),
			checkCommand(),
			queryCommand(),
			ticketCommand(),
			runCommand(),
			serviceCommand(),
			zoneCommand(),
			upstreamCommand(),
			changeCommand(),
			statusCommand(),
			reportCommand(),
			loadCommand(),
			demoCommand(),
			docsCommand(),
		},
		// Errors are returned to the caller of Run, which chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "write JSON instead of text"}
}
