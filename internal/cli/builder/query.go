package builder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
)

const (
	flagService  = "service"
	flagTerms    = "terms"
	flagLimit    = "limit"
	flagDeadline = "deadline"
	flagRequest  = "request"
	flagTicket   = "ticket"
	flagAction   = "action"
)

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:  "query",
		Usage: "search a service for its best matches",
		Description: "Sends one query to a daemon and prints the merged answer: the snapshot, the coverage, the missing shards with reasons, " +
			"and the results. The exit code is 0 for a partial answer too, and 2 for a refusal, which says whether the query was run.",
		Flags: callerFlags(
			&cli.StringFlag{Name: flagService, Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: flagTerms, Usage: "search terms"},
			&cli.IntFlag{Name: flagLimit, Usage: "number of results; 0 means 10"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "deadline of the query; the default is the contract's"},
			&cli.StringFlag{Name: flagRequest, Usage: "id of the request, repeated in the answer"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			q := answerer.Query{
				Request: cmd.String(flagRequest),
				Service: cmd.String(flagService),
				Terms:   cmd.String(flagTerms),
				Limit:   cmd.Int(flagLimit),
			}
			if cmd.IsSet(flagDeadline) {
				q.Deadline = &declarer.Duration{Duration: cmd.Duration(flagDeadline)}
			}
			return callAndPrint(ctx, cmd, callerClient(cmd), http.MethodPost, "/v1/query", q, func(a *answerer.Answer) error {
				return printAnswer(cmd, a)
			})
		},
	}
}

func printAnswer(cmd *cli.Command, a *answerer.Answer) error {
	w := cmd.Root().Writer
	fmt.Fprintf(w, "service %s, snapshot %d, %d of %d shards, %d documents, took %s\n",
		a.Service, a.Snapshot, a.Coverage.Merged, a.Coverage.Shards, a.Coverage.Documents, a.Took)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(w, "missing: shard %d (%s)\n", m.Shard, m.Reason)
	}
	rows := make([][]string, len(a.Results))
	for i, h := range a.Results {
		rows[i] = []string{fmt.Sprintf("%.4f", h.Score), fmt.Sprint(h.Shard), h.ID, h.Text}
	}
	return printer.Table(w, []string{"SCORE", "SHARD", "ID", "TEXT"}, rows)
}

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "get a ticket for an action that must not run twice",
		Description: "Prints a ticket with which one action runs at most once. Pass it to \"cornelwood run --ticket\", " +
			"which can be repeated, through any daemons, until the outcome is known: the action does not run a second time.",
		Flags: callerFlags(&cli.StringFlag{Name: flagService, Required: true, Usage: "name of a service of class action"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			in := map[string]string{"service": cmd.String(flagService)}
			return callAndPrint(ctx, cmd, callerClient(cmd), http.MethodPost, "/v1/ticket", in, func(t *answerer.Ticket) error {
				_, err := fmt.Fprintln(cmd.Root().Writer, t.Ticket)
				return err
			})
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run an action at most once",
		Description: "Runs an action with a ticket and prints the outcome: done, not_run, or unknown. " +
			"When repeated with the same ticket, it prints the outcome of the first run.",
		Flags: callerFlags(
			&cli.StringFlag{Name: flagService, Required: true, Usage: "name of a service of class action"},
			&cli.StringFlag{Name: flagTicket, Required: true, Usage: "ticket from \"cornelwood ticket\""},
			&cli.StringFlag{Name: flagAction, Required: true, Usage: "the action, as JSON"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			action := json.RawMessage(cmd.String(flagAction))
			if !json.Valid(action) {
				return fmt.Errorf("flag %q: want JSON, got %q", flagAction, action)
			}
			r := answerer.Run{Ticket: cmd.String(flagTicket), Service: cmd.String(flagService), Action: action}
			return callAndPrint(ctx, cmd, callerClient(cmd), http.MethodPost, "/v1/run", r, func(res *answerer.RunResult) error {
				return printRun(cmd, res)
			})
		},
	}
}

func printRun(cmd *cli.Command, res *answerer.RunResult) error {
	line := string(res.Outcome)
	if res.Reason != "" {
		line += ": " + res.Reason
	}
	if len(res.Reply) > 0 {
		line += " " + string(res.Reply)
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, line)
	return err
}
