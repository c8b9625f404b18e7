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
		Usage:       "take availability zones out of service and bring them back",
		Description: "A zone taken out receives no new requests after a few seconds; its requests in flight finish. A zone brought back starts cold.",
		Commands: []*cli.Command{
			zoneAvailabilityCommand("out", "take a zone out"),
			zoneAvailabilityCommand("in", "bring a zone back"),
			deleteCommand("zone", "zones"),
			listCommand("zone", "zones"),
			showCommand("zone", "zones"),
		},
	}
}

// zoneAvailabilityCommand returns the command "out" or "in" of zones.
func zoneAvailabilityCommand(verb, usage string) *cli.Command {
	return &cli.Command{
		Name:        verb,
		Usage:       usage,
		ArgsUsage:   "NAME",
		Description: "Prints the zone's version once the platform has accepted the change.",
		Flags:       operatorFlags(changeFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := requiredArg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			in := changeRequest{ChangeID: changeID(cmd)}
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodPost, "/v1/zones/"+name+"/"+verb, in, printAccepted(cmd))
		},
	}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:        "upstream",
		Usage:       "take individual upstreams out of service and bring them back",
		Description: "An upstream taken out receives no new requests after a few seconds; its requests in flight finish. An upstream brought back starts cold.",
		Commands: []*cli.Command{
			upstreamAvailabilityCommand("out", "take an upstream out"),
			upstreamAvailabilityCommand("in", "bring an upstream back"),
		},
	}
}

// upstreamAvailabilityCommand returns the command "out" or "in" of upstreams.
func upstreamAvailabilityCommand(verb, usage string) *cli.Command {
	return &cli.Command{
		Name:        verb,
		Usage:       usage,
		ArgsUsage:   "SERVICE UPSTREAM",
		Description: "Prints the service's version once the platform has accepted the change.",
		Flags:       operatorFlags(changeFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			service, err := requiredArg(cmd, 0, "SERVICE")
			if err != nil {
				return err
			}
			upstream, err := requiredArg(cmd, 1, "UPSTREAM")
			if err != nil {
				return err
			}
			path := fmt.Sprintf("/v1/services/%s/upstreams/%s/%s", service, upstream, verb)
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodPost, path, changeRequest{ChangeID: changeID(cmd)}, printAccepted(cmd))
		},
	}
}
