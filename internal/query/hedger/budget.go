package hedger

import "sync/atomic"

// unitsPerToken is the number of units in a token, the cost of one extra sub-request. Each first
// attempt deposits percent units.
const unitsPerToken = 100

// Budget is a retry budget: a token bucket that bounds hedges and retries together to a percentage of
// the first attempts plus a burst. Its methods may be called from any goroutine.
type Budget struct {
	percent atomic.Int64
	// limit is the capacity and units the current content, both in units.
	limit atomic.Int64
	units atomic.Int64
}

// NewBudget returns a Budget of percent extra sub-requests for every 100 first attempts. burst is its
// capacity and start its first content, in tokens.
func NewBudget(percent int, burst, start float64) *Budget {
	b := &Budget{}
	b.limit.Store(int64(burst * unitsPerToken))
	b.percent.Store(int64(percent))
	b.units.Store(int64(min(start, burst) * unitsPerToken))
	return b
}

// SetPercent changes the number of extra sub-requests for every 100 first attempts.
func (b *Budget) SetPercent(percent int) {
	b.percent.Store(int64(percent))
}

// SetBurst changes the capacity of the budget, in tokens. Content beyond it is lost with the next
// deposit.
func (b *Budget) SetBurst(burst float64) {
	b.limit.Store(int64(burst * unitsPerToken))
}

// Deposit adds the units for a number of first attempts.
func (b *Budget) Deposit(attempts int) {
	b.add(int64(attempts) * b.percent.Load())
}

// AddTokens adds tokens that are not earned by first attempts. It returns the number added, since
// fractions of a unit are not.
func (b *Budget) AddTokens(extra float64) float64 {
	units := int64(extra * unitsPerToken)
	b.add(units)
	return float64(units) / unitsPerToken
}

func (b *Budget) add(units int64) {
	for {
		old := b.units.Load()
		next := min(old+units, b.limit.Load())
		if next == old || b.units.CompareAndSwap(old, next) {
			return
		}
	}
}

// Take takes one token. It returns false, and takes nothing, when there is less than one.
func (b *Budget) Take() bool {
	return b.take(unitsPerToken)
}

// filledShare is the share of its capacity that a budget must hold before TakeIfFilled takes a
// token: the rest stays for sub-requests that are needed.
const filledShare = 0.35

// TakeIfFilled takes one token only while the budget holds filledShare of its capacity. It is for extra sub-requests
// that can be left out, so that the rest of the budget stays for those that are needed.
func (b *Budget) TakeIfFilled() bool {
	return b.take(max(unitsPerToken, int64(filledShare*float64(b.limit.Load()))))
}

// take takes one token when the budget holds at least minUnits.
func (b *Budget) take(minUnits int64) bool {
	for {
		old := b.units.Load()
		if old < minUnits {
			return false
		}
		if b.units.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}
