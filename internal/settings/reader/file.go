package reader

import (
	"gopkg.in/ini.v1"
)

// loadFile reads an INI file and refuses sections and keys that stand twice.
// The file is nil when it cannot be read at all; the fault is then recorded.
func loadFile(path string, f *faults) *ini.File {
	opts := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreInlineComment:        false,
		SpaceBeforeInlineComment:   true,
	}
	file, err := ini.LoadSources(opts, path)
	if err != nil {
		f.addf("", "", "cannot be read: %v", err)
		return nil
	}
	seen := make(map[string]bool)
	for _, sec := range file.Sections() {
		checkTwice(sec, seen, f)
	}
	return file
}

func checkTwice(sec *ini.Section, seen map[string]bool, f *faults) {
	name := sec.Name()
	if name == ini.DefaultSection {
		for _, k := range sec.Keys() {
			f.addf(name, k.Name(), "stands before the first section")
		}
		return
	}
	if seen[name] {
		f.addf(name, "", "section stands twice")
	}
	seen[name] = true
	for _, k := range sec.Keys() {
		if n := len(k.ValueWithShadows()); n > 1 {
			f.addf(name, k.Name(), "stands %d times", n)
		}
	}
}
