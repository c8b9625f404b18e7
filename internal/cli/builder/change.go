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

// settled is the answer about a change whose own answer was lost.
type settled struct {
	Outcome answerer.Outcome `json:"outcome"`
	Version uint64           `json:"version"`
	Reason  string           `json:"reason,omitempty"`
}

func changeCommand() *cli.Command {
	return &cli.Command{
		Name:        "change",
		Usage:       "settle changes whose answer was lost",
		Description: "When a change ends as unknown, its refusal names the command that settles it.",
		Commands: []*cli.Command{{
			Name:      "settle",
			Usage:     "find out whether a change took effect, and rule out that it still may",
			ArgsUsage: "KIND NAME CHANGE",
			Description: "Prints done, not_run or unknown for the change with this id, such as \"service anomaly-finder 4fz2\". " +
				"When the object does not remember the change it is written again unchanged, so that a write still on its way can never apply.",
			Flags:  operatorFlags(&cli.StringFlag{Name: flagAfter, Usage: "the object's last change before this one, as the refusal named it"}),
			Action: settleChange,
		}},
	}
}

func settleChange(ctx context.Context, cmd *cli.Command) error {
	kind, err := arg(cmd, 0, "KIND")
	if err != nil {
		return err
	}
	name, err := arg(cmd, 1, "NAME")
	if err != nil {
		return err
	}
	id, err := arg(cmd, 2, "CHANGE")
	if err != nil {
		return err
	}
	path := "/v1/changes/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "/" + url.PathEscape(id) +
		"?after=" + url.QueryEscape(cmd.String(flagAfter))
	return call(ctx, cmd, operator(cmd), http.MethodPost, path, nil, func(s *settled) error {
		line := fmt.Sprintf("%s (version %d)", s.Outcome, s.Version)
		if s.Reason != "" {
			line += ": " + s.Reason
		}
		_, err := fmt.Fprintln(cmd.Root().Writer, line)
		return err
	})
}
