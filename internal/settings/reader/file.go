package reader

import (
	"gopkg.in/ini.v1"
)

// loadFile loads an INI file and reports duplicate sections and keys. It returns nil, and adds an error to the list, when
// the file cannot be read or parsed.
func loadFile(path string, l *errorList) *ini.File {
	opts := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreInlineComment:        false,
		SpaceBeforeInlineComment:   true,
	}
	file, err := ini.LoadSources(opts, path)
	if err != nil {
		l.addf("", "", "cannot be read: %v", err)
		return nil
	}
	seen := make(map[string]bool)
	for _, sec := range file.Sections() {
		checkDuplicates(sec, seen, l)
	}
	return file
}

// checkDuplicates reports keys that occur more than once in the section, the section itself if it is in seen, and keys
// before the first section of the file. It adds the section to seen.
func checkDuplicates(sec *ini.Section, seen map[string]bool, l *errorList) {
	name := sec.Name()
	if name == ini.DefaultSection {
		for _, k := range sec.Keys() {
			l.addf(name, k.Name(), "occurs before the first section")
		}
		return
	}
	if seen[name] {
		l.addf(name, "", "section occurs more than once")
	}
	seen[name] = true
	for _, k := range sec.Keys() {
		if n := len(k.ValueWithShadows()); n > 1 {
			l.addf(name, k.Name(), "occurs %d times", n)
		}
	}
}
