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
	// maxTombstones bounds the marks of deleted records. At a few thousand
	// changes a day this remembers a day of nothing but deletions, far longer
	// than a peer can be cut off and still be a member.
	maxTombstones = 4096
	// changesRing bounds the changes that wait for the exchange. What is given
	// up here reaches peers by their full compare.
	changesRing = 1024
)

var (
	takenTotal   = metrics.GetOrCreateCounter("sardinedock_record_changes_total")
	refusedTotal = metrics.GetOrCreateCounter("sardinedock_record_refused_total")
	staleTotal   = metrics.GetOrCreateCounter("sardinedock_record_stale_total")
)

// Keeper merges what watches, lists and peers tell about records. The highest
// version of a record wins, whoever tells it and in whatever order, so that
// a stale read, a peer that was cut off or a restart cannot bring an older one
// back. All methods may be called by any goroutine; none blocks on I/O.
type Keeper struct {
	clock   clock.Clock
	changes *ring.Ring[Item]

	mu          sync.Mutex
	entries     map[entryKey]*entry
	listedAt    map[Kind]uint64
	complete    bool
	version     uint64
	snapshot    *Snapshot
	warned      *Snapshot
	warnings    map[entryKey][]string
	subscribers []func(*Snapshot)
}

type entryKey struct {
	kind Kind
	name string
}

// entry is what is known of one record. Each part only rises, so the order in
// which items come does not matter.
type entry struct {
	// newest is the item of the highest version, in force or not.
	newest Item
	// accepted is the newest item that this program could put in force.
	accepted Item
	// deletedAt is the highest version at which the record did not exist.
	deletedAt uint64

	record  *recordspb.Record
	since   time.Time
	refused string
}

// NewKeeper returns a keeper without records.
func NewKeeper(c clock.Clock) *Keeper {
	return &Keeper{
		clock:    c,
		changes:  ring.New[Item]("record_changes", changesRing),
		entries:  map[entryKey]*entry{},
		listedAt: map[Kind]uint64{},
	}
}

// Offer merges items. It returns how many of them told something new.
func (k *Keeper) Offer(items ...Item) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := 0
	for _, it := range items {
		if k.take(it) {
			taken++
		}
	}
	if taken > 0 {
		k.publish()
	}
	return taken
}

// OfferListing merges all records of a kind as the object API lists them at
// one version. A record that is known at a lower version and is not in the
// list was deleted. A list that is older than what is known changes nothing.
func (k *Keeper) OfferListing(kind Kind, version uint64, items []Item) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := 0
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Name] = true
		if k.take(it) {
			taken++
		}
	}
	for _, gone := range k.missing(kind, version, listed) {
		if k.take(gone) {
			taken++
		}
	}
	first := k.listedAt[kind] == 0
	k.listedAt[kind] = max(k.listedAt[kind], version, 1)
	if taken > 0 || first {
		k.publish()
	}
	return taken
}

// missing returns deletions for the records that a list leaves out.
func (k *Keeper) missing(kind Kind, version uint64, listed map[string]bool) []Item {
	var gone []Item
	for key, e := range k.entries {
		if key.kind == kind && !listed[key.name] && e.livesBefore(version) {
			gone = append(gone, Item{Kind: kind, Name: key.name, Version: version, Deleted: true})
		}
	}
	return gone
}

// livesBefore reports whether a value of that version or an older one is held.
func (e *entry) livesBefore(version uint64) bool {
	if !e.newest.Deleted && e.newest.Version <= version {
		return true
	}
	return e.accepted.Version > 0 && e.accepted.Version <= version
}

// take merges one item and reports whether it told something new.
func (k *Keeper) take(it Item) bool {
	if it.Version == 0 {
		return false
	}
	it.slot = slotNewest
	key := entryKey{it.Kind, it.Name}
	e := k.entries[key]
	if e == nil {
		if !it.Deleted && it.Version <= k.listedAt[it.Kind] {
			// The list would have named the record, so it was deleted before.
			// Who tells of it does not know yet and has to hear it.
			staleTotal.Inc()
			it = Item{Kind: it.Kind, Name: it.Name, Version: k.listedAt[it.Kind], Deleted: true}
		}
		// Unknown after a list means that it did not exist at that version.
		e = &entry{deletedAt: k.listedAt[it.Kind]}
		k.entries[key] = e
	}
	return k.merge(e, it)
}

func (k *Keeper) merge(e *entry, it Item) bool {
	before := e.inForce()
	changed := e.merge(it)
	if !changed {
		staleTotal.Inc()
		return false
	}
	takenTotal.Inc()
	invariant.Check(e.inForce() >= before, "record_never_reverts",
		"%s went from version %d to %d", it.Key(), before, e.inForce())
	if e.inForce() != before {
		e.since = k.clock.Now()
	}
	k.version = max(k.version, it.Version)
	k.changes.Push(it)
	k.forgetTombstones()
	return true
}

// inForce is the version that decides what is in force: of the accepted value,
// or of the deletion after it.
func (e *entry) inForce() uint64 { return max(e.accepted.Version, e.deletedAt) }

// merge takes an item into account and reports whether anything changed.
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
	r, reason := judge(it)
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

// forgetTombstones drops the oldest mark when there are too many.
func (k *Keeper) forgetTombstones() {
	if len(k.entries) <= maxTombstones {
		return
	}
	var oldest entryKey
	count, lowest := 0, uint64(0)
	for key, e := range k.entries {
		if !e.newest.Deleted {
			continue
		}
		count++
		if lowest == 0 || e.newest.Version < lowest {
			oldest, lowest = key, e.newest.Version
		}
	}
	if count > maxTombstones {
		delete(k.entries, oldest)
	}
}

// SetComplete says that a peer that has all records has handed them over, so
// that they may be put in force before the object API has confirmed them.
func (k *Keeper) SetComplete() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isComplete() {
		return
	}
	k.complete = true
	k.publish()
}

// Complete reports whether all records are known. Before that nothing is in
// force: with some of the records missing, callers would be told that their
// key or model is not known.
func (k *Keeper) Complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isComplete()
}

func (k *Keeper) isComplete() bool { return k.complete || len(k.listedAt) >= len(Kinds) }

// publish builds a snapshot and hands it to the subscribers.
func (k *Keeper) publish() {
	if !k.isComplete() {
		return
	}
	records := make([]*recordspb.Record, 0, len(k.entries))
	for _, key := range k.sortedKeys() {
		if r := k.entries[key].record; r != nil {
			records = append(records, r)
		}
	}
	k.snapshot = NewSnapshot(k.version, records)
	for _, fn := range k.subscribers {
		fn(k.snapshot)
	}
}

// Subscribe calls fn with the snapshot in force, if there is one, and with each
// later one, in order. fn must not block nor call the keeper.
func (k *Keeper) Subscribe(fn func(*Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, fn)
	if k.snapshot != nil {
		fn(k.snapshot)
	}
}

// Snapshot returns the records in force, or nil before they are complete.
func (k *Keeper) Snapshot() *Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.snapshot
}

// Version is the highest store version of a record or deletion that was heard
// of. The version of a list does not count: it rises with all that the object
// API holds, and instances list at different times.
func (k *Keeper) Version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}

// Changes is the ring of items that were new here, for the one duty that
// tells them to peers. When it is full, the oldest are given up.
func (k *Keeper) Changes() *ring.Ring[Item] { return k.changes }

// Items returns all that a peer needs to reach the same state, in order of
// key: of each record the newest item, and where that one was refused also the
// one in force and the deletion between them.
func (k *Keeper) Items() []Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	items := make([]Item, 0, len(k.entries))
	for _, key := range k.sortedKeys() {
		items = append(items, k.entries[key].items()...)
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

func (k *Keeper) sortedKeys() []entryKey {
	keys := make([]entryKey, 0, len(k.entries))
	for key := range k.entries {
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
