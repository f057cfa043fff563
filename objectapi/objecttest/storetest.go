// Package objecttest is the object API in memory, for tests that run in
// virtual time and so without sockets.
package objecttest

import (
	"context"
	"sort"
	"sync"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// Store implements objectapi.Store. The zero value is empty and ready.
type Store struct {
	mu      sync.Mutex
	version objectapi.Version
	history []objectapi.Object
	changed chan struct{}
	entries []objectapi.InstanceEntry

	down      bool
	loseNext  int
	forgotten objectapi.Version
	counts    Counts
}

// Counts is how often each call was made.
type Counts struct {
	Gets, Lists, Puts, Watches int
}

var _ objectapi.Store = (*Store)(nil)

// SetDown starts or ends an outage, in which all calls fail and watches end.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.tell()
}

// LoseReplies lets the next n writes take effect and fail with fault.Unknown.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Forget makes watches from versions before the current one expire.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.tell()
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(entries []objectapi.InstanceEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
}

// Counts returns how often each call was made.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Set stores a value without a condition.
func (s *Store) Set(kind, name string, value []byte) objectapi.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record(objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Remove deletes an object without a condition.
func (s *Store) Remove(kind, name string) objectapi.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record(objectapi.Object{Kind: kind, Name: name, Deleted: true})
}

func (s *Store) record(obj objectapi.Object) objectapi.Version {
	s.version++
	obj.Version = s.version
	s.history = append(s.history, obj)
	s.tell()
	return s.version
}

func (s *Store) tell() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// next is closed at the next change.
func (s *Store) next() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) find(kind, name string) (objectapi.Object, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if obj := s.history[i]; obj.Kind == kind && obj.Name == name {
			return obj, !obj.Deleted
		}
	}
	return objectapi.Object{}, false
}

func (s *Store) outage(ctx context.Context) error {
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
	if err := s.outage(ctx); err != nil {
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
	if err := s.outage(ctx); err != nil {
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
	if err := s.condition(ctx, obj.Kind, obj.Name, expected); err != nil {
		return 0, err
	}
	obj.Deleted = false
	return s.reply(s.record(obj))
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, expected objectapi.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.condition(ctx, kind, name, expected); err != nil {
		return err
	}
	_, err := s.reply(s.record(objectapi.Object{Kind: kind, Name: name, Deleted: true}))
	return err
}

func (s *Store) condition(ctx context.Context, kind, name string, expected objectapi.Version) error {
	if err := s.outage(ctx); err != nil {
		return err
	}
	var current objectapi.Version
	if obj, ok := s.find(kind, name); ok {
		current = obj.Version
	}
	if current != expected {
		return fault.New(fault.Conflict, "read it again", "%s/%s stands at version %d", kind, name, current)
	}
	return nil
}

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
	return s.entries, s.outage(ctx)
}

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, kind string, from objectapi.Version) (objectapi.Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	if err := s.outage(ctx); err != nil {
		return nil, err
	}
	if from < s.forgotten {
		return nil, fault.New(fault.Expired, "list again", "version %d is forgotten", from)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &watch{store: s, kind: kind, at: from, ctx: ctx, cancel: cancel}, nil
}

type watch struct {
	store  *Store
	kind   string
	at     objectapi.Version
	ctx    context.Context
	cancel context.CancelFunc
}

// Next implements objectapi.Watch.
func (w *watch) Next() (objectapi.Object, error) {
	for {
		obj, changed, err := w.look()
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

// look returns the next change, or a channel that tells when to look again.
func (w *watch) look() (objectapi.Object, chan struct{}, error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.outage(w.ctx); err != nil {
		return objectapi.Object{}, nil, err
	}
	for _, obj := range s.history {
		if obj.Kind == w.kind && obj.Version > w.at {
			w.at = obj.Version
			return obj, nil, nil
		}
	}
	return objectapi.Object{}, s.next(), nil
}

// Close implements objectapi.Watch.
func (w *watch) Close() { w.cancel() }
