package lender

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// aheadShare is the largest part of a bucket's capacity that daemons may hold in advance.
	aheadShare = 0.25
	// pruneInterval is the time between two removals of buckets that are full.
	pruneInterval = time.Minute
	// maxBuckets bounds the accounts that are known at once; those beyond it are refused.
	maxBuckets = 1 << 12
	// windowBins is the number of parts of the window by which grants are counted.
	windowBins = 50
)

// ledger has the buckets of all accounts while this daemon is the lender.
//
// A bucket gets Rate tokens a second, up to its capacity. The capacity exceeds the burst: requests come at random, and with a
// capacity of the burst, one second's requests, 24 in 100 of an account of one request a second at 0.6 of its limit were
// refused, 4 with this one. The grants of the last window are counted besides, so that within any window at most
// rate x window + burst tokens can be used, also those that were granted before it began.
//
// Load pattern: many small accounts whose requests come at random, beside an account at several times its rate.
type ledger struct {
	cfg *Config
	// startedAt is when this daemon became the lender. All buckets were empty then.
	startedAt time.Duration
	// hasCredit is true when a new lender may grant a part of the tolerance.
	hasCredit bool
	buckets   map[string]*bucket
	lastGrant uint64
	prunedAt  time.Duration
}

// bucket is the token bucket of one account.
type bucket struct {
	limit     Limit
	level     float64
	updatedAt time.Duration
	// ideal is the level that a bucket would have that was full when this daemon became the lender, and from which every
	// request takes a token. An account is known to be above its limit when this one is empty, too.
	ideal  float64
	credit float64
	grants []grantEntry
	// ahead is the number of tokens held in advance.
	ahead int
	// bins counts the grants of the last window by the time at which their tokens can be used at the latest, oldest first.
	bins    []bin
	counted int
}

// bin is the number of tokens whose last use falls into a part of the window.
type bin struct {
	number int64
	count  int
}

// grantEntry is a grant whose tokens may still be returned.
type grantEntry struct {
	number    uint64
	count     int
	ahead     int
	expiresAt time.Duration
	// bin is that of the token for the request that asked, aheadBin that of the others.
	bin, aheadBin int64
}

func newLedger(cfg *Config, now time.Duration, hasCredit bool) *ledger {
	return &ledger{cfg: cfg, startedAt: now, hasCredit: hasCredit, buckets: make(map[string]*bucket), prunedAt: now}
}

// capacity returns the largest number of tokens in a bucket: at least one, since a bucket below one would never grant.
func (l *ledger) capacity(b *bucket) float64 {
	extra := min(extraShare*l.cfg.tolerance(&b.limit), b.limit.Rate*l.cfg.Window.Seconds())
	return max(b.limit.Burst+extra, 1)
}

// maxAhead returns the number of tokens that daemons may hold in advance.
func (b *bucket) maxAhead() int {
	return int(min(b.limit.Burst*aheadShare, math.MaxInt32))
}

// maxCounted returns the largest number of tokens that may be used in a window.
func (l *ledger) maxCounted(b *bucket) float64 {
	return max(b.limit.Rate*l.cfg.Window.Seconds()+b.limit.Burst, 1)
}

// binAt returns the number of the part of the window that a time belongs to.
func (l *ledger) binAt(at time.Duration) int64 {
	return int64(at / (l.cfg.Window / windowBins))
}

// add counts n tokens, fewer for a negative n, in a bin.
func (b *bucket) add(number int64, n int) {
	b.counted += n
	i, isThere := slices.BinarySearchFunc(b.bins, number, func(c bin, n int64) int { return cmp.Compare(c.number, n) })
	if isThere {
		b.bins[i].count += n
		return
	}
	b.bins = slices.Insert(b.bins, i, bin{number: number, count: n})
}

// windowWait returns the time until the count of the window allows another token, 0 when it does now.
func (l *ledger) windowWait(b *bucket, now time.Duration) time.Duration {
	left := b.counted
	for _, c := range b.bins {
		if float64(left+1) <= l.maxCounted(b) {
			break
		}
		left -= c.count
		if float64(left+1) <= l.maxCounted(b) {
			return time.Duration(c.number+windowBins+1)*(l.cfg.Window/windowBins) - now
		}
	}
	return 0
}

// bucket returns the bucket of an account with a limit of the newest version, or nil when there are too many.
func (l *ledger) bucket(limit *Limit, now time.Duration) *bucket {
	b, ok := l.buckets[limit.Account]
	if !ok {
		if len(l.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{limit: *limit, updatedAt: l.startedAt}
		b.ideal = l.capacity(b)
		if l.hasCredit {
			b.credit = creditShare * l.cfg.tolerance(limit)
		}
		l.buckets[limit.Account] = b
	}
	if limit.Version > b.limit.Version {
		b.refill(now, l)
		b.limit = *limit
	}
	b.refill(now, l)
	return b
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Duration, l *ledger) {
	b.grants = slices.DeleteFunc(b.grants, func(g grantEntry) bool {
		if g.expiresAt > now {
			return false
		}
		b.ahead -= g.ahead
		return true
	})
	for len(b.bins) > 0 && b.bins[0].number < l.binAt(now)-windowBins {
		b.counted -= b.bins[0].count
		b.bins = b.bins[1:]
	}
	held := 0
	if now < l.startedAt+withDrift(l.cfg.Validity) {
		// Tokens of the lender before may still be held.
		held = b.maxAhead()
	}
	added := b.limit.Rate * max(0, now-b.updatedAt).Seconds()
	b.level = max(0, min(b.level+added, l.capacity(b)-float64(held)))
	b.ideal = min(b.ideal+added, l.capacity(b))
	b.updatedAt = max(b.updatedAt, now)
}

// take grants one token and up to ahead further ones, or none.
func (l *ledger) take(now time.Duration, limit *Limit, ahead int) takeResponse {
	resp := takeResponse{IsLender: true}
	l.prune(now)
	b := l.bucket(limit, now)
	if b == nil {
		resp.Wait = l.cfg.Window
		return resp
	}
	hasCredit := b.credit >= 1 && b.ideal >= 1 && now < l.startedAt+l.cfg.Window
	wait := l.windowWait(b, now)
	switch {
	case wait > 0:
		resp.Wait, resp.Exceeded = wait, true
		return resp
	case b.level >= 1:
		b.level--
	case hasCredit:
		b.credit--
	default:
		resp.Wait = time.Duration((1 - b.level) / b.limit.Rate * float64(time.Second))
		resp.Exceeded = b.ideal < 1
		b.ideal = max(0, b.ideal-1)
		return resp
	}
	n := max(0, min(ahead, b.maxAhead()-b.ahead, int(b.level*aheadShare), int(l.maxCounted(b))-b.counted-1))
	b.level -= float64(n)
	b.ahead += n
	b.ideal = max(0, b.ideal-float64(1+n))
	l.lastGrant++
	resp.Count, resp.Grant = 1+n, l.lastGrant
	g := grantEntry{number: l.lastGrant, count: 1 + n, ahead: n, expiresAt: now + withDrift(l.cfg.Validity), bin: l.binAt(now)}
	g.aheadBin = l.binAt(g.expiresAt)
	b.grants = append(b.grants, g)
	b.add(g.bin, 1)
	if n > 0 {
		b.add(g.aheadBin, n)
	}
	return resp
}

// giveBack puts tokens back that were not used, if they are still valid.
func (l *ledger) giveBack(now time.Duration, rs []returned) {
	for _, r := range rs {
		b, ok := l.buckets[r.Account]
		if !ok {
			continue
		}
		b.refill(now, l)
		for i := range b.grants {
			g := &b.grants[i]
			if g.number != r.Grant {
				continue
			}
			n := min(r.Count, g.count)
			fromAhead := min(n, g.ahead)
			g.count -= n
			g.ahead -= fromAhead
			b.ahead -= fromAhead
			if fromAhead > 0 {
				b.add(g.aheadBin, -fromAhead)
			}
			if n > fromAhead {
				b.add(g.bin, fromAhead-n)
			}
			b.level += float64(n)
			b.ideal += float64(n)
			b.refill(now, l)
		}
	}
}

// prune removes the buckets that are as a new one would be.
func (l *ledger) prune(now time.Duration) {
	if now < l.prunedAt+pruneInterval {
		return
	}
	l.prunedAt = now
	for name, b := range l.buckets {
		b.refill(now, l)
		if b.level == l.capacity(b) && b.counted == 0 && now > l.startedAt+l.cfg.Window {
			delete(l.buckets, name)
		}
	}
}
