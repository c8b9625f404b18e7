package merger

// topN holds the best items added so far, at most limit of them, in a heap with the worst item first.
type topN[T any] struct {
	limit int
	items []T
	// compare returns a negative number when a is better than b.
	compare func(a, b *T) int
}

func newTopN[T any](limit int, compare func(a, b *T) int) topN[T] {
	return topN[T]{limit: limit, items: make([]T, 0, limit), compare: compare}
}

// add adds a copy of an item. It returns false when limit items are as good or better.
func (b *topN[T]) add(item *T) bool {
	if len(b.items) < b.limit {
		b.push(*item)
		return true
	}
	if b.compare(item, &b.items[0]) >= 0 {
		return false
	}
	b.items[0] = *item
	b.siftDown()
	return true
}

func (b *topN[T]) push(item T) {
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

// siftDown restores the heap after the first item has been replaced.
func (b *topN[T]) siftDown() {
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
