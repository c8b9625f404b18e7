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

// NewBudget returns a Budget of percent extra sub-requests in 100, and at most
// burst of them at once; start is what it holds at first.
func NewBudget(percent int, burst, start float64) *Budget {
	b := &Budget{}
	b.limit.Store(int64(burst * tokenUnits))
	b.percent.Store(int64(percent))
	b.units.Store(int64(min(start, burst) * tokenUnits))
	return b
}

// SetPercent changes the number of extra sub-requests for 100 first attempts.
func (b *Budget) SetPercent(percent int) {
	b.percent.Store(int64(percent))
}

// SetBurst changes the number of extra sub-requests allowed at once. What the
// budget holds beyond it is lost with the next deposit.
func (b *Budget) SetBurst(burst float64) {
	b.limit.Store(int64(burst * tokenUnits))
}

// Deposit counts first attempts.
func (b *Budget) Deposit(attempts int) {
	b.add(int64(attempts) * b.percent.Load())
}

// AddTokens adds a number of extra sub-requests that no first attempts pay for.
func (b *Budget) AddTokens(extra float64) {
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
	return b.take(tokenUnits)
}

// spareShare is the share of its burst that a budget holds before an extra
// sub-request that is not needed may draw on it.
const spareShare = 0.9

// TakeIfNearlyFull takes the price of one extra sub-request only while the budget is
// nearly full.
func (b *Budget) TakeIfNearlyFull() bool {
	return b.take(max(tokenUnits, int64(spareShare*float64(b.limit.Load()))))
}

// take takes the price of one when the budget holds at least least units.
func (b *Budget) take(least int64) bool {
	for {
		was := b.units.Load()
		if was < least {
			return false
		}
		if b.units.CompareAndSwap(was, was-tokenUnits) {
			return true
		}
	}
}
