package builder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
)

const (
	flagCaller   = "caller"
	flagOperator = "operator"
	flagTimeout  = "timeout"

	defaultCaller   = "http://127.0.0.1:20000"
	defaultOperator = "http://127.0.0.1:20100"
	defaultTimeout  = 15 * time.Second
)

// callerFlags returns the flags of a command that calls a daemon's caller service, and those of its own.
func callerFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagCaller, Value: defaultCaller, Usage: "URL of a daemon's caller service", Sources: cli.EnvVars("CORNELWOOD_CALLER")},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "timeout of the call to the daemon"},
		jsonFlag(),
	}, own...)
}

// operatorFlags returns the flags of a command that calls a daemon's operator service, and those of its own.
func operatorFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagOperator, Value: defaultOperator, Usage: "URL of a daemon's operator service", Sources: cli.EnvVars("CORNELWOOD_OPERATOR")},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "timeout of the call to the daemon"},
		jsonFlag(),
	}, own...)
}

// callerClient returns a client of the caller service at the URL that the flags give.
func callerClient(cmd *cli.Command) *requester.Requester {
	return newClient(cmd, flagCaller)
}

// operatorClient returns a client of the operator service at the URL that the flags give.
func operatorClient(cmd *cli.Command) *requester.Requester {
	return newClient(cmd, flagOperator)
}

func newClient(cmd *cli.Command, flag string) *requester.Requester {
	return requester.New(cmd.String(flag), &http.Client{Timeout: cmd.Duration(flagTimeout)})
}

// callAndPrint makes one call and prints its answer, as JSON with the flag --json, else with printText. With the flag it
// also prints a refusal as JSON, and returns it.
func callAndPrint[T any](ctx context.Context, cmd *cli.Command, c *requester.Requester, method, path string, in any, printText func(*T) error) error {
	var out T
	err := c.Do(ctx, method, path, in, &out)
	var ref *answerer.RefusalError
	if errors.As(err, &ref) && cmd.Bool(flagJSON) {
		if perr := printer.JSON(cmd.Root().Writer, ref); perr != nil {
			return perr
		}
	}
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return printer.JSON(cmd.Root().Writer, out)
	}
	return printText(&out)
}

// requiredArg returns positional argument i, named name in the usage, or an error if it is missing.
func requiredArg(cmd *cli.Command, i int, name string) (string, error) {
	if v := cmd.Args().Get(i); v != "" {
		return v, nil
	}
	return "", fmt.Errorf("argument %q is missing; see %q", name, cmd.FullName()+" --help")
}
