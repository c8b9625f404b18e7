// Package limiter limits the number of tasks in flight to one upstream, and decides
// which tasks wait, start or are refused. It does no I/O: time is passed in.
//
// An upstream that is not known to be warm is cold: its limit is Config.Cold.
// The limit grows by one after a run of successes at normal latency, up to
// Config.Slots, and falls back to Config.Cold when the upstream refuses work, loses
// a connection or turns slow. Hints from health and load pages only ever lower it.
//
// Tasks above the limit wait in a bounded queue: the highest priority first and,
// within a priority, the nearest deadline first. When the queue is full, the task
// that would start last is shed.
package limiter
