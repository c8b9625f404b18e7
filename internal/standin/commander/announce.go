package commander

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// announce writes the lines to out and, if a path is given, to a file that
// appears whole.
func announce(out io.Writer, path string, lines []string) error {
	text := strings.Join(lines, "\n") + "\n"
	fmt.Fprint(out, text)
	if path == "" {
		return nil
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, []byte(text), 0o600); err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	if err := os.Rename(partial, path); err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	return nil
}
