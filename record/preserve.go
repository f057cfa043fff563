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

// PreservedKind is the kind of the objects that store the accepted versions of
// records whose newest version is refused. Instances have no persistent state, and the
// object API returns only the newest version, so without these objects the accepted
// version would be lost if all instances restarted after a bad edit.
const PreservedKind = "accepted-records"

const (
	// preserveInterval is the time between two checks for versions to store or
	// remove.
	preserveInterval = time.Second
	// preserveTimeout bounds the calls of one check.
	preserveTimeout = 5 * time.Second
)

var (
	preservedTotal   = metrics.GetOrCreateCounter("sardinedock_record_preserved_total")
	preserveFailures = metrics.GetOrCreateCounter("sardinedock_record_preserve_failures_total")
)

// preserved is the JSON value of an object of PreservedKind.
type preserved struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func preservedName(kind Kind, name string) string { return string(kind) + "." + name }

// Lease is the lease that a Preserver needs to store or remove versions.
type Lease interface {
	// Held reports whether this instance holds the lease, and with which fencing number.
	Held() (fence uint64, ok bool)
}

// Preserver stores, while this instance holds the lease, the accepted version of each
// record whose newest version is refused, and removes outdated ones.
type Preserver struct {
	store    objectapi.Store
	registry *Registry
	lease    Lease
	cancel   context.CancelFunc
	done     sync.WaitGroup

	// stored is what the object API stores. It is listed when this instance
	// acquires the lease and after a failure; listed is false until then.
	stored map[entryKey]storedVersion
	listed bool
}

// storedVersion is the version of a stored object and of the record in it.
type storedVersion struct {
	object objectapi.Version
	record uint64
}

// NewPreserver returns a Preserver that is idle until Start.
func NewPreserver(store objectapi.Store, registry *Registry, lease Lease) *Preserver {
	return &Preserver{store: store, registry: registry, lease: lease}
}

// Start starts to check periodically for versions to store or remove.
func (p *Preserver) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() {
		for ctx.Err() == nil {
			if _, held := p.lease.Held(); held {
				p.check(ctx)
			} else {
				p.listed = false
			}
			_ = clock.Sleep(ctx, preserveInterval)
		}
	})
}

// Stop stops the checks and waits for the goroutine.
func (p *Preserver) Stop() {
	p.cancel()
	p.done.Wait()
}

// check stores and removes the versions that are due. After a failure the stored
// objects are listed again: the reply may have been lost, or a former lease holder may
// have changed them.
func (p *Preserver) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, preserveTimeout)
	defer cancel()
	err := p.list(ctx)
	for _, it := range p.registry.acceptedItems() {
		if err == nil && p.stored[entryKey{it.Kind, it.Name}].record < it.Version {
			err = p.storeVersion(ctx, it)
		}
	}
	for key, k := range p.stored {
		if err == nil && p.registry.isOutdated(key, k.record) {
			err = p.remove(ctx, key, k)
		}
	}
	if err != nil {
		preserveFailures.Inc()
		p.listed = false
	}
}

// list reads the stored versions, unless they are known already.
func (p *Preserver) list(ctx context.Context) error {
	if p.listed {
		return nil
	}
	listing, err := p.store.List(ctx, PreservedKind)
	if err != nil {
		return err
	}
	p.stored = make(map[entryKey]storedVersion, len(listing.Objects))
	for _, obj := range listing.Objects {
		kind, name, _ := strings.Cut(obj.Name, ".")
		var content preserved
		// An object that cannot be decoded is overwritten or removed.
		_ = json.Unmarshal(obj.Value, &content)
		p.stored[entryKey{Kind(kind), name}] = storedVersion{obj.Version, content.Version}
	}
	p.listed = true
	return nil
}

func (p *Preserver) storeVersion(ctx context.Context, it Item) error {
	value, err := json.Marshal(preserved{Version: it.Version, Value: it.Value})
	if err != nil {
		return err
	}
	key := entryKey{it.Kind, it.Name}
	obj := objectapi.Object{Kind: PreservedKind, Name: preservedName(it.Kind, it.Name), Value: value}
	version, err := p.store.Put(ctx, obj, p.stored[key].object)
	if err != nil {
		return err
	}
	preservedTotal.Inc()
	p.stored[key] = storedVersion{version, it.Version}
	return nil
}

// remove deletes a stored version that must not be restored, because a newer one is
// in force or the record was deleted and possibly recreated.
func (p *Preserver) remove(ctx context.Context, key entryKey, k storedVersion) error {
	if err := p.store.Delete(ctx, PreservedKind, preservedName(key.kind, key.name), k.object); err != nil {
		return err
	}
	delete(p.stored, key)
	return nil
}

// restoreAccepted reads the stored accepted version of a record of which only a
// refused version is known, and offers it to the Registry. The caller has already offered
// the list that contains the record, so a version deleted in between is not restored.
func restoreAccepted(ctx context.Context, store objectapi.Store, registry *Registry, kind Kind, name string) error {
	obj, err := store.Get(ctx, PreservedKind, preservedName(kind, name))
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var content preserved
	if err := json.Unmarshal(obj.Value, &content); err != nil {
		return fault.Wrap(err, fault.Invalid, "remove the object", "object %s/%s", PreservedKind, obj.Name)
	}
	registry.Offer(Item{Kind: kind, Name: name, Version: content.Version, Value: content.Value})
	return nil
}

// acceptedItems returns the accepted items of the records whose newest version is
// refused.
func (reg *Registry) acceptedItems() []Item {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var items []Item
	for _, e := range reg.entries {
		if e.refused != "" && e.accepted.Version > 0 {
			items = append(items, e.accepted)
		}
	}
	return items
}

// isOutdated reports whether a newer version or deletion of the record than the given
// version is in force.
func (reg *Registry) isOutdated(key entryKey, version uint64) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	e := reg.entries[key]
	if e == nil {
		// A record that is unknown after a list was deleted. Without a later list
		// nothing follows.
		return reg.listedAt[key.kind] > version
	}
	return e.inForce() > version
}

// withoutAccepted names the records of a kind of which only a refused version is
// known.
func (reg *Registry) withoutAccepted(kind Kind) []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var names []string
	for _, key := range reg.sortedKeys() {
		if e := reg.entries[key]; key.kind == kind && e.refused != "" && e.accepted.Version == 0 {
			names = append(names, key.name)
		}
	}
	return names
}
