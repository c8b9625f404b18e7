package builder

import (
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
		Description: "Reads each file with the checks that the daemon and the operator commands use and lists every fault with file, " +
			"section and key. Files named *.schema.ini are read as schemas, those with a section [store] as an entry daemon's settings, others as a daemon's. Exits with 1 when there is a fault.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "schema", Usage: "read the files as schemas, whatever their names"},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	paths := cmd.Args().Slice()
	if len(paths) == 0 {
		return fmt.Errorf("argument %q is missing; see %q", "FILE", cmd.FullName()+" --help")
	}
	faults := 0
	for _, path := range paths {
		err := checkFile(path, cmd.Bool("schema") || strings.HasSuffix(path, ".schema.ini"))
		if err == nil {
			fmt.Fprintf(cmd.Root().Writer, "%s: no faults\n", path)
			continue
		}
		for _, f := range reader.Faults(err) {
			fmt.Fprintln(cmd.Root().Writer, f)
			faults++
		}
	}
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	return nil
}

func checkFile(path string, schema bool) error {
	if _, err := os.Stat(path); err != nil {
		return &reader.FaultError{File: path, Reason: "cannot be read: no such file"}
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
