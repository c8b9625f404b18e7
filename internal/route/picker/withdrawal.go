package picker

import (
	"time"

	"cornelwood.example/internal/route/locator"
)

// withdrawalRetention is how long it is remembered that a searcher leaves, after it was last a candidate for a request. Its entry
// may say that it is ready until it is removed.
const withdrawalRetention = time.Hour

// withdrawal is what a searcher has said in its answers of the requests that it wants. It holds for one lifetime of its process.
//
// Load pattern: a searcher that is about to stop, or that is overloaded by many daemons, and whose entry does not say so.
type withdrawal struct {
	born    int64
	leaving bool
	// heldUntil is the end of the time for which the searcher wants no request, zero when there is none.
	heldUntil time.Time
	// seenAt is when the searcher was last a candidate.
	seenAt time.Time
}

// Leave records that a searcher is about to stop. It gets no request any more. Leave reports whether that is new.
func (p *Picker) Leave(s *locator.Searcher) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.withdrawalOf(s)
	isNew := !w.leaving
	w.leaving = true
	return isNew
}

// Hold records that a searcher wants no request for d. It reports whether the searcher was not held before.
func (p *Picker) Hold(s *locator.Searcher, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, now := p.withdrawalOf(s), p.now()
	isNew := !now.Before(w.heldUntil)
	if until := now.Add(d); until.After(w.heldUntil) {
		w.heldUntil = until
	}
	return isNew
}

// HeldFor returns the time until the first of the searchers wants requests again, 0 when that is not why they get none.
func (p *Picker) HeldFor(searchers []locator.Searcher) time.Duration {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Duration
	for i := range searchers {
		w := p.findWithdrawal(&searchers[i])
		if w == nil || w.leaving {
			continue
		}
		if left := w.heldUntil.Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// findWithdrawal returns the withdrawal of a searcher's lifetime, nil when there is none.
func (p *Picker) findWithdrawal(s *locator.Searcher) *withdrawal {
	w := p.withdrawals[s.ID]
	if w == nil || w.born != s.Born {
		return nil
	}
	return w
}

// withdrawalOf returns the withdrawal of a searcher's lifetime, and creates it when there is none.
func (p *Picker) withdrawalOf(s *locator.Searcher) *withdrawal {
	w := p.findWithdrawal(s)
	if w == nil {
		w = &withdrawal{born: s.Born}
		p.withdrawals[s.ID] = w
	}
	w.seenAt = p.now()
	return w
}

// isWithdrawn reports whether a searcher wants no requests.
func (p *Picker) isWithdrawn(s *locator.Searcher, now time.Time) bool {
	w := p.findWithdrawal(s)
	if w == nil {
		return false
	}
	w.seenAt = now
	return w.leaving || now.Before(w.heldUntil)
}

// sweepWithdrawals deletes those of searchers that are no candidates any more.
func (p *Picker) sweepWithdrawals(now time.Time) {
	for id, w := range p.withdrawals {
		if now.Sub(w.seenAt) > withdrawalRetention && !now.Before(w.heldUntil) {
			delete(p.withdrawals, id)
		}
	}
}
