// Package executor runs a command line as a program: signals end it, errors go
// to standard error, and the outcome becomes an exit code.
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

// Exit codes of a program.
const (
	exitFault   = 1
	exitRefused = 2
)

// Execute runs cmd with the program's arguments until it ends or is signalled.
// It writes an error to the command's error output, and returns the exit code:
// 0, 2 for a refusal, and 1 for any other error.
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
	switch {
	case err == nil:
		return 0
	case errors.As(err, &ref):
		return exitRefused
	default:
		return exitFault
	}
}
