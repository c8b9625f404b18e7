package reader

import (
	"fmt"
	"io"

	"cornelwood.example/internal/contract/declarer"
)

// WriteReference writes docs/SETTINGS.md: every key of the settings and of the
// schema.
func WriteReference(w io.Writer) error {
	var s Settings
	if _, err := fmt.Fprint(w, "# Settings and schema\n\nWritten by `cornelwood docs settings`; CI checks it against the code.\n\n## Settings of a daemon\n"); err != nil {
		return err
	}
	for _, sec := range s.sections() {
		if err := writeSection(w, sec); err != nil {
			return err
		}
	}
	var e EntrySettings
	if _, err := fmt.Fprint(w, "\n## Settings of an entry daemon\n"); err != nil {
		return err
	}
	for _, sec := range e.sections() {
		if err := writeSection(w, sec); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(w, "\n## Schema\n"); err != nil {
		return err
	}
	schema := []section{
		{"zone NAME", "an availability zone", zoneFields(&declarer.Zone{})},
		{"service NAME", "a service; `shard.N = name@zone@address, ...` names the upstreams of shard N", serviceFields(&declarer.Service{})},
		{"map SERVICE FROM", "another shard map, from snapshot FROM on; only `shard.N` keys", nil},
	}
	for _, sec := range schema {
		if err := writeSection(w, sec); err != nil {
			return err
		}
	}
	return nil
}

func writeSection(w io.Writer, sec section) error {
	if _, err := fmt.Fprintf(w, "\n### [%s]\n\n%s\n", sec.name, sec.help); err != nil {
		return err
	}
	if len(sec.fields) == 0 {
		return nil
	}
	if _, err := fmt.Fprint(w, "\n| key | preset | meaning |\n| --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, fl := range sec.fields {
		preset := fl.preset
		if fl.required {
			preset = "(required)"
		}
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", fl.key, preset, fl.help); err != nil {
			return err
		}
	}
	return nil
}
