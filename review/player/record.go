package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, with the seconds since the start. It is safe for concurrent use.
type record struct {
	started time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record {
	return &record{started: time.Now()}
}

// addf adds a line.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)))
}

// last returns the last line.
func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
