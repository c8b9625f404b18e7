// Command cornelwood is the query tier: its daemon and the commands of its
// operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cornelwood.example/internal/cli/builder"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := builder.New(os.Stdout, os.Stderr).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cornelwood:", err)
	}
	os.Exit(builder.ExitCode(err))
}
