package builder

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/settings/reader"
)

func docsCommand() *cli.Command {
	return &cli.Command{
		Name:        "docs",
		Usage:       "write the generated pages",
		Description: "Writes docs/CLI.md or docs/SETTINGS.md to standard output. CI checks both against the code.",
		Commands: []*cli.Command{
			{
				Name: "cli", Usage: "write docs/CLI.md", Description: "One section for each command.",
				Action: func(_ context.Context, cmd *cli.Command) error {
					return writeCLI(cmd.Root().Writer, cmd.Root())
				},
			},
			{
				Name: "settings", Usage: "write docs/SETTINGS.md", Description: "One table for each section of settings and schema.",
				Action: func(_ context.Context, cmd *cli.Command) error {
					return reader.WriteReference(cmd.Root().Writer)
				},
			},
		},
	}
}

// writeCLI writes the page of all commands below root.
func writeCLI(w io.Writer, root *cli.Command) error {
	if _, err := fmt.Fprintf(w, "# Command line\n\nWritten by `cornelwood docs cli`; CI checks it against the code.\n\n%s\n", root.Description); err != nil {
		return err
	}
	return writeCommands(w, root.Name, root.Commands)
}

func writeCommands(w io.Writer, path string, cmds []*cli.Command) error {
	for _, c := range cmds {
		if c.Name == "help" {
			continue
		}
		full := path + " " + c.Name
		if err := writeCommand(w, full, c); err != nil {
			return err
		}
		if err := writeCommands(w, full, c.Commands); err != nil {
			return err
		}
	}
	return nil
}

func writeCommand(w io.Writer, full string, c *cli.Command) error {
	title := strings.TrimSpace(full + " " + c.ArgsUsage)
	if _, err := fmt.Fprintf(w, "\n## %s\n\n%s.\n\n%s\n", title, c.Usage, c.Description); err != nil {
		return err
	}
	for i, f := range c.Flags {
		if i == 0 {
			fmt.Fprintln(w)
		}
		if err := writeFlag(w, f); err != nil {
			return err
		}
	}
	return nil
}

func writeFlag(w io.Writer, f cli.Flag) error {
	doc, ok := f.(cli.DocGenerationFlag)
	if !ok || f.Names()[0] == "help" {
		return nil
	}
	preset := ""
	if v := doc.GetDefaultText(); v != "" && v != `""` && doc.TakesValue() {
		preset = " (preset " + v + ")"
	}
	_, err := fmt.Fprintf(w, "- `--%s`: %s%s\n", f.Names()[0], doc.GetUsage(), preset)
	return err
}
