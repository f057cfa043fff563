// Package objecttest provides an in-memory implementation of the object API, for tests that run in
// virtual time and therefore can't use sockets.
package objecttest

import (
	"context"
	"sort"
	"sync"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// Store implements objectapi.Store. The zero value is an empty store that is ready to use. It is safe
// for concurrent use.
type Store struct {
	mu      sync.Mutex
	version objectapi.Version
	// history has all changes, in order.
	history []objectapi.Object
	// changed is closed at the next change; it is nil while no watch waits.
	changed chan struct{}
	entries []objectapi.InstanceEntry

	down bool
	// loseNext is the number of next writes whose replies are lost.
	loseNext int
	// forgotten is the version from which watches can start at the earliest.
	forgotten objectapi.Version
	counts    Counts
}

// Counts has the number of calls of each method.
type Counts struct {
	Gets, Lists, Puts, Watches int
}

var _ objectapi.Store = (*Store)(nil)

// SetDown starts or ends an outage, during which all calls fail and watches end.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// LoseReplies makes the next n writes take effect but return fault.Unknown.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// DropHistory makes new watches from versions before the current one fail with fault.Expired.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.notifyWatches()
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(entries []objectapi.InstanceEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
}

// Counts returns the number of calls of each method so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Set stores a value unconditionally.
func (s *Store) Set(kind, name string, value []byte) objectapi.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendChange(objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Remove deletes an object unconditionally.
func (s *Store) Remove(kind, name string) objectapi.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendChange(objectapi.Object{Kind: kind, Name: name, Deleted: true})
}

// appendChange adds a change at the next version. The caller holds s.mu.
func (s *Store) appendChange(obj objectapi.Object) objectapi.Version {
	s.version++
	obj.Version = s.version
	s.history = append(s.history, obj)
	s.notifyWatches()
	return s.version
}

// notifyWatches wakes the waiting watches. The caller holds s.mu.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change. The caller holds s.mu.
func (s *Store) nextChange() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// find returns the last change of an object and whether the object exists.
func (s *Store) find(kind, name string) (objectapi.Object, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if obj := s.history[i]; obj.Kind == kind && obj.Name == name {
			return obj, !obj.Deleted
		}
	}
	return objectapi.Object{}, false
}

// checkReachable returns an error during an outage or after ctx has ended.
func (s *Store) checkReachable(ctx context.Context) error {
	if s.down || ctx.Err() != nil {
		return fault.New(fault.Unavailable, "end the outage", "the object API is down")
	}
	return nil
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Gets++
	if err := s.checkReachable(ctx); err != nil {
		return objectapi.Object{}, err
	}
	obj, ok := s.find(kind, name)
	if !ok {
		return objectapi.Object{}, fault.New(fault.NotFound, "create it", "no object %s/%s", kind, name)
	}
	return obj, nil
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, kind string) (objectapi.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	if err := s.checkReachable(ctx); err != nil {
		return objectapi.Listing{}, err
	}
	last := map[string]objectapi.Object{}
	for _, obj := range s.history {
		if obj.Kind == kind {
			last[obj.Name] = obj
		}
	}
	listing := objectapi.Listing{Version: s.version}
	for _, obj := range last {
		if !obj.Deleted {
			listing.Objects = append(listing.Objects, obj)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Name < listing.Objects[j].Name })
	return listing, nil
}

// Put implements objectapi.Store.
func (s *Store) Put(ctx context.Context, obj objectapi.Object, expected objectapi.Version) (objectapi.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Puts++
	if err := s.checkVersion(ctx, obj.Kind, obj.Name, expected); err != nil {
		return 0, err
	}
	obj.Deleted = false
	return s.reply(s.appendChange(obj))
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, expected objectapi.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(ctx, kind, name, expected); err != nil {
		return err
	}
	_, err := s.reply(s.appendChange(objectapi.Object{Kind: kind, Name: name, Deleted: true}))
	return err
}

// checkVersion returns an error unless the object's version equals expected; 0 means that it does not
// exist.
func (s *Store) checkVersion(ctx context.Context, kind, name string, expected objectapi.Version) error {
	if err := s.checkReachable(ctx); err != nil {
		return err
	}
	var current objectapi.Version
	if obj, ok := s.find(kind, name); ok {
		current = obj.Version
	}
	if current != expected {
		return fault.New(fault.Conflict, "read it again", "%s/%s is at version %d", kind, name, current)
	}
	return nil
}

// reply returns the result of a write, which is an error if its reply is to be lost.
func (s *Store) reply(version objectapi.Version) (objectapi.Version, error) {
	if s.loseNext > 0 {
		s.loseNext--
		return 0, fault.New(fault.Unknown, "read it again", "the reply was lost")
	}
	return version, nil
}

// Instances implements objectapi.Store.
func (s *Store) Instances(ctx context.Context) ([]objectapi.InstanceEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries, s.checkReachable(ctx)
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, kind string, from objectapi.Version) (objectapi.Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	if err := s.checkReachable(ctx); err != nil {
		return nil, err
	}
	if from < s.forgotten {
		return nil, fault.New(fault.Expired, "list again", "version %d is no longer in the history", from)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &watch{store: s, kind: kind, last: from, ctx: ctx, cancel: cancel}, nil
}

type watch struct {
	store *Store
	kind  string
	// last is the version of the last change returned.
	last   objectapi.Version
	ctx    context.Context
	cancel context.CancelFunc
}

// Next implements objectapi.Watch.
func (w *watch) Next() (objectapi.Object, error) {
	for {
		obj, changed, err := w.poll()
		if err != nil || changed == nil {
			return obj, err
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return objectapi.Object{}, context.Cause(w.ctx)
		}
	}
}

// poll returns the next change or, if there is none yet, a channel that is closed at the next change.
func (w *watch) poll() (objectapi.Object, chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReachable(w.ctx); err != nil {
		return objectapi.Object{}, nil, err
	}
	for _, obj := range s.history {
		if obj.Kind == w.kind && obj.Version > w.last {
			w.last = obj.Version
			return obj, nil, nil
		}
	}
	return objectapi.Object{}, s.nextChange(), nil
}

// Close implements objectapi.Watch.
func (w *watch) Close() { w.cancel() }
