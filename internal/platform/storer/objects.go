package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cornelwood.example/internal/contract/declarer"
)

// List returns the objects of a kind, or of all kinds for an empty one, and the
// store's revision that they are of. Both may be older than ones seen before.
// With a *FaultsError the faultless objects are returned too.
func (s *Storer) List(ctx context.Context, kind declarer.Kind) ([]declarer.Object, uint64, error) {
	c := &call{name: "list", method: http.MethodGet, path: "objects", limit: maxListBytes}
	if kind != "" {
		c.query = url.Values{"kind": {string(kind)}}.Encode()
	}
	return s.batch(ctx, c)
}

// Get returns one object. It fails with a *NotFoundError when there is none.
func (s *Storer) Get(ctx context.Context, key declarer.Key) (declarer.Object, error) {
	c := &call{name: "get", method: http.MethodGet, path: objectPath(key), limit: maxObjectBytes}
	var o declarer.Object
	err := s.do(ctx, c, func(a answer) (err error) {
		switch a.status {
		case http.StatusOK:
			o, err = decodeObject(a.body)
			return unavailable(c, err)
		case http.StatusNotFound:
			return &NotFoundError{Key: key}
		default:
			return rejected(c, a)
		}
	})
	return o, err
}

// Put writes an object when its version is still expect, where 0 stands for no
// object, and returns its new version. A deletion is a Put of a tombstone.
//
// It fails with a *ConflictError when the version is another one, and with an
// *UnavailableError that says whether the write may have been applied. It never
// writes twice.
func (s *Storer) Put(ctx context.Context, obj declarer.Object, expect uint64) (uint64, error) {
	c, err := putCall(&obj, expect)
	if err != nil {
		return 0, err
	}
	var version uint64
	err = s.do(ctx, c, func(a answer) (err error) {
		version, err = readPut(c, a, obj.Key, expect)
		return err
	})
	return version, err
}

// readPut returns the new version, or the error of a write that was refused or
// answered in another form.
func readPut(c *call, a answer, key declarer.Key, expect uint64) (uint64, error) {
	if a.status != http.StatusOK && a.status != http.StatusPreconditionFailed {
		return 0, rejected(c, a)
	}
	isApplied := a.status == http.StatusOK
	version, err := decodeVersion(a.body)
	if err == nil && isApplied && version <= expect {
		err = fmt.Errorf("answer: want a version above %d, got %d", expect, version)
	}
	switch {
	case err != nil:
		return 0, &UnavailableError{Call: c.name, Unsettled: isApplied, Err: err}
	case !isApplied:
		return 0, &ConflictError{Key: key, Expected: expect, Current: version}
	default:
		return version, nil
	}
}

// Watch waits up to wait for objects that changed above revision from. It
// returns them, none when the wait is over, and the revision to watch from
// next, which is never below from. Events may be missed and repeated: compare
// versions, and List now and then. With a *FaultsError the faultless objects
// are returned too.
func (s *Storer) Watch(ctx context.Context, from uint64, wait time.Duration) ([]declarer.Object, uint64, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()}}
	c := &call{
		name:   "watch",
		method: http.MethodGet,
		path:   "watch",
		query:  query.Encode(),
		limit:  maxListBytes,
		wait:   wait,
	}
	objects, revision, err := s.batch(ctx, c)
	return objects, max(from, revision), err
}

// Instances returns the platform's list of instances, which lags: their ID,
// Zone, Peer and State (Live or Leaving). With a *FaultsError the faultless
// instances are returned too.
func (s *Storer) Instances(ctx context.Context) ([]declarer.Instance, error) {
	c := &call{name: "instances", method: http.MethodGet, path: "instances", limit: maxListBytes}
	var instances []declarer.Instance
	err := s.do(ctx, c, func(a answer) (err error) {
		if a.status != http.StatusOK {
			return rejected(c, a)
		}
		instances, err = decodeInstances(a.body)
		return unavailable(c, err)
	})
	return instances, err
}

// batch carries out a call whose answer is a revision and objects.
func (s *Storer) batch(ctx context.Context, c *call) ([]declarer.Object, uint64, error) {
	var objects []declarer.Object
	var revision uint64
	err := s.do(ctx, c, func(a answer) (err error) {
		if a.status != http.StatusOK {
			return rejected(c, a)
		}
		objects, revision, err = decodeBatch(a.body)
		return unavailable(c, err)
	})
	return objects, revision, err
}

// putCall returns the call that writes an object. It fails on an object that
// Object.Check refuses and on one that is too large.
func putCall(obj *declarer.Object, expect uint64) (*call, error) {
	if err := obj.Check(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(value{Object: *obj})
	if err != nil {
		return nil, fmt.Errorf("object %s: %w", obj.Key, err)
	}
	if len(body) > maxValueBytes {
		reason := fmt.Sprintf("object %s: want at most %d bytes, got %d", obj.Key, maxValueBytes, len(body))
		return nil, &declarer.FieldError{Field: "value", Reason: reason}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if expect == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(expect, 10)))
	}
	return &call{
		name:   "put",
		method: http.MethodPut,
		path:   objectPath(obj.Key),
		header: header,
		body:   body,
		limit:  maxObjectBytes,
	}, nil
}

// unavailable wraps the error of an answer that could not be read as a whole.
func unavailable(c *call, err error) error {
	var faults *FaultsError
	if err == nil || errors.As(err, &faults) {
		return err
	}
	return &UnavailableError{Call: c.name, Err: err}
}

func objectPath(key declarer.Key) string {
	return "objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}
