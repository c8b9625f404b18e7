package limiter

import (
	"slices"
	"sort"
	"time"
)

// entry is one waiting task.
type entry[T comparable] struct {
	value    T
	priority int
	deadline time.Time
}

// before reports whether e starts before o: the higher priority does, then the
// nearer deadline.
func (e entry[T]) before(o entry[T]) bool {
	if e.priority != o.priority {
		return e.priority > o.priority
	}
	return e.deadline.Before(o.deadline)
}

// queue holds entries in reverse order: the last entry starts first.
type queue[T comparable] struct {
	entries []entry[T]
}

func (q *queue[T]) len() int {
	return len(q.entries)
}

// insert adds e so that it starts after the entries that are equal to it.
func (q *queue[T]) insert(e entry[T]) {
	q.entries = slices.Insert(q.entries, q.index(e), e)
}

// countBefore returns the number of entries that start before e.
func (q *queue[T]) countBefore(e entry[T]) int {
	return len(q.entries) - q.index(e)
}

// index returns the number of entries that start after e.
func (q *queue[T]) index(e entry[T]) int {
	return sort.Search(len(q.entries), func(i int) bool { return !e.before(q.entries[i]) })
}

// best returns the entry that starts first. The queue must not be empty.
func (q *queue[T]) best() entry[T] {
	return q.entries[len(q.entries)-1]
}

// worst returns the entry that is shed first. The queue must not be empty.
func (q *queue[T]) worst() entry[T] {
	return q.entries[0]
}

// pop removes and returns the entry that starts first.
func (q *queue[T]) pop() entry[T] {
	e := q.best()
	q.removeAt(len(q.entries) - 1)
	return e
}

func (q *queue[T]) dropWorst() {
	q.removeAt(0)
}

// expired removes and returns one entry whose deadline has passed.
func (q *queue[T]) expired(now time.Time) (entry[T], bool) {
	for i := len(q.entries) - 1; i >= 0; i-- {
		if e := q.entries[i]; !e.deadline.After(now) {
			q.removeAt(i)
			return e, true
		}
	}
	return entry[T]{}, false
}

// remove removes the entry of v and reports whether there was one.
func (q *queue[T]) remove(v T) bool {
	for i := range q.entries {
		if q.entries[i].value == v {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// flush empties the queue and returns its values in the order in which they would start.
func (q *queue[T]) flush() []T {
	var vs []T
	for q.len() > 0 {
		vs = append(vs, q.pop().value)
	}
	return vs
}

func (q *queue[T]) removeAt(i int) {
	q.entries = slices.Delete(q.entries, i, i+1)
}
