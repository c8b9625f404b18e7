package reader

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// field is one key of a section: how it is read, and its line in the reference.
type field struct {
	key string
	// preset is the value of an absent key; a required key has none.
	preset   string
	required bool
	help     string
	parse    func(text string) error
}

// readSection reads the keys of one section into their fields.
func readSection(sec *ini.Section, name string, fields []field, f *faults) {
	known := make(map[string]bool)
	for _, fl := range fields {
		known[fl.key] = true
		readField(sec, name, fl, f)
	}
	if sec == nil {
		return
	}
	for _, k := range sec.Keys() {
		if !known[k.Name()] {
			f.addf(name, k.Name(), "unknown key; known are %s", strings.Join(keys(fields), ", "))
		}
	}
}

func readField(sec *ini.Section, name string, fl field, f *faults) {
	text := fl.preset
	if sec != nil && sec.HasKey(fl.key) {
		text = strings.TrimSpace(sec.Key(fl.key).String())
	}
	if text == "" {
		if fl.required {
			f.addf(name, fl.key, "missing; want %s", fl.help)
		}
		return
	}
	if err := fl.parse(text); err != nil {
		f.addf(name, fl.key, "%v", err)
	}
}

func keys(fields []field) []string {
	names := make([]string, len(fields))
	for i, fl := range fields {
		names[i] = fl.key
	}
	return names
}

func text(dst *string) func(string) error {
	return func(s string) error {
		*dst = s
		return nil
	}
}

func boolean(dst *bool) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseBool(s)
		if err != nil {
			return fmt.Errorf("want true or false, got %q", s)
		}
		*dst = v
		return nil
	}
}

func integer(dst *int, low, high int) func(string) error {
	return func(s string) error {
		v, err := strconv.Atoi(s)
		if err != nil || v < low || v > high {
			return fmt.Errorf("want a whole number from %d to %d, got %q", low, high, s)
		}
		*dst = v
		return nil
	}
}

func fraction(dst *float64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return fmt.Errorf("want a number, got %q", s)
		}
		*dst = v
		return nil
	}
}

func duration(dst *time.Duration, low time.Duration) func(string) error {
	return func(s string) error {
		v, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("want a duration such as \"500ms\", got %q", s)
		}
		if v < low || v > maxWait {
			return fmt.Errorf("want %s to %s, got %s", low, maxWait, v)
		}
		*dst = v
		return nil
	}
}

func address(dst *netip.AddrPort) func(string) error {
	return func(s string) error {
		v, err := netip.ParseAddrPort(s)
		if err != nil {
			return fmt.Errorf("want an IP number and port such as \"127.0.0.1:8080\", got %q", s)
		}
		*dst = v
		return nil
	}
}

func addresses(dst *[]netip.AddrPort) func(string) error {
	return func(s string) error {
		for part := range strings.SplitSeq(s, ",") {
			var v netip.AddrPort
			if err := address(&v)(strings.TrimSpace(part)); err != nil {
				return err
			}
			*dst = append(*dst, v)
		}
		return nil
	}
}

func httpURL(dst *string) func(string) error {
	return func(s string) error {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("want an http or https URL, got %q", s)
		}
		*dst = strings.TrimSuffix(s, "/")
		return nil
	}
}

func oneOf(dst *string, words ...string) func(string) error {
	return func(s string) error {
		for _, w := range words {
			if s == w {
				*dst = s
				return nil
			}
		}
		return fmt.Errorf("want one of %s, got %q", strings.Join(words, ", "), s)
	}
}
