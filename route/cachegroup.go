package route

import (
	"encoding/hex"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// everyone is the group of all organisations if none is isolated.
	everyone = "all"
	// alone begins the group of an isolated organisation.
	alone = "o/"
)

// CacheGroup names the group whose requests may use cached prompt parts of each other, for a request of o or, with nil, one
// without a key. An isolated organisation is a group of its own. o may be of an earlier table: the group is the one that is safe
// under both.
//
// The group of all others is named after the organisations that it excludes. So one that becomes isolated leaves no parts
// within their reach, and all instances agree on the name from the records alone, whichever versions they have seen.
func (t *Table) CacheGroup(o *Organisation) string {
	if o != nil && (o.Isolated || t.isolated[o.Name]) {
		return alone + o.Name
	}
	return t.sharedGroup
}

// sharedGroup names the group of the organisations that are not isolated.
func sharedGroup(isolated map[string]bool) string {
	if len(isolated) == 0 {
		return everyone
	}
	var hash xxh3.Hasher
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		_, _ = hash.WriteString(name)
		_, _ = hash.Write([]byte{0})
	}
	return everyone + "-" + hex.EncodeToString(hash.Sum(nil))
}
