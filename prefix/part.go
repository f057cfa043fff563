package prefix

import "github.com/zeebo/xxh3"

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

// PartKey names a cached part within the scope that it may be used in.
type PartKey uint64

// KeyOf returns the key of one part. The scope separates what must not be shared:
// organisations behind a wall, and versions of the weights.
func KeyOf(scope, model, id string) PartKey {
	var h xxh3.Hasher
	_, _ = h.WriteString(scope)
	_, _ = h.Write(separator)
	_, _ = h.WriteString(model)
	_, _ = h.Write(separator)
	_, _ = h.WriteString(id)
	return PartKey(h.Sum64())
}

var separator = []byte{0}

// PartKeys appends the key of each part.
func PartKeys(dst []PartKey, scope, model string, parts []Part) []PartKey {
	for _, p := range parts {
		dst = append(dst, KeyOf(scope, model, p.ID))
	}
	return dst
}
