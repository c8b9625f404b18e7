package storer

import (
	"context"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// KindInstance is the kind in the key of an invalid instance.
const KindInstance declarer.Kind = "instance"

// Store holds the declared objects and the records of the instances. Its errors are
// those of this package.
type Store interface {
	// List returns the objects of a kind, or of all kinds for an empty one, and their
	// revision of the store. Both may be older than those of an earlier call. With an
	// *InvalidObjectsError the valid objects are returned too.
	List(ctx context.Context, kind declarer.Kind) ([]declarer.Object, uint64, error)
	// Get returns one object. It fails with a *NotFoundError when there is none.
	Get(ctx context.Context, key declarer.Key) (declarer.Object, error)
	// Put writes an object if its version is still expect, where 0 stands for no
	// object, and returns its new version. A deletion is a Put of a tombstone.
	//
	// It fails with a *ConflictError when the version is another one. An
	// *UnavailableError has MaybeApplied set when the write may have been applied. Put
	// never writes twice.
	Put(ctx context.Context, obj declarer.Object, expect uint64) (uint64, error)
	// Watch waits up to wait for objects that changed after revision from. It returns
	// them, or none after wait, and the revision to watch from next, which is never
	// below from. Changes may be missed or repeated: compare versions, and call List
	// periodically. With an *InvalidObjectsError the valid objects are returned too.
	Watch(ctx context.Context, from uint64, wait time.Duration) ([]declarer.Object, uint64, error)
	// Instances returns the known instances with their ID, Zone, Peer and State (Live or
	// Leaving). With an *InvalidObjectsError the valid instances are returned too.
	Instances(ctx context.Context) ([]declarer.Instance, error)
}

var _ Store = (*Storer)(nil)

// List calls Store.List, subject to the backoff and the rate limit.
func (s *Storer) List(ctx context.Context, kind declarer.Kind) (objects []declarer.Object, revision uint64, err error) {
	err = s.do(ctx, "list", 0, func(ctx context.Context) (err error) {
		objects, revision, err = s.store.List(ctx, kind)
		return err
	})
	return objects, revision, err
}

// Get calls Store.Get, subject to the backoff and the rate limit.
func (s *Storer) Get(ctx context.Context, key declarer.Key) (o declarer.Object, err error) {
	err = s.do(ctx, "get", 0, func(ctx context.Context) (err error) {
		o, err = s.store.Get(ctx, key)
		return err
	})
	return o, err
}

// Put calls Store.Put, subject to the backoff and the rate limit. An object that
// Object.Check rejects is not sent.
func (s *Storer) Put(ctx context.Context, obj declarer.Object, expect uint64) (version uint64, err error) {
	if err := obj.Check(); err != nil {
		return 0, err
	}
	err = s.do(ctx, "put", 0, func(ctx context.Context) (err error) {
		version, err = s.store.Put(ctx, obj, expect)
		return err
	})
	return version, err
}

// Watch calls Store.Watch, subject to the backoff and the rate limit.
func (s *Storer) Watch(ctx context.Context, from uint64, wait time.Duration) (objects []declarer.Object, revision uint64, err error) {
	err = s.do(ctx, "watch", wait, func(ctx context.Context) (err error) {
		objects, revision, err = s.store.Watch(ctx, from, wait)
		return err
	})
	return objects, max(from, revision), err
}

// Instances calls Store.Instances, subject to the backoff and the rate limit.
func (s *Storer) Instances(ctx context.Context) (instances []declarer.Instance, err error) {
	err = s.do(ctx, "instances", 0, func(ctx context.Context) (err error) {
		instances, err = s.store.Instances(ctx)
		return err
	})
	return instances, err
}
