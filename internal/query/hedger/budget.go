package hedger

import "sync/atomic"

// tokenUnits is the price of one extra sub-request; each first attempt deposits
// the budget's percentage of it.
const tokenUnits = 100

// Budget is a token bucket that bounds the extra sub-requests, hedges and retries
// together, to a percentage of the first attempts plus a burst.
type Budget struct {
	percent atomic.Int64
	limit   atomic.Int64
	units   atomic.Int64
}

// NewBudget returns a full Budget of percent extra sub-requests in 100, and at
// most burst of them at once.
func NewBudget(percent, burst int) *Budget {
	b := &Budget{}
	b.limit.Store(int64(burst) * tokenUnits)
	b.percent.Store(int64(percent))
	b.units.Store(b.limit.Load())
	return b
}

// SetPercent changes the number of extra sub-requests for 100 first attempts.
func (b *Budget) SetPercent(percent int) {
	b.percent.Store(int64(percent))
}

// SetBurst changes the number of extra sub-requests allowed at once. What the
// budget holds beyond it is lost with the next deposit.
func (b *Budget) SetBurst(burst int) {
	b.limit.Store(int64(burst) * tokenUnits)
}

// Deposit counts first attempts.
func (b *Budget) Deposit(attempts int) {
	b.add(int64(attempts) * b.percent.Load())
}

// Grant adds a number of extra sub-requests that no first attempts pay for.
func (b *Budget) Grant(extra float64) {
	b.add(int64(extra * tokenUnits))
}

func (b *Budget) add(units int64) {
	for {
		was := b.units.Load()
		next := min(was+units, b.limit.Load())
		if next == was || b.units.CompareAndSwap(was, next) {
			return
		}
	}
}

// Take takes the price of one extra sub-request; it returns false, and takes
// nothing, when the budget does not hold it.
func (b *Budget) Take() bool {
	for {
		was := b.units.Load()
		if was < tokenUnits {
			return false
		}
		if b.units.CompareAndSwap(was, was-tokenUnits) {
			return true
		}
	}
}
