// Package queuer writes log lines without holding up whoever logs: lines wait in a
// bounded queue, several go out with one write, and those too many are dropped and
// counted.
package queuer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting is the number of lines that wait at most; a line has about 300 bytes.
	maxWaiting = 2048
	// batchTime is how long lines are gathered for one write.
	batchTime = 20 * time.Millisecond
	// maxBatchBytes bounds one write.
	maxBatchBytes = 64 << 10
)

// Queuer is an io.Writer that never blocks.
type Queuer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a Queuer that writes to out, and a function that writes what waits
// and ends it. Lines written afterwards are dropped.
func New(out io.Writer) (*Queuer, func()) {
	q := &Queuer{
		out:   out,
		lines: make(chan []byte, maxWaiting),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go q.run()
	return q, sync.OnceFunc(func() {
		close(q.stop)
		<-q.done
	})
}

// Write queues one line, and drops it when too many wait.
func (q *Queuer) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queuer) Dropped() uint64 {
	return q.dropped.Load()
}

func (q *Queuer) run() {
	defer close(q.done)
	var told uint64
	for {
		select {
		case line := <-q.lines:
			select {
			case <-time.After(batchTime):
			case <-q.stop:
			}
			q.write(line)
		case <-q.stop:
			q.write(nil)
			return
		}
		if n := q.Dropped(); n > told {
			told = n
			// Standard output that fails has no other place to tell.
			_, _ = fmt.Fprintf(q.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"total\":%d}\n", n)
		}
	}
}

// write writes a line and what waits behind it, as far as one write takes it.
func (q *Queuer) write(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// Standard output that fails has no other place to tell.
	_, _ = q.out.Write(batch)
}
