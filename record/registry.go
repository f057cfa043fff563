package record

import (
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const (
	// maxTombstones bounds the stored tombstones of deleted records. At a few
	// thousand changes a day, all of them deletions, it is enough for a day. A
	// partitioned peer is removed from the members long before that.
	maxTombstones = 4096
	// changesRing bounds the changes that wait to be sent to peers. Peers receive
	// those dropped here by their full comparison.
	changesRing = 1024
)

var (
	changesTotal = metrics.GetOrCreateCounter("sardinedock_record_changes_total")
	refusedTotal = metrics.GetOrCreateCounter("sardinedock_record_refused_total")
	staleTotal   = metrics.GetOrCreateCounter("sardinedock_record_stale_total")
)

// Registry merges the records received from watches, lists and peers. The highest
// version of a record wins, whatever its source and order of arrival, so that a stale
// read, a peer that was partitioned or a restart cannot restore an older version. All
// methods are safe for concurrent use; none blocks on I/O.
type Registry struct {
	clock   clock.Clock
	changes *ring.Ring[Item]

	mu             sync.Mutex
	entries        map[entryKey]*entry
	listedAt       map[Kind]uint64
	complete       bool
	version        uint64
	snapshot       *Snapshot
	warnedSnapshot *Snapshot
	warnings       map[entryKey][]string
	subscribers    []func(*Snapshot)
}

type entryKey struct {
	kind Kind
	name string
}

// entry is what is known of one record. The version of each part only increases, so
// the order in which items arrive does not matter.
type entry struct {
	// newest is the item with the highest version, in force or not.
	newest Item
	// accepted is the newest item that this program could put in force.
	accepted Item
	// deletedAt is the highest version at which the record did not exist.
	deletedAt uint64

	record  *recordspb.Record
	since   time.Time
	refused string
}

// NewRegistry returns a Registry without records.
func NewRegistry(c clock.Clock) *Registry {
	return &Registry{
		clock:    c,
		changes:  ring.New[Item]("record_changes", changesRing),
		entries:  map[entryKey]*entry{},
		listedAt: map[Kind]uint64{},
	}
}

// Offer merges items and returns how many of them changed anything.
func (reg *Registry) Offer(items ...Item) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	taken := 0
	for _, it := range items {
		if reg.take(it) {
			taken++
		}
	}
	if taken > 0 {
		reg.publish()
	}
	return taken
}

// OfferListing merges all records of a kind as the object API listed them at one
// version. A known record of a lower version that is not in the list was deleted. A
// list older than the known state changes nothing. It returns the number of changes.
func (reg *Registry) OfferListing(kind Kind, version uint64, items []Item) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	taken := 0
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Name] = true
		if reg.take(it) {
			taken++
		}
	}
	for _, deleted := range reg.missing(kind, version, listed) {
		if reg.take(deleted) {
			taken++
		}
	}
	first := reg.listedAt[kind] == 0
	reg.listedAt[kind] = max(reg.listedAt[kind], version, 1)
	if taken > 0 || first {
		reg.publish()
	}
	return taken
}

// missing returns tombstones for the known records that are not in a list.
func (reg *Registry) missing(kind Kind, version uint64, listed map[string]bool) []Item {
	var deleted []Item
	for key, e := range reg.entries {
		if key.kind == kind && !listed[key.name] && e.hasValueUpTo(version) {
			deleted = append(deleted, Item{Kind: kind, Name: key.name, Version: version, Deleted: true})
		}
	}
	return deleted
}

// hasValueUpTo reports whether the entry has a value of that version or an older one.
func (e *entry) hasValueUpTo(version uint64) bool {
	if !e.newest.Deleted && e.newest.Version <= version {
		return true
	}
	return e.accepted.Version > 0 && e.accepted.Version <= version
}

// take merges one item and reports whether it changed anything.
func (reg *Registry) take(it Item) bool {
	if it.Version == 0 {
		return false
	}
	it.slot = slotNewest
	key := entryKey{it.Kind, it.Name}
	e := reg.entries[key]
	if e == nil {
		if !it.Deleted && it.Version <= reg.listedAt[it.Kind] {
			// The record would have been in the list if it still existed, so it was
			// deleted before. The sender does not know that yet, so the deletion is
			// stored and passed on to peers.
			staleTotal.Inc()
			it = Item{Kind: it.Kind, Name: it.Name, Version: reg.listedAt[it.Kind], Deleted: true}
		}
		// A record that is unknown after a list did not exist at the list's version.
		e = &entry{deletedAt: reg.listedAt[it.Kind]}
		reg.entries[key] = e
	}
	return reg.merge(e, it)
}

func (reg *Registry) merge(e *entry, it Item) bool {
	before := e.inForce()
	changed := e.merge(it)
	if !changed {
		staleTotal.Inc()
		return false
	}
	changesTotal.Inc()
	invariant.Check(e.inForce() >= before, "record_never_reverts",
		"%s went from version %d to %d", it.Key(), before, e.inForce())
	if e.inForce() != before {
		e.since = reg.clock.Now()
	}
	reg.version = max(reg.version, it.Version)
	reg.changes.Push(it)
	reg.dropTombstone()
	return true
}

// inForce returns the version that determines what is in force: that of the accepted
// value, or of a later deletion.
func (e *entry) inForce() uint64 { return max(e.accepted.Version, e.deletedAt) }

// merge merges an item and reports whether anything changed.
func (e *entry) merge(it Item) bool {
	changed := false
	if newer(it, e.newest) {
		e.newest = it
		e.refused = ""
		changed = true
	}
	if it.Deleted {
		if it.Version > e.deletedAt {
			e.deletedAt = it.Version
			changed = true
		}
		if e.accepted.Version <= e.deletedAt {
			e.accepted, e.record = Item{}, nil
		}
		return changed
	}
	if it.Version <= e.deletedAt || !newer(it, e.accepted) {
		return changed
	}
	r, reason := validate(it)
	if reason != "" {
		if it.Version == e.newest.Version && e.refused == "" {
			e.refused = reason
			refusedTotal.Inc()
		}
		return changed
	}
	e.accepted, e.record = it, r
	return true
}

// dropTombstone removes the oldest tombstone if there are more than maxTombstones.
func (reg *Registry) dropTombstone() {
	if len(reg.entries) <= maxTombstones {
		return
	}
	var oldest entryKey
	count, lowest := 0, uint64(0)
	for key, e := range reg.entries {
		if !e.newest.Deleted {
			continue
		}
		count++
		if lowest == 0 || e.newest.Version < lowest {
			oldest, lowest = key, e.newest.Version
		}
	}
	if count > maxTombstones {
		delete(reg.entries, oldest)
	}
}

// SetComplete declares that all records have been received from a peer that has all
// of them, so that they are put in force before the object API has confirmed them.
func (reg *Registry) SetComplete() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.isComplete() {
		return
	}
	reg.complete = true
	reg.publish()
}

// Complete reports whether all records are known. Until then nothing is in force: with
// some records missing, requests would be refused for an unknown key or model.
func (reg *Registry) Complete() bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.isComplete()
}

func (reg *Registry) isComplete() bool { return reg.complete || len(reg.listedAt) >= len(Kinds) }

// publish builds a snapshot and calls the subscribers with it.
func (reg *Registry) publish() {
	if !reg.isComplete() {
		return
	}
	records := make([]*recordspb.Record, 0, len(reg.entries))
	for _, key := range reg.sortedKeys() {
		if r := reg.entries[key].record; r != nil {
			records = append(records, r)
		}
	}
	reg.snapshot = NewSnapshot(reg.version, records)
	for _, fn := range reg.subscribers {
		fn(reg.snapshot)
	}
}

// Subscribe calls fn with the snapshot in force, if there is one, and with each
// later one, in order. fn must not block or call the Registry.
func (reg *Registry) Subscribe(fn func(*Snapshot)) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.subscribers = append(reg.subscribers, fn)
	if reg.snapshot != nil {
		fn(reg.snapshot)
	}
}

// Snapshot returns the records in force, or nil until they are complete.
func (reg *Registry) Snapshot() *Snapshot {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.snapshot
}

// Version returns the highest store version of a record or deletion received. The
// version of a list does not count: it increases with every change in the object API,
// also of other objects, and instances list at different times.
func (reg *Registry) Version() uint64 {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.version
}

// Changes returns the ring buffer of newly merged items, for the one goroutine that
// sends them to peers. When it is full, the oldest items are dropped.
func (reg *Registry) Changes() *ring.Ring[Item] { return reg.changes }

// Items returns all items that a peer needs to reach the same state, sorted by key:
// the newest item of each record and, if that was refused, also the one in force and
// the deletion between them.
func (reg *Registry) Items() []Item {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	items := make([]Item, 0, len(reg.entries))
	for _, key := range reg.sortedKeys() {
		items = append(items, reg.entries[key].items()...)
	}
	return items
}

func (e *entry) items() []Item {
	items := []Item{e.newest}
	if e.accepted.Version == e.newest.Version || e.newest.Deleted {
		return items
	}
	if e.accepted.Version > 0 {
		kept := e.accepted
		kept.slot = slotAccepted
		items = append(items, kept)
	}
	if e.deletedAt > 0 {
		items = append(items, Item{Kind: e.newest.Kind, Name: e.newest.Name, Version: e.deletedAt, Deleted: true, slot: slotDeleted})
	}
	return items
}

func (reg *Registry) sortedKeys() []entryKey {
	keys := make([]entryKey, 0, len(reg.entries))
	for key := range reg.entries {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].kind != keys[j].kind {
			return keys[i].kind < keys[j].kind
		}
		return keys[i].name < keys[j].name
	})
	return keys
}
