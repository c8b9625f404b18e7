// Package commander holds the command line of the stand-ins.
package commander

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// New returns the root command. Addresses go to out as lines such as
// "listening 127.0.0.1:7000", logs to errOut. A command runs until its context
// ends.
func New(out, errOut io.Writer) *cli.Command {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", Output: errOut})
	return &cli.Command{
		Name:      "standin",
		Usage:     "stand-ins of the platform and of searchers, for tests",
		Writer:    out,
		ErrWriter: errOut,
		Commands: []*cli.Command{
			platformCommand(out, log),
			searcherCommand(out),
			fleetCommand(out),
		},
	}
}

func readyFlag() cli.Flag {
	return &cli.StringFlag{Name: "ready-file", Usage: "`PATH` of a file to write once it listens"}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "listen",
		Value: "127.0.0.1:0",
		Usage: "`ADDR` to listen on, an IP number and port; port 0 takes a free one",
	}
}
