package exchange

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// Buckets is the number of groups of items whose checksums a full compare
	// exchanges. At 8 bytes each they take 2 KB, and with 4,000 items each
	// differing bucket costs 16 summaries.
	Buckets = 256
	// maxItems limits how many items peers can make an instance store. A fleet
	// of the target size has about 4,000.
	maxItems = 1 << 16
	// maxNameBytes limits the name in a key.
	maxNameBytes = 512
	// maxInlineBytes is the largest value that is sent without a request for
	// it. For a larger one only the version is sent, and each instance fetches
	// the value once instead of receiving a copy from every peer.
	maxInlineBytes = 256
	// recentChanges is how many of its latest changes an instance sends
	// summaries of when its root checksum differs from a peer's. The change
	// that one of them missed is nearly always among these, so that most
	// differences need no full compare.
	recentChanges = 8
	// maxSends limits how often one change is sent, whatever the fleet's size.
	maxSends = 24
)

var itemsRefused = metrics.GetOrCreateCounter("sardinedock_fleet_items_refused_total")

// Store holds the items of one instance.
type Store struct {
	items   map[Key]*entry
	buckets [Buckets]bucket
	root    uint64
	// pending are the queues of entries still to be sent to peers, indexed by
	// how often an entry was sent. Entries that were replaced or removed stay in
	// a queue until it is next processed.
	pending [maxSends][]*entry
	isMinor func(old, changed Item) bool
	// recent are the latest changes of items without a TTL, the newest last.
	recent []*entry
	// skipPropagation is set while merging items that peers already have.
	skipPropagation bool
}

type bucket struct {
	sum  uint64
	keys map[Key]*entry
}

// entry is an item with the store's bookkeeping.
type entry struct {
	Item
	expires     time.Time // zero if the item does not expire
	bucket      int
	sends       int
	redundant   int // sends to peers that had the change already
	removed     bool
	lowPriority bool
	source      string // the peer that sent the item, empty for this instance
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[Key]*entry{}, isMinor: func(Item, Item) bool { return false }}
}

// SetMinor sets the function that reports whether a change is minor. Minor
// changes are sent after all others.
func (s *Store) SetMinor(isMinor func(old, changed Item) bool) { s.isMinor = isMinor }

// Len returns the number of items.
func (s *Store) Len() int { return len(s.items) }

// Root returns a checksum over all items without a TTL. Items with a TTL expire
// at different moments at different instances and would make equal states look
// different.
func (s *Store) Root() uint64 { return s.root }

// Get returns an item.
func (s *Store) Get(k Key) (Item, bool) {
	e, ok := s.items[k]
	if !ok {
		return Item{}, false
	}
	return e.Item, true
}

// Remaining returns the time until the item expires, or 0 if it has no TTL or is not
// in the store.
func (s *Store) Remaining(k Key, now time.Time) time.Duration {
	e := s.items[k]
	if e == nil || e.expires.IsZero() {
		return 0
	}
	return e.expires.Sub(now)
}

// Each calls fn for each item of the kind, in no particular order.
func (s *Store) Each(kind fleetpb.ItemKind, fn func(Item)) {
	for k, e := range s.items {
		if k.Kind == kind {
			fn(e.Item)
		}
	}
}

// Put stores an item received from the peer source, or published by this
// instance if source is empty. It reports whether the item was stored. An item
// that is not newer than the one in the store is ignored, so that no order of
// messages can revert state.
func (s *Store) Put(it Item, source string, now time.Time) bool {
	old := s.items[it.Key]
	if old != nil && !newer(&it, &old.Item) {
		return false
	}
	if old == nil && !s.acceptable(it) {
		itemsRefused.Inc()
		return false
	}
	e := &entry{Item: it, bucket: int(it.Key.hash() % Buckets), source: source}
	e.lowPriority = it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_USAGE || old != nil && s.isMinor(old.Item, it)
	if it.TTL > 0 {
		e.expires = now.Add(it.TTL)
	}
	if old != nil {
		invariant.Check(!newer(&old.Item, &it), "shared_state_never_reverts", "%v went from %d.%d to %d.%d",
			it.Key, old.Epoch, old.Version, it.Epoch, it.Version)
		s.remove(old)
	}
	s.insert(e)
	if s.skipPropagation {
		return true
	}
	s.pending[0] = append(s.pending[0], e)
	if e.TTL == 0 {
		s.recent = append(s.recent, e)
		s.recent = s.recent[max(0, len(s.recent)-recentChanges):]
	}
	return true
}

func (s *Store) acceptable(it Item) bool {
	return len(s.items) < maxItems && len(it.Key.Name) <= maxNameBytes && it.Key.Kind != fleetpb.ItemKind_ITEM_KIND_UNSPECIFIED
}

func (s *Store) insert(e *entry) {
	s.items[e.Key] = e
	b := &s.buckets[e.bucket]
	if b.keys == nil {
		b.keys = map[Key]*entry{}
	}
	b.keys[e.Key] = e
	s.toggleSum(e)
}

func (s *Store) remove(e *entry) {
	e.removed = true
	delete(s.items, e.Key)
	delete(s.buckets[e.bucket].keys, e.Key)
	s.toggleSum(e)
}

// toggleSum adds an entry to the checksums or removes it from them: XOR is its
// own inverse.
func (s *Store) toggleSum(e *entry) {
	if e.TTL > 0 {
		return
	}
	sum := e.sum()
	s.root ^= sum
	s.buckets[e.bucket].sum ^= sum
}

// Expire removes the items whose TTL has passed.
func (s *Store) Expire(now time.Time) {
	for _, e := range s.items {
		if !e.expires.IsZero() && !now.Before(e.expires) {
			s.remove(e)
		}
	}
}

// Forget removes an item at once, without notifying peers.
func (s *Store) Forget(k Key) {
	if e := s.items[k]; e != nil {
		s.remove(e)
	}
}

// Count returns the number of items of the kind.
func (s *Store) Count(kind fleetpb.ItemKind) int {
	n := 0
	s.Each(kind, func(Item) { n++ })
	return n
}
