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
	// maxAttempts bounds how often one change is read, applied and written.
	maxAttempts = 16
	// maxReads bounds the reads of one object while the platform returns old versions.
	maxReads = 8
	// minBackoff and maxBackoff bound the pause between attempts, which doubles.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// change is one operator's change of one object.
type change struct {
	id  string
	key declarer.Key
	// expect is the version that the operator made the change from; nil means the current one.
	expect *uint64
	// creates is set for a change that creates the object.
	creates bool
	// edit returns the object that results from applying the change to cur. Key, version and changes are set later.
	edit func(cur declarer.Object) (declarer.Object, error)
}

// run makes a change and returns the object as the platform accepted it. It goes on when ctx ends, for at most
// changeTimeout.
func (c *Commander) run(ctx context.Context, ch change) (declarer.Object, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	o, err := c.attempt(ctx, &ch)
	if err != nil {
		return declarer.Object{}, err
	}
	c.metrics.acceptedChanges.Inc()
	c.log.Info("change accepted", "object", o.Key, "version", o.Version, "change", ch.id)
	if err := c.fleet.Accept(ctx, o); err != nil {
		c.log.Warn("accepted change not applied at this daemon; the watch of the platform will deliver it", "object", o.Key, "error", err)
	}
	return o, nil
}

// attempt reads, edits and writes the object until the change is accepted or refused.
func (c *Commander) attempt(ctx context.Context, ch *change) (declarer.Object, error) {
	minVersion := uint64(0)
	for range maxAttempts {
		cur, err := c.read(ctx, ch.key, minVersion)
		if err != nil && !isStale(err, ch) {
			return declarer.Object{}, platformRefusal(err)
		}
		if cur.HasChange(ch.id) {
			return cur, nil
		}
		if ch.expect != nil && cur.Version < *ch.expect && minVersion < *ch.expect {
			minVersion = *ch.expect
			continue
		}
		next, err := c.apply(ch, cur)
		if err != nil {
			return declarer.Object{}, err
		}
		o, err := c.write(ctx, ch, cur, next)
		var superseded *supersededError
		if !errors.As(err, &superseded) {
			return o, err
		}
		minVersion = superseded.current
	}
	return declarer.Object{}, refuse(answerer.CodeOverloaded, "", fmt.Sprintf("%s was changed by others during all %d attempts", ch.key, maxAttempts))
}

// isStale reports whether err is a *staleError and the change names its version. An old read is then enough to refuse the
// change.
func isStale(err error, ch *change) bool {
	var se *staleError
	return ch.expect != nil && errors.As(err, &se)
}

// newer returns the object in force at this daemon if it is newer than the one read, because the platform may return old
// versions. This is safe because a write is conditional on the version.
func (c *Commander) newer(read declarer.Object) declarer.Object {
	if o, ok := c.views.View().Objects[read.Key]; ok && o.Version > read.Version {
		return *o
	}
	return read
}

// apply checks that the change can be applied to cur, and returns the resulting object.
func (c *Commander) apply(ch *change, cur declarer.Object) (declarer.Object, error) {
	exists := cur.Version > 0 && !cur.Deleted
	if ch.creates && exists {
		return declarer.Object{}, conflict(&cur, "exists already")
	}
	if !ch.creates && !exists {
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
		return declarer.Object{}, invalidValue("", err)
	}
	return next, nil
}

// supersededError reports that another change was accepted first, so that this one certainly took no effect.
type supersededError struct {
	current uint64
}

// Error returns the version that the other change wrote.
func (e *supersededError) Error() string {
	return fmt.Sprintf("another change wrote version %d first", e.current)
}

// staleError reports that the platform returned only old versions of an object.
type staleError struct {
	key declarer.Key
	// minVersion is the lowest version wanted.
	minVersion uint64
}

// Error returns the object and the lowest version wanted.
func (e *staleError) Error() string {
	return fmt.Sprintf("the platform returned only versions of %s older than %d", e.key, e.minVersion)
}

// write writes next under the version of cur. It returns the object that was accepted, a *supersededError or a refusal.
// When the answer is lost, it writes again under the same version, which cannot apply the change twice.
func (c *Commander) write(ctx context.Context, ch *change, cur, next declarer.Object) (declarer.Object, error) {
	isLost := false
	backoff := minBackoff
	for {
		v, err := c.platform.Put(ctx, next, cur.Version)
		if err == nil {
			next.Version = v
			return next, nil
		}
		var ce *storer.ConflictError
		if errors.As(err, &ce) {
			if !isLost {
				return declarer.Object{}, &supersededError{current: ce.Current}
			}
			return c.settleLost(ctx, ch, cur, ce.Current)
		}
		var ee *storer.EraError
		if errors.As(err, &ee) {
			if isLost || ee.MaybeApplied {
				// The versions before and after cannot be compared, so that it is not known what became of the write.
				return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&cur))
			}
			return declarer.Object{}, &supersededError{}
		}
		if !isLost && !mayBeApplied(err) {
			return declarer.Object{}, platformRefusal(err)
		}
		isLost = true
		c.metrics.lostAnswers.Inc()
		if c.pause(ctx, backoff) != nil {
			return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&cur))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// mayBeApplied reports whether a write that failed may have taken effect.
func mayBeApplied(err error) bool {
	var ue *storer.UnavailableError
	return errors.As(err, &ue) && ue.MaybeApplied
}

// settleLost determines whether the version rose from that of base to current because of the change, whose answer was
// lost.
func (c *Commander) settleLost(ctx context.Context, ch *change, base declarer.Object, current uint64) (declarer.Object, error) {
	cur, err := c.read(ctx, ch.key, current)
	switch {
	case err != nil:
		return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&base))
	case cur.HasChange(ch.id):
		return cur, nil
	case hasAllChangesSince(&cur, lastChange(&base)):
		return declarer.Object{}, &supersededError{current: cur.Version}
	default:
		return declarer.Object{}, unsettled(ch.key, ch.id, lastChange(&base))
	}
}

// hasAllChangesSince reports whether cur still records every change after the one with the id after. An empty id stands
// for the time before the first change.
func hasAllChangesSince(cur *declarer.Object, after string) bool {
	return len(cur.Changes) < declarer.MaxChanges || after != "" && cur.HasChange(after)
}

// lastChange returns the id of the last change of an object, "" if it has none.
func lastChange(o *declarer.Object) string {
	if n := len(o.Changes); n > 0 {
		return o.Changes[n-1]
	}
	return ""
}

// read reads an object until it has at least minVersion, because the platform may return old versions. An object that
// does not exist has version 0. When all versions read are older, it returns the newest of them with a *staleError.
func (c *Commander) read(ctx context.Context, key declarer.Key, minVersion uint64) (declarer.Object, error) {
	backoff := minBackoff
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
		if newest.Version >= minVersion {
			return newest, nil
		}
		if err := c.pause(ctx, backoff); err != nil {
			return declarer.Object{}, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return newest, &staleError{key: key, minVersion: minVersion}
}

// conflict returns the refusal of a change that conflicts with the current object.
func conflict(cur *declarer.Object, what string) error {
	r := refuse(answerer.CodeConflict, "version", fmt.Sprintf("%s %s; its version is %d", cur.Key, what, cur.Version))
	r.Version = cur.Version
	return r
}

// platformRefusal returns the refusal of a call that certainly changed nothing, because of an error of the platform. The
// call is a change, or a question about an earlier change.
func platformRefusal(err error) error {
	var re *storer.RejectedError
	if errors.As(err, &re) {
		return refuse(answerer.CodeBadBody, "", re.Error())
	}
	var fe *declarer.FieldError
	if errors.As(err, &fe) {
		return invalidValue("", err)
	}
	return refuse(answerer.CodeNoPlatform, "", "this call changed nothing: "+err.Error())
}

// unsettled returns the refusal of a change that may have been accepted. after is the id of the object's last change when
// it was made.
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
