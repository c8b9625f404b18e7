package builder

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"
)

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "take availability zones out and bring them back",
		Description: "A zone taken out gets no new work after a few seconds; what runs there finishes. A zone brought back starts cold.",
		Commands: []*cli.Command{
			zoneMove("out", "take a zone out"),
			zoneMove("in", "bring a zone back"),
			deleteCommand("zone", "zones"),
			listCommand("zone", "zones"),
			showCommand("zone", "zones"),
		},
	}
}

func zoneMove(verb, usage string) *cli.Command {
	return &cli.Command{
		Name:        verb,
		Usage:       usage,
		ArgsUsage:   "NAME",
		Description: "Prints the zone's version once the platform has accepted the change.",
		Flags:       operatorFlags(changeFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := arg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			in := Change{Change: changeID(cmd)}
			return call(ctx, cmd, operator(cmd), http.MethodPost, "/v1/zones/"+name+"/"+verb, in, printAccepted(cmd))
		},
	}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:        "upstream",
		Usage:       "take single upstreams out and bring them back",
		Description: "An upstream taken out gets no new work after a few seconds; what runs there finishes. Brought back it starts cold.",
		Commands: []*cli.Command{
			upstreamMove("out", "take an upstream out"),
			upstreamMove("in", "bring an upstream back"),
		},
	}
}

func upstreamMove(verb, usage string) *cli.Command {
	return &cli.Command{
		Name:        verb,
		Usage:       usage,
		ArgsUsage:   "SERVICE UPSTREAM",
		Description: "Prints the service's version once the platform has accepted the change.",
		Flags:       operatorFlags(changeFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			service, err := arg(cmd, 0, "SERVICE")
			if err != nil {
				return err
			}
			upstream, err := arg(cmd, 1, "UPSTREAM")
			if err != nil {
				return err
			}
			path := fmt.Sprintf("/v1/services/%s/upstreams/%s/%s", service, upstream, verb)
			return call(ctx, cmd, operator(cmd), http.MethodPost, path, Change{Change: changeID(cmd)}, printAccepted(cmd))
		},
	}
}
