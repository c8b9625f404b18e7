package builder

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/control/reconciler"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the fleet as seen by one daemon",
		Description: "Prints the daemon's configuration version, the time since the platform last answered, and each instance with its state.",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodGet, "/v1/status", nil, func(s *reconciler.Status) error {
				return printStatus(cmd, s)
			})
		},
	}
}

func printStatus(cmd *cli.Command, s *reconciler.Status) error {
	w := cmd.Root().Writer
	lastContact := "never"
	if s.FleetContactAge != nil {
		lastContact = s.FleetContactAge.String() + " ago"
	}
	fmt.Fprintf(w, "instance %s, configuration version %d, %d objects, last answer from the platform: %s\n",
		s.Self.ID, s.Version, len(s.Objects), lastContact)
	rows := make([][]string, len(s.Members))
	for i, m := range s.Members {
		rows[i] = []string{m.ID, m.Zone, m.Region, m.State, m.Peer, fmt.Sprint(m.Term)}
	}
	return printer.Table(w, []string{"INSTANCE", "ZONE", "REGION", "STATE", "PEER", "TERM"}, rows)
}
