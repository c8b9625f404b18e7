// Command player plays one case of the review against an entry daemon in a process of its own: it is the metadata store,
// the searchers and the clients, writes what it saw to a record, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds one play.
const maxDuration = 100 * time.Second

// scenario plays one case and returns every breach of its rule that it saw. trouble is false for the same play without
// the disruption. The error is why the case could not be played.
type scenario func(ctx context.Context, s *site, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"refusals": playRefusals,
	"shutdown": playShutdown,
	"watches":  playWatches,
	"uploads":  playUploads,
	"cold":     playCold,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "folder for the settings and the log of the daemon")
	path := flag.String("record", "", "file to which the record is written")
	template := flag.String("template", "deploy/entry.ini", "template of the daemon's settings")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok || *dir == "" || *path == "" || flag.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "usage: player --case NAME --dir DIR --record FILE COMMAND..., where the settings file follows COMMAND")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	rec := newRecord()
	breaches, err := playCase(ctx, play, &config{dir: *dir, template: *template, command: flag.Args(), rec: rec}, *trouble)
	for _, b := range breaches {
		rec.addf("BROKEN: %s", b)
	}
	code := exitHeld
	switch {
	case err != nil:
		rec.addf("could not be played: %v", err)
		code = exitFailed
	case len(breaches) > 0:
		code = exitBroken
	}
	rec.addf("case %s, trouble %t: %d breaches, exit code %d", *name, *trouble, len(breaches), code)
	if err := rec.write(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(rec.last())
	return code
}

func playCase(ctx context.Context, play scenario, cfg *config, trouble bool) ([]string, error) {
	s, cleanup, err := newSite(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	breaches, err := play(ctx, s, trouble)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the play was stopped")
	}
	return breaches, err
}
