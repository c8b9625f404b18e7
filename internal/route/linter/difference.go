package linter

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"cornelwood.example/internal/contract/declarer"
)

// Change is what became of an object or a field.
type Change string

// Changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an object that was added or removed, or a field that was changed.
type Difference struct {
	// List is the field of the document that holds the object, such as "routes".
	List string `json:"list"`
	// Name is the object's, empty for the limits.
	Name   string `json:"name,omitempty"`
	Change Change `json:"change"`
	// Field is the field that was changed, and Old and New its values.
	Field string `json:"field,omitempty"`
	Old   any    `json:"old,omitempty"`
	New   any    `json:"new,omitempty"`
	// Note is set in place of values that must not be shown.
	Note string `json:"note,omitempty"`
}

func (d *Difference) redact(doc Document) {
	d.Name = doc.Redact(d.Name)
	d.Old, d.New = redactValue(doc, d.Old), redactValue(doc, d.New)
}

func redactValue(doc Document, v any) any {
	switch v := v.(type) {
	case string:
		return doc.Redact(v)
	case []string:
		out := slices.Clone(v)
		for i := range out {
			out[i] = doc.Redact(out[i])
		}
		return out
	default:
		return v
	}
}

// comparison collects the differences between two documents.
type comparison struct {
	next, current Document
	differences   []Difference
}

// compare returns the differences of next from current. Objects are identified by name, and the order within a list does not count.
func compare(next, current Document) []Difference {
	c := &comparison{next: next, current: current}
	n, o := next.Routing(), current.Routing()
	compareLists(c, "routes", n.Routes, o.Routes, func(r *declarer.Route) string { return r.Name })
	compareLists(c, "services", n.Services, o.Services, func(s *declarer.ServiceLimits) string { return s.Name })
	c.compareFields("limits", "limits", "", reflect.ValueOf(o.Limits), reflect.ValueOf(n.Limits), "limits")
	compareLists(c, "accounts", n.Accounts, o.Accounts, func(a *declarer.Account) string { return a.Name })
	return c.differences
}

// indexed is the position of an object in its list.
type indexed[T any] struct {
	pos   int
	value *T
}

// byName returns the objects by name. Those after the first of the same name get a number.
func byName[T any](list []T, name func(*T) string) ([]string, map[string]indexed[T]) {
	var names []string
	out := make(map[string]indexed[T], len(list))
	seen := make(map[string]int)
	for i := range list {
		key := name(&list[i])
		seen[key]++
		if n := seen[key]; n > 1 {
			key = fmt.Sprintf("%s#%d", key, n)
		}
		if _, ok := out[key]; ok {
			// Another object has the numbered name.
			key = fmt.Sprintf("%s#[%d]", key, i)
		}
		names = append(names, key)
		out[key] = indexed[T]{i, &list[i]}
	}
	return names, out
}

func compareLists[T any](c *comparison, list string, next, current []T, name func(*T) string) {
	nextNames, nextObjects := byName(next, name)
	currentNames, currentObjects := byName(current, name)
	for _, key := range currentNames {
		if _, ok := nextObjects[key]; !ok {
			c.differences = append(c.differences, Difference{List: c.current.Field(list), Name: key, Change: Removed})
		}
	}
	for _, key := range nextNames {
		n := nextObjects[key]
		o, ok := currentObjects[key]
		if !ok {
			c.differences = append(c.differences, Difference{List: c.next.Field(list), Name: key, Change: Added})
			continue
		}
		oldPath, newPath := fmt.Sprintf("%s[%d]", list, o.pos), fmt.Sprintf("%s[%d]", list, n.pos)
		c.compareFields(oldPath, newPath, key, reflect.ValueOf(*o.value), reflect.ValueOf(*n.value), list)
	}
}

// compareFields compares the fields of an object whose paths are oldPath and newPath.
func (c *comparison) compareFields(oldPath, newPath, name string, old, next reflect.Value, list string) {
	for i := range old.NumField() {
		a, b := old.Field(i).Interface(), next.Field(i).Interface()
		if isEqual(a, b) {
			continue
		}
		tag, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		field := c.next.Field(newPath + "." + tag)
		d := Difference{List: c.next.Field(list), Name: name, Change: Changed, Field: field[strings.LastIndexByte(field, '.')+1:]}
		if tag == "keys" {
			if d.Note = describeKeys(a.([]string), b.([]string)); d.Note == "" {
				continue
			}
		} else {
			d.Old, d.New = c.current.Value(oldPath+"."+tag, a), c.next.Value(newPath+"."+tag, b)
		}
		c.differences = append(c.differences, d)
	}
}

// isEqual compares two values of a field; an empty list is equal to an absent one.
func isEqual(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	return reflect.DeepEqual(a, b) || x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0
}

// describeKeys returns how many keys were added and removed, empty when none was.
func describeKeys(old, next []string) string {
	var parts []string
	if n := countMissing(next, old); n > 0 {
		parts = append(parts, plural(n)+" removed")
	}
	if n := countMissing(old, next); n > 0 {
		parts = append(parts, plural(n)+" added")
	}
	return strings.Join(parts, ", ")
}

// countMissing returns the number of elements of list that are not in set.
func countMissing(set, list []string) int {
	has := make(map[string]bool, len(set))
	for _, k := range set {
		has[k] = true
	}
	n := 0
	for _, k := range list {
		if !has[k] {
			has[k] = true
			n++
		}
	}
	return n
}

func plural(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}
