package merger

// best keeps the best items of many, at most limit of them. It is a heap with the
// worst item first.
type best[T any] struct {
	limit int
	items []T
	// compare returns a number below 0 when a is better than b.
	compare func(a, b *T) int
}

func newBest[T any](limit int, compare func(a, b *T) int) best[T] {
	return best[T]{limit: limit, items: make([]T, 0, limit), compare: compare}
}

// add takes a copy of an item in, and returns false when limit items are as good or better.
func (b *best[T]) add(item *T) bool {
	if len(b.items) < b.limit {
		b.push(*item)
		return true
	}
	if b.compare(item, &b.items[0]) >= 0 {
		return false
	}
	b.items[0] = *item
	b.sink()
	return true
}

func (b *best[T]) push(item T) {
	b.items = append(b.items, item)
	for i := len(b.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if b.compare(&b.items[i], &b.items[parent]) <= 0 {
			return
		}
		b.items[i], b.items[parent] = b.items[parent], b.items[i]
		i = parent
	}
}

// sink moves the first item to its place.
func (b *best[T]) sink() {
	for i := 0; ; {
		worst := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(b.items); c++ {
			if b.compare(&b.items[c], &b.items[worst]) > 0 {
				worst = c
			}
		}
		if worst == i {
			return
		}
		b.items[i], b.items[worst] = b.items[worst], b.items[i]
		i = worst
	}
}
