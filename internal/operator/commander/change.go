package commander

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/storer"
)

const (
	// maxAttempts bounds how often a change is read, made and written again.
	maxAttempts = 16
	// maxReads bounds the reads of one object while the platform serves old ones.
	maxReads = 8
	// Bounds of the pause between attempts.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// change is one operator's change of one object.
type change struct {
	id  string
	key declarer.Key
	// expect is the version that the operator made the change from; nil means
	// whatever is current.
	expect *uint64
	// creates marks a change that makes a new object.
	creates bool
	// edit returns the object that the change makes of cur. Its Changes are added
	// later.
	edit func(cur declarer.Object) (declarer.Object, error)
}

// run makes a change and returns the object as the platform accepted it.
func (c *Commander) run(ctx context.Context, ch change) (declarer.Object, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	o, err := c.attempt(ctx, &ch)
	if err != nil {
		return declarer.Object{}, err
	}
	c.metrics.changes.Inc()
	c.log.Info("change accepted", "object", o.Key, "version", o.Version, "change", ch.id)
	if err := c.fleet.Accept(ctx, o); err != nil {
		c.log.Warn("accepted change is left to the platform's watchers", "object", o.Key, "error", err)
	}
	return o, nil
}

// attempt reads, edits and writes until the change wins or is refused.
func (c *Commander) attempt(ctx context.Context, ch *change) (declarer.Object, error) {
	least := uint64(0)
	for range maxAttempts {
		cur, err := c.read(ctx, ch.key, least)
		if err != nil && !isStale(err, ch) {
			return declarer.Object{}, platformRefusal(err)
		}
		if cur.HasChange(ch.id) {
			return cur, nil
		}
		if ch.expect != nil && cur.Version < *ch.expect && least < *ch.expect {
			least = *ch.expect
			continue
		}
		next, err := c.make(ch, cur)
		if err != nil {
			return declarer.Object{}, err
		}
		o, err := c.write(ctx, ch, cur, next)
		var oe *overtakenError
		if !errors.As(err, &oe) {
			return o, err
		}
		least = oe.current
	}
	return declarer.Object{}, refuse(answerer.CodeOverloaded, "", fmt.Sprintf("lost the race for %s %d times", ch.key, maxAttempts))
}

// isStale reports whether only old reads stand in the way of a change that names
// its version: those are enough to refuse it.
func isStale(err error, ch *change) bool {
	var se *staleError
	return ch.expect != nil && errors.As(err, &se)
}

// newer returns the object in force at this daemon when it is newer than one that
// was read: the platform may serve old reads, and a write is conditional anyhow.
func (c *Commander) newer(read declarer.Object) declarer.Object {
	if o, ok := c.views.View().Objects[read.Key]; ok && o.Version > read.Version {
		return *o
	}
	return read
}

// make checks that the change can be made of cur, and makes it.
func (c *Commander) make(ch *change, cur declarer.Object) (declarer.Object, error) {
	isThere := cur.Version > 0 && !cur.Deleted
	if ch.creates && isThere {
		return declarer.Object{}, conflict(&cur, "exists already")
	}
	if !ch.creates && !isThere {
		return declarer.Object{}, refuse(answerer.CodeNotFound, "name", fmt.Sprintf("%s does not exist", ch.key))
	}
	if ch.expect != nil && cur.Version != *ch.expect {
		return declarer.Object{}, conflict(&cur, fmt.Sprintf("was changed since version %d", *ch.expect))
	}
	next, err := ch.edit(cur)
	if err != nil {
		return declarer.Object{}, err
	}
	next.Key = ch.key
	next.Version = 0
	next.Changes = cur.Changes
	next = next.WithChange(ch.id)
	if err := next.Check(); err != nil {
		return declarer.Object{}, checkRefusal("", err)
	}
	return next, nil
}

// overtakenError says that another change came first, so that this one surely
// took no effect.
type overtakenError struct {
	current uint64
}

// Error returns the current version.
func (e *overtakenError) Error() string {
	return fmt.Sprintf("another change made version %d", e.current)
}

// staleError says that the platform serves old reads.
type staleError struct {
	key   declarer.Key
	least uint64
}

// Error returns the object and the version wanted.
func (e *staleError) Error() string {
	return fmt.Sprintf("platform serves only reads of %s older than version %d", e.key, e.least)
}

// write writes next under the version of cur. It returns the object that was
// accepted, an *overtakenError or a refusal. An answer that was lost makes it
// write again under the same version, which cannot apply the change twice.
func (c *Commander) write(ctx context.Context, ch *change, cur, next declarer.Object) (declarer.Object, error) {
	isLost := false
	pause := minPause
	for {
		v, err := c.platform.Put(ctx, next, cur.Version)
		if err == nil {
			next.Version = v
			return next, nil
		}
		var ce *storer.ConflictError
		if errors.As(err, &ce) {
			if !isLost {
				return declarer.Object{}, &overtakenError{current: ce.Current}
			}
			return c.settleLost(ctx, ch, cur, ce.Current)
		}
		if !isLost && !mayBeApplied(err) {
			return declarer.Object{}, platformRefusal(err)
		}
		isLost = true
		c.metrics.lost.Inc()
		if c.pause(ctx, pause) != nil {
			return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&cur))
		}
		pause = min(2*pause, maxPause)
	}
}

// mayBeApplied reports whether a write that failed may have taken effect.
func mayBeApplied(err error) bool {
	var ue *storer.UnavailableError
	return errors.As(err, &ue) && ue.MaybeApplied
}

// settleLost decides whether the change, whose answer was lost, is what made the
// version move from base to current.
func (c *Commander) settleLost(ctx context.Context, ch *change, base declarer.Object, current uint64) (declarer.Object, error) {
	cur, err := c.read(ctx, ch.key, current)
	switch {
	case err != nil:
		return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&base))
	case cur.HasChange(ch.id):
		return cur, nil
	case remembersSince(&cur, lastChange(&base)):
		return declarer.Object{}, &overtakenError{current: cur.Version}
	default:
		return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&base))
	}
}

// remembersSince reports whether cur still remembers every change that came
// after the one named; an empty name stands for the time before the first.
func remembersSince(cur *declarer.Object, after string) bool {
	return len(cur.Changes) < declarer.MaxChanges || after != "" && cur.HasChange(after)
}

// lastChange returns the id of the last change of an object, or "".
func lastChange(o *declarer.Object) string {
	if n := len(o.Changes); n > 0 {
		return o.Changes[n-1]
	}
	return ""
}

// read reads an object that has at least the version least; the platform may
// serve old reads. An object that does not exist has version 0. It fails with a
// *staleError, and the newest that it read, when all reads are older.
func (c *Commander) read(ctx context.Context, key declarer.Key, least uint64) (declarer.Object, error) {
	pause := minPause
	newest := declarer.Object{Key: key}
	for range maxReads {
		o, err := c.platform.Get(ctx, key)
		var nf *storer.NotFoundError
		if errors.As(err, &nf) {
			o, err = declarer.Object{Key: key}, nil
		}
		if err != nil {
			return declarer.Object{}, err
		}
		newest = c.newer(o)
		if newest.Version >= least {
			return newest, nil
		}
		if err := c.pause(ctx, pause); err != nil {
			return declarer.Object{}, err
		}
		pause = min(2*pause, maxPause)
	}
	return newest, &staleError{key: key, least: least}
}

func conflict(cur *declarer.Object, what string) error {
	r := refuse(answerer.CodeConflict, "version", fmt.Sprintf("%s %s; its version is %d", cur.Key, what, cur.Version))
	r.Version = cur.Version
	return r
}

// platformRefusal refuses a change that was surely not accepted.
func platformRefusal(err error) error {
	var re *storer.RejectedError
	if errors.As(err, &re) {
		return refuse(answerer.CodeBadBody, "", re.Error())
	}
	var fe *declarer.FieldError
	if errors.As(err, &fe) {
		return checkRefusal("", err)
	}
	return refuse(answerer.CodeNoPlatform, "", "the change was not accepted: "+err.Error())
}

// unsettled refuses a change that may or may not have been accepted. It was made
// when after was the object's last change.
func unsettled(key declarer.Key, id, after string) *answerer.RefusalError {
	command := fmt.Sprintf("cornelwood change settle %s %s %s", key.Kind, key.Name, id)
	if after != "" {
		command += " --after " + after
	}
	return &answerer.RefusalError{
		Code:    answerer.CodeUnsettled,
		Reason:  "the platform's answer was lost; settle the change with: " + command,
		Outcome: answerer.Unknown,
	}
}
