// Package queuer writes log lines without blocking the code that logs: lines wait in a
// bounded queue, several are written at once, and lines that do not fit into the queue
// are dropped and counted.
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
	// maxQueuedLines is the capacity of the queue in lines; a line has about 300 bytes.
	maxQueuedLines = 2048
	// batchDelay is the time for which lines are collected for one write.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the size from which on a write takes no more lines.
	maxBatchBytes = 64 << 10
)

// Queuer is an io.Writer of log lines that never blocks.
type Queuer struct {
	// out is standard output. Its errors are ignored: there is nowhere else to report them.
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a Queuer that writes to out, and a function that writes the queued lines and
// stops the Queuer. Lines queued later are not written.
func New(out io.Writer) (*Queuer, func()) {
	q := &Queuer{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go q.run()
	return q, sync.OnceFunc(func() {
		close(q.stop)
		<-q.done
	})
}

// Write queues a copy of one line, and drops the line when the queue is full.
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

// run writes batches of lines and reports dropped lines until the Queuer is stopped.
func (q *Queuer) run() {
	defer close(q.done)
	var reported uint64
	for {
		select {
		case line := <-q.lines:
			select {
			case <-time.After(batchDelay):
			case <-q.stop:
			}
			q.write(line)
		case <-q.stop:
			for len(q.lines) > 0 {
				q.write(nil)
			}
			return
		}
		if n := q.Dropped(); n > reported {
			reported = n
			_, _ = fmt.Fprintf(q.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"total\":%d}\n", n)
		}
	}
}

// write writes batch and the lines queued after it, up to about maxBatchBytes, at once.
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
	_, _ = q.out.Write(batch)
}
