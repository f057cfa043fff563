package record

import (
	"bytes"
	"strings"

	"github.com/sardinedock/sardinedock/fault"
)

// Item is one stored version of a record, or a tombstone for its deletion, as received
// from the object API or a peer. The value is kept unchanged, so that instances can
// forward versions whose schema they do not know.
type Item struct {
	Kind Kind
	Name string
	// Version is the object API's version of this change.
	Version uint64
	// Value is the stored value, empty if Deleted is set. It must not be modified
	// after the item was offered to a Registry.
	Value []byte
	// Deleted reports that the record did not exist at Version.
	Deleted bool

	slot slot
}

// slot distinguishes the items that a Registry stores for one record: besides the
// newest there may be an older one that is still in force, and a deletion between the
// two.
type slot string

const (
	slotNewest   slot = ""
	slotAccepted slot = "@accepted"
	slotDeleted  slot = "@deleted"
)

// Key is unique among the items of a Registry and the same at all instances. Of two
// items with the same key, the one with the higher version is kept.
func (it Item) Key() string { return string(it.Kind) + "/" + it.Name + string(it.slot) }

// First byte of an encoded item.
const (
	markValue   byte = 'v'
	markDeleted byte = 'd'
)

// Encode returns the item's value encoded for other instances; see DecodeItem.
func (it Item) Encode() []byte {
	mark := markValue
	if it.Deleted {
		mark = markDeleted
	}
	return append([]byte{mark}, it.Value...)
}

// DecodeItem decodes an item from the results of Key and Encode. Errors are of kind
// fault.Invalid.
func DecodeItem(key string, version uint64, encoded []byte) (Item, error) {
	kind, name, ok := strings.Cut(key, "/")
	if !ok || len(encoded) == 0 || (encoded[0] != markValue && encoded[0] != markDeleted) {
		return Item{}, fault.New(fault.Invalid, "run the same release on all instances", "item %q is not a record", key)
	}
	it := Item{Kind: Kind(kind), Name: name, Version: version, Deleted: encoded[0] == markDeleted}
	for _, s := range []slot{slotAccepted, slotDeleted} {
		if base, found := strings.CutSuffix(name, string(s)); found {
			it.Name, it.slot = base, s
		}
	}
	if !it.Deleted {
		it.Value = bytes.Clone(encoded[1:])
	}
	return it, nil
}

// newer reports whether a replaces b. The higher version wins. The object API assigns
// each version once, so the other comparisons only ensure that instances converge
// even if they receive inconsistent items.
func newer(a, b Item) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	return bytes.Compare(a.Value, b.Value) > 0
}
