// Package limiter decides how much work one upstream is given at once, and which
// tasks wait, start or are refused. It does no I/O: time is passed in.
//
// An upstream that is not known to be warm is cold: its limit is Config.Cold.
// The limit grows by one on a run of successes at normal latency, up to
// Config.Slots, and falls back to Config.Cold on any sign of distress. Hints from
// health and load pages only ever lower it.
//
// Tasks above the limit wait in a bounded queue: the highest priority first and,
// within a priority, the nearest deadline first. The other end of that order is
// shed when the queue is full.
package limiter
