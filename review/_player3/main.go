// Command player3 plays the cases of the review that a day of the bench cannot show.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case and reports whether the rule was broken. Without trouble the disruption is left out.
type play func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"config-storm": configStorm,
	"cold-zone":    coldZone,
	"attempts":     manyAttempts,
	"stale-entry":  staleEntry,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: player3 CASE RECORD, from the root of the repository")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.notef("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		rec.notef("the rule was broken")
		return exitBroken
	default:
		rec.notef("the rule held")
		return exitHeld
	}
}
