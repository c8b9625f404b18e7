package linker

import (
	"time"

	"cornelwood.example/internal/contract/exchanger"
)

// batch is the tasks of one Exchange call. Their wire ids are consecutive, from firstID on.
type batch struct {
	deliver func(exchanger.Result)
	firstID uint64
	size    int
	// remaining is the number of tasks without a result; link.mu guards it.
	remaining int
	// stopCancel unregisters cancelBatch from the context of the call; link.mu guards it.
	stopCancel func() bool
}

// pendingTask is a task that waits for its result.
type pendingTask struct {
	batch      *batch
	id         uint64
	atMostOnce bool
}

// queuedTask is a task that waits to be written.
type queuedTask struct {
	task     exchanger.Task
	deadline time.Time
}

// delivery is a result for the sender of a task.
type delivery struct {
	batch  *batch
	result exchanger.Result
}

func deliverAll(deliveries []delivery) {
	for i := range deliveries {
		deliveries[i].batch.deliver(deliveries[i].result)
	}
}
