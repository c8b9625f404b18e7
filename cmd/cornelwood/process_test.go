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
	// lines receives the lines of the program's standard output.
	lines chan string

	mu  sync.Mutex
	log strings.Builder
}

// startProcess starts the program args[0] with the arguments args[1:]. The program is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{}), lines: make(chan string, 1<<16)}
	p.cmd = exec.CommandContext(context.Background(), args[0], args[1:]...)
	// By default the race detector delays the end of each process by a second.
	p.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.readOutput(out)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.logText())
		}
	})
	return p
}

func (p *process) readOutput(out io.Reader) {
	defer close(p.done)
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		select {
		case p.lines <- sc.Text():
		default:
			// Nobody reads the lines. A process must not wait for that.
		}
	}
	// Tests that need the exit code read it from cmd.ProcessState.
	_ = p.cmd.Wait()
}

// Write appends what the process writes to standard error to its log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logText() string {
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

// kill kills the process and waits for its end.
func (p *process) kill() {
	// The process may have ended already.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate sends SIGTERM to the process and returns its exit code.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		t.Fatalf("%s still running %s after SIGTERM", p.name, stopTimeout)
		return -1
	}
}

// nextLine returns the next line of the process's standard output.
func (p *process) nextLine(t *testing.T) string {
	t.Helper()
	select {
	case s := <-p.lines:
		return s
	case <-p.done:
		t.Fatalf("%s ended:\n%s", p.name, p.logText())
	case <-time.After(startTimeout):
		t.Fatalf("%s wrote nothing for %s", p.name, startTimeout)
	}
	return ""
}
