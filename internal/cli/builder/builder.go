// Package builder defines the commands of the cornelwood program, each with a
// one-line summary and a long help.
package builder

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// flagJSON is the name of the flag that asks for JSON.
const flagJSON = "json"

// New returns the program's command.
func New(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "cornelwood",
		Usage: "a query tier over many shards",
		Description: "Cornelwood stands between callers and the searchers that hold their records. " +
			"A query goes to one searcher of every shard; one merged answer comes back, from one snapshot, with its true coverage.",
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
		// The exit code is the caller's matter.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "write JSON, for machines"}
}
