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

func callerFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagCaller, Value: defaultCaller, Usage: "URL of a daemon's caller service", Sources: cli.EnvVars("CORNELWOOD_CALLER")},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time to wait for the daemon"},
		jsonFlag(),
	}, more...)
}

func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagOperator, Value: defaultOperator, Usage: "URL of a daemon's operator service", Sources: cli.EnvVars("CORNELWOOD_OPERATOR")},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time to wait for the daemon"},
		jsonFlag(),
	}, more...)
}

// caller returns a client of the caller service that the flags name.
func caller(cmd *cli.Command) *requester.Requester {
	return client(cmd, flagCaller)
}

// operator returns a client of the operator service that the flags name.
func operator(cmd *cli.Command) *requester.Requester {
	return client(cmd, flagOperator)
}

func client(cmd *cli.Command, flag string) *requester.Requester {
	return requester.New(cmd.String(flag), &http.Client{Timeout: cmd.Duration(flagTimeout)})
}

// call makes one call and prints its answer: as JSON when asked for, else with
// show. A refusal is printed as JSON too when asked for.
func call[T any](ctx context.Context, cmd *cli.Command, c *requester.Requester, method, path string, in any, show func(*T) error) error {
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
	return show(&out)
}

// arg returns the positional argument i, which the usage calls name.
func arg(cmd *cli.Command, i int, name string) (string, error) {
	if v := cmd.Args().Get(i); v != "" {
		return v, nil
	}
	return "", fmt.Errorf("argument %q is missing; see %q", name, cmd.FullName()+" --help")
}
