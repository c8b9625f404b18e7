package main_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cornelwood.example/internal/cli/builder"
	"cornelwood.example/internal/cli/executor"
	"cornelwood.example/internal/standin/commander"
)

// TestMain lets the test binary stand in for both programs, so that tests start
// the real commands as processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cornelwood": func() { os.Exit(executor.Execute(builder.New(os.Stdout, os.Stderr), os.Args)) },
		"standin":    func() { os.Exit(executor.Execute(commander.New(os.Stdout, os.Stderr), os.Args)) },
	})
}
