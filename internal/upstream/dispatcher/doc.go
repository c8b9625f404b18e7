// Package dispatcher is the owner's side of a sub-request: it admits tasks to the
// upstreams that this daemon owns, runs them and delivers their results.
//
// [Dispatcher.Do] checks the view and the share, then offers the task to the
// limiter of its upstream. A task that starts is checked once more right before
// it is written to a connection. A slot is freed only when the upstream has
// certainly stopped running the task.
package dispatcher
