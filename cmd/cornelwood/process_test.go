package main_test

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a program that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// lines receives the lines of its standard output.
	lines chan string

	mu  sync.Mutex
	log strings.Builder
}

// startProcess starts a program. It is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{}), lines: make(chan string, 1024)}
	p.cmd = exec.CommandContext(context.Background(), args[0], args[1:]...)
	// The race detector would keep each process for a second after its end.
	p.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.read(out)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.text())
		}
	})
	return p
}

func (p *process) read(out io.Reader) {
	defer close(p.done)
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		p.lines <- sc.Text()
	}
	// The exit code shows in the tests that ask for it.
	_ = p.cmd.Wait()
}

// Write keeps what the process writes to standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	// It may have ended.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate asks the process to end and returns its exit code.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopWait):
		t.Fatalf("%s runs %s after SIGTERM", p.name, stopWait)
		return -1
	}
}

// line returns the next line of standard output.
func (p *process) line(t *testing.T) string {
	t.Helper()
	select {
	case s := <-p.lines:
		return s
	case <-p.done:
		t.Fatalf("%s ended:\n%s", p.name, p.text())
	case <-time.After(startWait):
		t.Fatalf("%s wrote nothing for %s", p.name, startWait)
	}
	return ""
}
