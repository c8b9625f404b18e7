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

// fencePrefix marks the ids of the writes that settle a change. Operators' own
// ids cannot have it.
const fencePrefix = "settle:"

// settlement is the outcome of a change.
type settlement struct {
	Outcome answerer.Outcome `json:"outcome"`
	// Version is the object's version that shows it.
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

// showChange tells whether a change is known to have taken effect. It only
// reads, so that it cannot tell that a change will never take effect.
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
		Reason:  fmt.Sprintf("%s does not remember the change, which may still take effect; POST to this path settles it", key),
	}, nil
}

// settleChange settles a change whose answer was lost. When the object does not
// remember the change, it is written again unchanged: its version moves, and a
// write that is still on its way can never apply.
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

// settle settles a change that was made when after was the object's last change;
// after is empty when it is not known.
func (c *Commander) settle(ctx context.Context, key declarer.Key, id, after string) (settlement, error) {
	least := uint64(0)
	for range maxAttempts {
		cur, err := c.read(ctx, key, least)
		if err != nil {
			return settlement{}, unsettledBecause(key, id, after, err)
		}
		if cur.HasChange(id) {
			return settlement{Outcome: answerer.Done, Version: cur.Version}, nil
		}
		if cur.HasChange(fencePrefix + id) {
			return notRun(&cur, after), nil
		}
		o, err := c.fence(ctx, cur, id)
		if err == nil {
			return notRun(&o, after), nil
		}
		var ce *storer.ConflictError
		if !errors.As(err, &ce) {
			return settlement{}, unsettledBecause(key, id, after, err)
		}
		least = ce.Current
	}
	return settlement{}, unsettled(key, id, after)
}

// fence writes an object again unchanged, or a tombstone when there is none.
func (c *Commander) fence(ctx context.Context, cur declarer.Object, id string) (declarer.Object, error) {
	next := cur.WithChange(fencePrefix + id)
	next.Deleted = cur.Deleted || cur.Version == 0
	v, err := c.platform.Put(ctx, next, cur.Version)
	if err != nil {
		return declarer.Object{}, err
	}
	next.Version = v
	if err := c.fleet.Accept(ctx, next); err != nil {
		c.log.Warn("settled object is left to the platform's watchers", "object", next.Key, "error", err)
	}
	return next, nil
}

// notRun is the outcome of a change that the object's version has overtaken. It
// is certain when the object still remembers every change since after.
func notRun(cur *declarer.Object, after string) settlement {
	if remembersSince(cur, after) {
		return settlement{Outcome: answerer.NotRun, Version: cur.Version}
	}
	return settlement{
		Outcome: answerer.Unknown,
		Version: cur.Version,
		Reason:  fmt.Sprintf("not among the last %d changes; it cannot take effect any more, but may have before those", declarer.MaxChanges),
	}
}

func unsettledBecause(key declarer.Key, id, after string, err error) error {
	re := unsettled(key, id, after)
	re.Reason = fmt.Sprintf("%v; %s", err, re.Reason)
	return re
}

// changePath returns the object and the id that the path names.
func changePath(r *http.Request) (declarer.Key, string, error) {
	key := declarer.Key{Kind: declarer.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if key.Kind != declarer.KindService && key.Kind != declarer.KindZone {
		return key, "", refuse(answerer.CodeBadField, "kind", fmt.Sprintf("want %q or %q, got %q", declarer.KindService, declarer.KindZone, key.Kind))
	}
	id := r.PathValue("change")
	return key, id, checkChange(id)
}
