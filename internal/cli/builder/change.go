package builder

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/contract/answerer"
)

const flagAfter = "after"

// settleResult is the answer to a request to settle a change whose own answer was lost.
type settleResult struct {
	Outcome answerer.Outcome `json:"outcome"`
	Version uint64           `json:"version"`
	Reason  string           `json:"reason,omitempty"`
}

func changeCommand() *cli.Command {
	return &cli.Command{
		Name:        "change",
		Usage:       "settle changes with an unknown outcome",
		Description: "When the outcome of a change is unknown, its refusal contains the command that settles it.",
		Commands: []*cli.Command{{
			Name:      "settle",
			Usage:     "determine whether a change took effect, and prevent it from taking effect later",
			ArgsUsage: "KIND NAME CHANGE",
			Description: "Prints done, not_run or unknown for the change with this id. An example of the arguments is \"service anomaly-finder 4fz2\". " +
				"If the object has no record of the change, it is written again unchanged, so that a write still in flight can never be applied.",
			Flags:  operatorFlags(&cli.StringFlag{Name: flagAfter, Usage: "id of the object's last change before this one, as given in the refusal"}),
			Action: settleChange,
		}},
	}
}

func settleChange(ctx context.Context, cmd *cli.Command) error {
	kind, err := requiredArg(cmd, 0, "KIND")
	if err != nil {
		return err
	}
	name, err := requiredArg(cmd, 1, "NAME")
	if err != nil {
		return err
	}
	id, err := requiredArg(cmd, 2, "CHANGE")
	if err != nil {
		return err
	}
	path := "/v1/changes/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "/" + url.PathEscape(id) +
		"?after=" + url.QueryEscape(cmd.String(flagAfter))
	return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodPost, path, nil, func(s *settleResult) error {
		line := fmt.Sprintf("%s (version %d)", s.Outcome, s.Version)
		if s.Reason != "" {
			line += ": " + s.Reason
		}
		_, err := fmt.Fprintln(cmd.Root().Writer, line)
		return err
	})
}
