package record

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// PreservedKind is the kind of the objects that hold accepted versions of
// records whose newest version is refused. Instances keep nothing over a
// restart, and the object API shows only the newest version: when all instances
// restart after a bad edit, nobody else would know what was in force before.
const PreservedKind = "accepted-records"

const (
	// preserveEvery is how often the holder looks for versions to keep.
	preserveEvery = time.Second
	// preserveTimeout bounds the calls of one look.
	preserveTimeout = 5 * time.Second
)

var (
	preservedTotal = metrics.GetOrCreateCounter("sardinedock_record_preserved_total")
	preserveFails  = metrics.GetOrCreateCounter("sardinedock_record_preserve_failures_total")
)

// preserved is the value of such an object.
type preserved struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func preservedName(kind Kind, name string) string { return string(kind) + "." + name }

// Lease says whether this instance keeps the accepted versions.
type Lease interface {
	Held() (fence uint64, ok bool)
}

// Preserver keeps, while it holds the lease, the accepted version of each
// record whose newest version is refused, and removes what is outdated.
type Preserver struct {
	store  objectapi.Store
	keeper *Keeper
	lease  Lease
	cancel context.CancelFunc
	done   sync.WaitGroup

	// kept is what is stored; it is read when the lease was taken.
	kept   map[entryKey]keptVersion
	listed bool
}

// keptVersion is a stored object's version and that of the record in it.
type keptVersion struct {
	object objectapi.Version
	record uint64
}

// NewPreserver returns a duty that does nothing before Start.
func NewPreserver(store objectapi.Store, keeper *Keeper, lease Lease) *Preserver {
	return &Preserver{store: store, keeper: keeper, lease: lease}
}

// Start begins to look for versions to keep.
func (p *Preserver) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() {
		for ctx.Err() == nil {
			if _, held := p.lease.Held(); held {
				p.look(ctx)
			} else {
				p.listed = false
			}
			_ = clock.Sleep(ctx, preserveEvery)
		}
	})
}

// Stop ends the duty and waits for its goroutine.
func (p *Preserver) Stop() {
	p.cancel()
	p.done.Wait()
}

// look stores and removes what is due. After any failure it reads again what
// is stored: the reply may have been lost, or a former holder is at work.
func (p *Preserver) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, preserveTimeout)
	defer cancel()
	err := p.list(ctx)
	for _, it := range p.keeper.acceptedItems() {
		if err == nil && p.kept[entryKey{it.Kind, it.Name}].record < it.Version {
			err = p.keep(ctx, it)
		}
	}
	for key, k := range p.kept {
		if err == nil && p.keeper.isOutdated(key, k.record) {
			err = p.remove(ctx, key, k)
		}
	}
	if err != nil {
		preserveFails.Inc()
		p.listed = false
	}
}

// list reads what is stored, once for each time that the lease was taken.
func (p *Preserver) list(ctx context.Context) error {
	if p.listed {
		return nil
	}
	listing, err := p.store.List(ctx, PreservedKind)
	if err != nil {
		return err
	}
	p.kept = make(map[entryKey]keptVersion, len(listing.Objects))
	for _, obj := range listing.Objects {
		kind, name, _ := strings.Cut(obj.Name, ".")
		var there preserved
		// An object that cannot be read is written anew or removed.
		_ = json.Unmarshal(obj.Value, &there)
		p.kept[entryKey{Kind(kind), name}] = keptVersion{obj.Version, there.Version}
	}
	p.listed = true
	return nil
}

func (p *Preserver) keep(ctx context.Context, it Item) error {
	value, err := json.Marshal(preserved{Version: it.Version, Value: it.Value})
	if err != nil {
		return err
	}
	key := entryKey{it.Kind, it.Name}
	obj := objectapi.Object{Kind: PreservedKind, Name: preservedName(it.Kind, it.Name), Value: value}
	version, err := p.store.Put(ctx, obj, p.kept[key].object)
	if err != nil {
		return err
	}
	preservedTotal.Inc()
	p.kept[key] = keptVersion{version, it.Version}
	return nil
}

// remove takes away a version that must not come back: a newer one is in
// force, or the record was deleted and perhaps made anew.
func (p *Preserver) remove(ctx context.Context, key entryKey, k keptVersion) error {
	if err := p.store.Delete(ctx, PreservedKind, preservedName(key.kind, key.name), k.object); err != nil {
		return err
	}
	delete(p.kept, key)
	return nil
}

// recall reads the accepted version of a record of which only a refused one is
// known. It is offered after the list that showed the record, so one that was
// deleted in between does not come back.
func recall(ctx context.Context, store objectapi.Store, keeper *Keeper, kind Kind, name string) error {
	obj, err := store.Get(ctx, PreservedKind, preservedName(kind, name))
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var there preserved
	if err := json.Unmarshal(obj.Value, &there); err != nil {
		return fault.Wrap(err, fault.Invalid, "remove the object", "object %s/%s", PreservedKind, obj.Name)
	}
	keeper.Offer(Item{Kind: kind, Name: name, Version: there.Version, Value: there.Value})
	return nil
}

// acceptedItems lists what is in force of records whose newest version is
// refused.
func (k *Keeper) acceptedItems() []Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	var items []Item
	for _, e := range k.entries {
		if e.refused != "" && e.accepted.Version > 0 {
			items = append(items, e.accepted)
		}
	}
	return items
}

// isOutdated reports whether something newer than that version decides what is
// in force of a record.
func (k *Keeper) isOutdated(key entryKey, version uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[key]
	if e == nil {
		// Unknown after a list means deleted; before one it means nothing.
		return k.listedAt[key.kind] > version
	}
	return e.inForce() > version
}

// lacking names the records of a kind of which only a refused version is known.
func (k *Keeper) lacking(kind Kind) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for _, key := range k.sortedKeys() {
		if e := k.entries[key]; key.kind == kind && e.refused != "" && e.accepted.Version == 0 {
			names = append(names, key.name)
		}
	}
	return names
}
