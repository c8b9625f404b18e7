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

// field is one key of a section: how it is parsed, and its line on the reference page.
type field struct {
	key string
	// defaultValue is the value of an absent key; required keys have none.
	defaultValue string
	required     bool
	help         string
	// parse stores the value in its destination.
	parse func(text string) error
}

// readSection parses the keys of one section and reports unknown ones. sec is nil when the file does not have the
// section.
func readSection(sec *ini.Section, name string, fields []field, l *errorList) {
	known := make(map[string]bool)
	for _, fl := range fields {
		known[fl.key] = true
		readField(sec, name, fl, l)
	}
	if sec == nil {
		return
	}
	for _, k := range sec.Keys() {
		if !known[k.Name()] {
			l.addf(name, k.Name(), "unknown key; the known keys are %s", strings.Join(keys(fields), ", "))
		}
	}
}

func readField(sec *ini.Section, name string, fl field, l *errorList) {
	text := fl.defaultValue
	if sec != nil && sec.HasKey(fl.key) {
		text = strings.TrimSpace(sec.Key(fl.key).String())
	}
	if text == "" {
		if fl.required {
			l.addf(name, fl.key, "missing; want %s", fl.help)
		}
		return
	}
	if err := fl.parse(text); err != nil {
		l.addf(name, fl.key, "%v", err)
	}
}

// keys returns the names of the fields' keys.
func keys(fields []field) []string {
	names := make([]string, len(fields))
	for i, fl := range fields {
		names[i] = fl.key
	}
	return names
}

// text returns a parser of any text.
func text(dst *string) func(string) error {
	return func(s string) error {
		*dst = s
		return nil
	}
}

// boolean returns a parser of truth values as strconv.ParseBool accepts them.
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

// integer returns a parser of whole numbers from low to high.
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

// fraction returns a parser of floating-point numbers from 0 to 1.
func fraction(dst *float64) func(string) error {
	return number(dst, 0, 1)
}

// number returns a parser of floating-point numbers from low to high.
func number(dst *float64, low, high float64) func(string) error {
	return func(s string) error {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= low && v <= high) {
			return fmt.Errorf("want a number from %g to %g, got %q", low, high, s)
		}
		*dst = v
		return nil
	}
}

// duration returns a parser of durations from low to maxDuration.
func duration(dst *time.Duration, low time.Duration) func(string) error {
	return func(s string) error {
		v, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("want a duration such as \"500ms\", got %q", s)
		}
		if v < low || v > maxDuration {
			return fmt.Errorf("want %s to %s, got %s", low, maxDuration, v)
		}
		*dst = v
		return nil
	}
}

// address returns a parser of an IP address with a port.
func address(dst *netip.AddrPort) func(string) error {
	return func(s string) error {
		v, err := netip.ParseAddrPort(s)
		if err != nil {
			return fmt.Errorf("want an IP address and port such as \"127.0.0.1:8080\", got %q", s)
		}
		*dst = v
		return nil
	}
}

// addresses returns a parser of IP addresses with ports, separated by commas.
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

// httpURL returns a parser of http and https URLs. It removes a slash at the end.
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

// oneOf returns a parser that accepts only the given words.
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
