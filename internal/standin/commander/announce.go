package commander

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// announce writes the lines to out and, if path is not empty, also to a file at path, which is created atomically by
// renaming "PATH.partial".
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
