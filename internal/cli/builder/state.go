package builder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/route/linter"
	"cornelwood.example/platform"
)

const (
	flagAgainst = "against"
	flagStore   = "store"
)

// Exit codes of the check of a desired state.
const (
	exitWarnings    = 1
	exitErrors      = 2
	exitCheckFailed = 3
)

// checkError is the result of a check that found something or could not be made.
type checkError struct {
	code int
	err  error
}

// Error returns what was found, or why the check could not be made.
func (e *checkError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *checkError) Unwrap() error { return e.err }

// ExitCode returns the program's exit code.
func (e *checkError) ExitCode() int { return e.code }

// checkFailed returns the error of a check that could not be made.
func checkFailed(err error) error {
	return &checkError{exitCheckFailed, err}
}

func checkStateCommand() *cli.Command {
	return &cli.Command{
		Name:      "state",
		Usage:     "check a desired state before it is written to the store",
		ArgsUsage: "FILE",
		Description: "Checks the desired state of entry daemons, the JSON document that the store holds as config/main, and prints each finding with its severity and field. " +
			"An error is what daemons reject, ignore or leave out; a warning is what can never match, has no effect or contradicts another field; information is a field that daemons do not know. " +
			"With --against or --store it also prints what differs from the version in force, and a version that is not above that one is an error. " +
			"The store is only read, with one call. Keys are never printed. FILE may be - for standard input. " +
			"Exits with 0 if there are no warnings and no errors, 1 if there are warnings, 2 if there are errors, and 3 if the check could not be made.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "file with the version in force"},
			&cli.StringFlag{Name: flagStore, Usage: "IP address and port of the store to read the version in force from"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "timeout of the call to the store"},
			jsonFlag(),
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return checkFailed(err) },
		Action:       runCheckState,
	}
}

func runCheckState(ctx context.Context, cmd *cli.Command) error {
	path, err := requiredArg(cmd, 0, "FILE")
	if err != nil {
		return checkFailed(err)
	}
	if cmd.Args().Len() > 1 {
		return checkFailed(errors.New("want one file"))
	}
	next, err := readDocument(cmd, path)
	if err != nil {
		return checkFailed(err)
	}
	current, err := readCurrent(ctx, cmd)
	if err != nil {
		return checkFailed(err)
	}
	rep := linter.Check(next, current)
	if err := printCheck(cmd, rep); err != nil {
		return checkFailed(err)
	}
	errCount, warnCount := rep.Count(linter.Error), rep.Count(linter.Warning)
	result := fmt.Errorf("%d errors, %d warnings", errCount, warnCount)
	switch {
	case errCount > 0:
		return &checkError{exitErrors, result}
	case warnCount > 0:
		return &checkError{exitWarnings, result}
	default:
		return nil
	}
}

func readDocument(cmd *cli.Command, path string) (*platform.Document, error) {
	if path == "-" {
		text, err := io.ReadAll(cmd.Root().Reader)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return platform.ReadDocument(text), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read desired state: %w", err)
	}
	return platform.ReadDocument(text), nil
}

// readCurrent returns the version in force from where the flags say, nil when they name no place or the store has none.
func readCurrent(ctx context.Context, cmd *cli.Command) (linter.Document, error) {
	file, store := cmd.String(flagAgainst), cmd.String(flagStore)
	switch {
	case file != "" && store != "":
		return nil, fmt.Errorf("want at most one of --%s and --%s", flagAgainst, flagStore)
	case file != "":
		return readDocument(cmd, file)
	case store == "":
		return nil, nil
	}
	addr, err := netip.ParseAddrPort(store)
	if err != nil {
		return nil, fmt.Errorf("flag --%s: want an IP address and port: %w", flagStore, err)
	}
	client, closer := platform.NewClient(addr, nil)
	defer closer()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	doc, err := client.Document(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the version in force: %w", err)
	}
	if doc == nil {
		fmt.Fprintln(cmd.Root().ErrWriter, "the store has no desired state to compare with")
		return nil, nil
	}
	return doc, nil
}

func printCheck(cmd *cli.Command, rep *linter.Report) error {
	w := cmd.Root().Writer
	if cmd.Bool(flagJSON) {
		return printer.JSON(w, rep)
	}
	for _, f := range rep.Findings {
		field := f.Field
		if field == "" {
			field = "document"
		}
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, field, f.Reason); err != nil {
			return err
		}
	}
	if len(rep.Findings) == 0 {
		fmt.Fprintln(w, "no findings")
	}
	if rep.Current == 0 {
		return nil
	}
	fmt.Fprintf(w, "version %d against version %d: %d differences\n", rep.Version, rep.Current, len(rep.Differences))
	for _, d := range rep.Differences {
		if _, err := fmt.Fprintln(w, differenceLine(&d)); err != nil {
			return err
		}
	}
	return nil
}

func differenceLine(d *linter.Difference) string {
	object := d.List
	if d.List != "limits" {
		object = fmt.Sprintf("%s %q", d.List, d.Name)
	}
	switch {
	case d.Change != linter.Changed:
		return fmt.Sprintf("%s: %s", object, d.Change)
	case d.Note != "":
		return fmt.Sprintf("%s: %s: %s", object, d.Field, d.Note)
	default:
		return fmt.Sprintf("%s: %s: %s -> %s", object, d.Field, jsonText(d.Old), jsonText(d.New))
	}
}

// jsonText returns a value as it stands in a document.
func jsonText(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%q", fmt.Sprint(v))
	}
	return string(text)
}
