// Package exchange holds the state that instances share: named items of which
// the highest (epoch, version) wins everywhere, in whatever order they come.
// It decides what to send next and finds differences between two instances.
// It does no I/O and reads no clock; one goroutine may use a Store.
package exchange

import (
	"bytes"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Key names an item.
type Key struct {
	Kind fleetpb.ItemKind
	Name string
}

// Item is one piece of shared state.
type Item struct {
	Key     Key
	Epoch   uint64
	Version uint64
	// Value must not be changed once the item was given to a Store.
	Value []byte
	// TTL is the time left, counted by each instance from when it got the
	// item, so that no two clocks are compared; 0 is never.
	TTL time.Duration
}

// newer reports whether a replaces b. Two values of one (epoch, version) are
// a fault of their writer; the order of their bytes makes all instances end
// with the same one.
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

// hash spreads keys over the buckets.
func (k Key) hash() uint64 { return xxh3.HashStringSeed(k.Name, uint64(k.Kind)) }

// sum is what an item adds to the sums of its bucket and of the whole.
func (it *Item) sum() uint64 {
	h := it.Key.hash()
	h = mix(h ^ it.Epoch)
	return mix(h ^ it.Version*0x9e3779b97f4a7c15)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
