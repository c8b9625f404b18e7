// Package executor runs a command as the main function of a program: signals cancel it, errors are written to the error
// output, and the result is turned into an exit code.
package executor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/contract/answerer"
)

// Exit codes of a program that fails.
const (
	exitError   = 1
	exitRefused = 2
)

// Execute runs cmd with the program's arguments, the first of which is the program's name. SIGINT and SIGTERM cancel the
// command's context. Execute writes an error to the command's error output and returns the exit code: 0 for success, that
// of the error if it is a cli.ExitCoder, 2 for a refusal and 1 for any other error.
func Execute(cmd *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cmd.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(cmd.ErrWriter, "%s: %v\n", cmd.Name, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var ref *answerer.RefusalError
	var coder cli.ExitCoder
	switch {
	case err == nil:
		return 0
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &ref):
		return exitRefused
	default:
		return exitError
	}
}
