package main_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cornelwood.example/internal/cli/builder"
	"cornelwood.example/internal/cli/executor"
	"cornelwood.example/internal/standin/commander"
)

// TestMain makes the test binary run as either program, so that tests start the real commands as separate processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cornelwood": func() { os.Exit(executor.Execute(builder.New(os.Stdout, os.Stderr), os.Args)) },
		"standin":    func() { os.Exit(executor.Execute(commander.New(os.Stdout, os.Stderr), os.Args)) },
	})
}
