package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Part is one named part of a prompt, as callers describe prompts whose text
// the router does not see. Parts stand in order; an endpoint that has cached a
// part uses it only if it has cached all parts before it as well.
type Part struct {
	ID     string
	Tokens int64
}

// PartTokens returns the tokens of all parts.
func PartTokens(parts []Part) int64 {
	var sum int64
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// PartKey names a cached part: equal keys mean that the part and all parts
// before it agree, for the same wall, model and version of the weights.
type PartKey uint64

// PartKeys appends the key of each part. The wall separates organisations that
// must not share what is cached.
func PartKeys(dst []PartKey, wall, model string, version int64, parts []Part) []PartKey {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(version))
	var h xxh3.Hasher
	_, _ = h.WriteString(wall)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(model)
	_, _ = h.Write(number[:])
	for _, p := range parts {
		_, _ = h.WriteString(p.ID)
		_, _ = h.Write([]byte{0})
		dst = append(dst, PartKey(h.Sum64()))
	}
	return dst
}
