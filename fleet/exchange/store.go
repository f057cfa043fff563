package exchange

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// Buckets is the number of groups that a full compare looks at. Eight
	// bytes each make 2 KB, and at 4,000 items a differing group costs 16
	// summaries.
	Buckets = 256
	// maxItems bounds what peers can make an instance hold; the target has
	// about 4,000.
	maxItems = 1 << 16
	// maxNameBytes bounds a key.
	maxNameBytes = 512
	// inlineBytes is the largest value that is sent unasked. Larger ones are
	// announced by their version, and each instance fetches them once instead
	// of getting a copy from each peer.
	inlineBytes = 256
	// recentChanges is how many of the latest changes two instances show each
	// other when their sums differ, before they compare everything: the change
	// that one of them missed is nearly always among them.
	recentChanges = 8
	// maxSends bounds the transmissions of one change whatever the fleet.
	maxSends = 24
)

var itemsRefused = metrics.GetOrCreateCounter("sardinedock_fleet_items_refused_total")

// Store holds the items of one instance.
type Store struct {
	items   map[Key]*held
	buckets [Buckets]bucket
	root    uint64
	// hot holds the items that are still to be told, by how often they were
	// sent. An entry whose item moved on is skipped when met.
	hot   [maxSends][]*held
	minor func(old, changed Item) bool
	// recent are the latest lasting changes, the newest last.
	recent []*held
	// quiet is set while items are taken that need not be told on.
	quiet bool
}

type bucket struct {
	sum  uint64
	keys map[Key]*held
}

// held is an item with what the store knows of it.
type held struct {
	Item
	expires time.Time // zero: never
	bucket  int
	sends   int
	useless int
	gone    bool
	low     bool
	source  string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[Key]*held{}, minor: func(Item, Item) bool { return false }}
}

// SetMinor has changes for which minor returns true told after all others.
func (s *Store) SetMinor(minor func(old, changed Item) bool) { s.minor = minor }

// Len is the number of items.
func (s *Store) Len() int { return len(s.items) }

// Root sums up all items without a TTL. Those with one end at different
// moments at different instances and would make equal states look different.
func (s *Store) Root() uint64 { return s.root }

// Get returns an item.
func (s *Store) Get(k Key) (Item, bool) {
	h, ok := s.items[k]
	if !ok {
		return Item{}, false
	}
	return h.Item, true
}

// Left is how long an item is still remembered; 0 where it has no TTL or is
// not held.
func (s *Store) Left(k Key, now time.Time) time.Duration {
	h := s.items[k]
	if h == nil || h.expires.IsZero() {
		return 0
	}
	return h.expires.Sub(now)
}

// Each calls fn with all items of a kind, in no order.
func (s *Store) Each(kind fleetpb.ItemKind, fn func(Item)) {
	for k, h := range s.items {
		if k.Kind == kind {
			fn(h.Item)
		}
	}
}

// Put takes an item that came from the named peer, or from this instance where
// source is empty. It reports whether the item was newer than what was held;
// an older one changes nothing, which is why no order of messages can take
// state back.
func (s *Store) Put(it Item, source string, now time.Time) bool {
	old := s.items[it.Key]
	if old != nil && !newer(&it, &old.Item) {
		return false
	}
	if old == nil && !s.acceptable(it) {
		itemsRefused.Inc()
		return false
	}
	h := &held{Item: it, bucket: int(it.Key.hash() % Buckets), source: source}
	h.low = it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_USAGE || old != nil && s.minor(old.Item, it)
	if it.TTL > 0 {
		h.expires = now.Add(it.TTL)
	}
	if old != nil {
		invariant.Check(!newer(&old.Item, &it), "shared_state_never_reverts", "%v went from %d.%d to %d.%d",
			it.Key, old.Epoch, old.Version, it.Epoch, it.Version)
		s.remove(old)
	}
	s.insert(h)
	if s.quiet {
		return true
	}
	s.hot[0] = append(s.hot[0], h)
	if h.TTL == 0 {
		s.recent = append(s.recent, h)
		s.recent = s.recent[max(0, len(s.recent)-recentChanges):]
	}
	return true
}

func (s *Store) acceptable(it Item) bool {
	return len(s.items) < maxItems && len(it.Key.Name) <= maxNameBytes && it.Key.Kind != fleetpb.ItemKind_ITEM_KIND_UNSPECIFIED
}

func (s *Store) insert(h *held) {
	s.items[h.Key] = h
	b := &s.buckets[h.bucket]
	if b.keys == nil {
		b.keys = map[Key]*held{}
	}
	b.keys[h.Key] = h
	s.addSum(h)
}

func (s *Store) remove(h *held) {
	h.gone = true
	delete(s.items, h.Key)
	delete(s.buckets[h.bucket].keys, h.Key)
	s.addSum(h)
}

// addSum adds an item to the sums, or takes it out: exclusive or is its own
// inverse.
func (s *Store) addSum(h *held) {
	if h.TTL > 0 {
		return
	}
	sum := h.sum()
	s.root ^= sum
	s.buckets[h.bucket].sum ^= sum
}

// Expire forgets the items whose TTL has ended.
func (s *Store) Expire(now time.Time) {
	for _, h := range s.items {
		if !h.expires.IsZero() && !now.Before(h.expires) {
			s.remove(h)
		}
	}
}

// Forget drops an item at once, without a trace for peers.
func (s *Store) Forget(k Key) {
	if h := s.items[k]; h != nil {
		s.remove(h)
	}
}

// Count is the number of items of a kind.
func (s *Store) Count(kind fleetpb.ItemKind) int {
	n := 0
	s.Each(kind, func(Item) { n++ })
	return n
}
