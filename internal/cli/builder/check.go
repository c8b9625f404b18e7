package builder

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/settings/reader"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings and schema files",
		ArgsUsage: "FILE...",
		Description: "Checks each file as the daemons and the operator commands do, and prints every error with its file, section and key. " +
			"Files named *.schema.ini are read as schemas, files with a section [store] as settings of an entry daemon, all others as settings of a daemon. Exits with 1 if there are errors. " +
			"A desired state is checked by the subcommand state; a file of that name is given as ./state.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "schema", Usage: "read the files as schemas regardless of their names"},
		},
		Commands: []*cli.Command{checkStateCommand()},
		Action:   runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	paths := cmd.Args().Slice()
	if len(paths) == 0 {
		return fmt.Errorf("argument %q is missing; see %q", "FILE", cmd.FullName()+" --help")
	}
	errCount := 0
	for _, path := range paths {
		err := checkFile(path, cmd.Bool("schema") || strings.HasSuffix(path, ".schema.ini"))
		if err == nil {
			fmt.Fprintf(cmd.Root().Writer, "%s: no errors\n", path)
			continue
		}
		for _, fe := range reader.FileErrors(err) {
			fmt.Fprintln(cmd.Root().Writer, fe)
			errCount++
		}
	}
	if errCount > 0 {
		return fmt.Errorf("%d errors", errCount)
	}
	return nil
}

// checkFile validates a schema file, or a settings file of either kind of daemon.
func checkFile(path string, schema bool) error {
	if _, err := os.Stat(path); err != nil {
		return &reader.FileError{File: path, Reason: "cannot be read: no such file"}
	}
	// The errors of settings quote the file, which could hold keys of accounts.
	if text, err := os.ReadFile(path); err == nil && bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return &reader.FileError{File: path, Reason: "is JSON; a desired state is checked by \"cornelwood check state\""}
	}
	if schema {
		_, err := reader.ReadSchema(path)
		return err
	}
	if reader.IsEntrySettings(path) {
		_, err := reader.ReadEntrySettings(path)
		return err
	}
	_, err := reader.ReadSettings(path)
	return err
}
