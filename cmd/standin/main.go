// Command standin runs the stand-ins of the platform and of searchers, for
// tests and demonstrations.
package main

import (
	"os"

	"cornelwood.example/internal/cli/executor"
	"cornelwood.example/internal/standin/commander"
)

func main() {
	os.Exit(executor.Execute(commander.New(os.Stdout, os.Stderr), os.Args))
}
