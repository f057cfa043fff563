// Package exchange stores the state that instances replicate to each other by
// gossip: named items, of which the one with the highest (epoch, version) wins
// at every instance, in whatever order messages arrive. A Store selects the
// changes to send next and finds the differences between two instances. It does
// no I/O, reads no clock and is not safe for concurrent use.
package exchange

import (
	"bytes"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Key identifies an item.
type Key struct {
	Kind fleetpb.ItemKind
	Name string
}

// Item is one versioned key-value pair of the shared state.
type Item struct {
	Key     Key
	Epoch   uint64
	Version uint64
	// Value must not be modified after the item was passed to a Store.
	Value []byte
	// TTL is the remaining lifetime. Each instance counts it from when it
	// received the item, so that clocks of two instances are never compared.
	// 0 means that the item does not expire.
	TTL time.Duration
}

// newer reports whether a replaces b. Two different values with the same
// (epoch, version) are a bug of their writer; comparing the values makes all
// instances converge on the same one.
func newer(a, b *Item) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return bytes.Compare(a.Value, b.Value) > 0
}

func keyOf(k *fleetpb.ItemKey) Key { return Key{k.GetKind(), k.GetName()} }

func (k Key) message() *fleetpb.ItemKey { return &fleetpb.ItemKey{Kind: k.Kind, Name: k.Name} }

// hash distributes keys over the buckets.
func (k Key) hash() uint64 { return xxh3.HashStringSeed(k.Name, uint64(k.Kind)) }

// sum is the item's contribution to the checksums of its bucket and of the store.
func (it *Item) sum() uint64 {
	h := it.Key.hash()
	h = mix(h ^ it.Epoch)
	return mix(h ^ it.Version*0x9e3779b97f4a7c15)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
