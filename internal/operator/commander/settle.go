package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/control/storer"
)

// fencePrefix starts the id of a write that fences off an unsettled change. An operator's id of a change cannot start
// with it, because it must not contain a colon.
const fencePrefix = "settle:"

// settlement is the outcome of a change.
type settlement struct {
	Outcome answerer.Outcome `json:"outcome"`
	// Version is the object's version from which the outcome was determined.
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

// showChange reports whether a change is known to have taken effect. It only reads, so it cannot rule out that a change
// still takes effect.
func (c *Commander) showChange(r *http.Request) (int, any, error) {
	key, id, err := changePath(r)
	if err != nil {
		return 0, nil, err
	}
	cur, err := c.read(r.Context(), key, 0)
	if err != nil {
		return 0, nil, platformRefusal(err)
	}
	if cur.HasChange(id) {
		return http.StatusOK, settlement{Outcome: answerer.Done, Version: cur.Version}, nil
	}
	return http.StatusOK, settlement{
		Outcome: answerer.Unknown,
		Version: cur.Version,
		Reason:  fmt.Sprintf("%s has no record of the change, which may still take effect; POST to this path settles it", key),
	}, nil
}

// settleChange settles a change whose answer was lost. When the object has no record of the change, the object is written
// again unchanged: that raises its version, so a write that is still in flight cannot apply any more.
func (c *Commander) settleChange(r *http.Request) (int, any, error) {
	key, id, err := changePath(r)
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	s, err := c.settle(ctx, key, id, r.URL.Query().Get("after"))
	return http.StatusOK, s, err
}

// settle settles the change of an object that has the id. after is the id of the object's last change when it was made,
// empty when that is unknown.
func (c *Commander) settle(ctx context.Context, key declarer.Key, id, after string) (settlement, error) {
	minVersion := uint64(0)
	for range maxAttempts {
		cur, err := c.read(ctx, key, minVersion)
		if err != nil {
			return settlement{}, unsettledWithCause(key, id, after, err)
		}
		if cur.HasChange(id) {
			return settlement{Outcome: answerer.Done, Version: cur.Version}, nil
		}
		if cur.HasChange(fencePrefix + id) {
			return fencedOutcome(&cur, after), nil
		}
		o, err := c.fence(ctx, cur, id)
		if err == nil {
			return fencedOutcome(&o, after), nil
		}
		var ce *storer.ConflictError
		if !errors.As(err, &ce) {
			return settlement{}, unsettledWithCause(key, id, after, err)
		}
		minVersion = ce.Current
	}
	return settlement{}, unsettled(key, id, after)
}

// fence writes an object again unchanged, or a tombstone when there is no object, so that an in-flight write under an
// older version cannot apply.
func (c *Commander) fence(ctx context.Context, cur declarer.Object, id string) (declarer.Object, error) {
	next := cur.WithChange(fencePrefix + id)
	next.Deleted = cur.Deleted || cur.Version == 0
	v, err := c.platform.Put(ctx, next, cur.Version)
	if err != nil {
		return declarer.Object{}, err
	}
	next.Version = v
	if err := c.fleet.Accept(ctx, next); err != nil {
		c.log.Warn("object of a settled change not applied at this daemon; the watch of the platform will deliver it", "object", next.Key, "error", err)
	}
	return next, nil
}

// fencedOutcome returns the outcome of a change that can no longer apply, because the object was written again, and of
// which cur has no record. The change was certainly not run if cur still records every change since after. Otherwise the
// outcome is unknown.
func fencedOutcome(cur *declarer.Object, after string) settlement {
	if hasAllChangesSince(cur, after) {
		return settlement{Outcome: answerer.NotRun, Version: cur.Version}
	}
	return settlement{
		Outcome: answerer.Unknown,
		Version: cur.Version,
		Reason:  fmt.Sprintf("not among the last %d changes; it can no longer take effect, but may have taken effect before them", declarer.MaxChanges),
	}
}

// unsettledWithCause returns the refusal of unsettled, with err, which prevented settling, in its reason.
func unsettledWithCause(key declarer.Key, id, after string, err error) error {
	re := unsettled(key, id, after)
	re.Reason = fmt.Sprintf("%v; %s", err, re.Reason)
	return re
}

// changePath returns the object's key and the change's id from the path.
func changePath(r *http.Request) (declarer.Key, string, error) {
	key := declarer.Key{Kind: declarer.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if key.Kind != declarer.KindService && key.Kind != declarer.KindZone {
		return key, "", refuse(answerer.CodeBadField, "kind", fmt.Sprintf("want %q or %q, got %q", declarer.KindService, declarer.KindZone, key.Kind))
	}
	id := r.PathValue("change")
	return key, id, checkChange(id)
}
