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
		Usage: "ask a service for its best matches",
		Description: "Sends one query to a daemon and prints the merged answer: snapshot, coverage with the missing shards and why, " +
			"and the results. A partial answer exits with 0 too; a refusal exits with 2 and says whether the query was run.",
		Flags: callerFlags(
			&cli.StringFlag{Name: flagService, Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: flagTerms, Usage: "what to search for"},
			&cli.IntFlag{Name: flagLimit, Usage: "number of results; 0 means 10"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "time for the answer; absent means the contract's"},
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
			return call(ctx, cmd, caller(cmd), http.MethodPost, "/v1/query", q, func(a *answerer.Answer) error {
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
		Usage: "take a ticket for a request that may not be repeated",
		Description: "Prints a ticket under which one action runs at most once. Use it with \"cornelwood run --ticket\", " +
			"as often and through as many daemons as it takes: the action is not run a second time.",
		Flags: callerFlags(&cli.StringFlag{Name: flagService, Required: true, Usage: "name of a service of class action"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			in := map[string]string{"service": cmd.String(flagService)}
			return call(ctx, cmd, caller(cmd), http.MethodPost, "/v1/ticket", in, func(t *answerer.Ticket) error {
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
		Description: "Runs an action under a ticket and prints the outcome: done, not_run, or unknown. " +
			"Repeated with the same ticket it prints the first run's outcome.",
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
			return call(ctx, cmd, caller(cmd), http.MethodPost, "/v1/run", r, func(res *answerer.RunResult) error {
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
