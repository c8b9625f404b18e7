// Command cornelwood is the query tier: its daemon and the commands of its
// operators and callers.
package main

import (
	"os"

	"cornelwood.example/internal/cli/builder"
	"cornelwood.example/internal/cli/executor"
)

func main() {
	os.Exit(executor.Execute(builder.New(os.Stdout, os.Stderr), os.Args))
}
