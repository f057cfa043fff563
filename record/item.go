package record

import (
	"bytes"
	"strings"

	"github.com/sardinedock/sardinedock/fault"
)

// Item is one stored version of a record, or the mark that it was deleted, as
// the object API or a peer tells it. Its value is kept as it came, so that
// instances hand on also what they do not understand themselves.
type Item struct {
	Kind Kind
	Name string
	// Version is the object API's version of this change.
	Version uint64
	// Value is the stored value; empty where Deleted is set. It must not be
	// changed once the item was offered.
	Value []byte
	// Deleted marks that the record did not exist at Version.
	Deleted bool

	slot slot
}

// slot tells the items apart that a keeper holds of one record: beside the
// newest there may be an older one that is still in force, and a deletion
// between the two.
type slot string

const (
	slotNewest   slot = ""
	slotAccepted slot = "@accepted"
	slotDeleted  slot = "@deleted"
)

// Key is unique among the items of a Keeper and the same at all instances. Of
// two items of one key the one of the higher version is kept.
func (it Item) Key() string { return string(it.Kind) + "/" + it.Name + string(it.slot) }

// Marks that head an encoded item.
const (
	markValue   byte = 'v'
	markDeleted byte = 'd'
)

// Encode returns the value for an exchange between instances; see DecodeItem.
func (it Item) Encode() []byte {
	mark := markValue
	if it.Deleted {
		mark = markDeleted
	}
	return append([]byte{mark}, it.Value...)
}

// DecodeItem reads what Key and Encode have written. An error is of the kind
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

// newer reports whether a replaces b. Versions decide; the object API gives
// each version once, so the rest only makes sure that instances that are told
// nonsense still end equal.
func newer(a, b Item) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	return bytes.Compare(a.Value, b.Value) > 0
}
