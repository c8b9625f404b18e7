package main

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	section     = regexp.MustCompile(`\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills the placeholders of a settings template in, and its sections, which are not nested. An empty value counts as
// false.
func fill(template string, values map[string]string) (string, error) {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		m := section.FindStringSubmatch(match)
		if (values[m[2]] != "") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	var unknown []string
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := strings.Trim(match, "{}")
		value, ok := values[name]
		if !ok {
			unknown = append(unknown, name)
		}
		return value
	})
	if len(unknown) > 0 {
		return "", fmt.Errorf("settings template: no value for %s", strings.Join(unknown, ", "))
	}
	return text, nil
}
