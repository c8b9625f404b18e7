package linker

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

// batch is the tasks of one Exchange call. Their wire ids follow one another
// from first on.
type batch struct {
	deliver func(exchanger.Result)
	first   uint64
	n       int
	// left counts tasks without a result; link.mu guards it.
	left int
	// stop ends the watch on the call's context; link.mu guards it.
	stop func() bool
}

// entry is a task that waits for its result.
type entry struct {
	b    *batch
	id   uint64
	once bool
}

// queued is a task that waits to be written.
type queued struct {
	t        exchanger.Task
	deadline time.Time
}

// outcome is a result on its way to its caller.
type outcome struct {
	b *batch
	r exchanger.Result
}

func deliverAll(outs []outcome) {
	for i := range outs {
		outs[i].b.deliver(outs[i].r)
	}
}
