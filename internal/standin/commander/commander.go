// Package commander is the command line of the stand-ins.
package commander

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// New returns the root command. Its commands write the addresses that they listen on to out, as lines such as
// "listening 127.0.0.1:7000", and logs to errOut, and run until their context ends.
func New(out, errOut io.Writer) *cli.Command {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", Output: errOut})
	return &cli.Command{
		Name:      "standin",
		Usage:     "stand-ins for the platform and searchers, for tests",
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
	return &cli.StringFlag{Name: "ready-file", Usage: "`PATH` of a file to write the addresses to once the command listens"}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "listen",
		Value: "127.0.0.1:0",
		Usage: "`ADDR` to listen on, an IP address and port; port 0 takes a free one",
	}
}
