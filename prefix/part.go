package prefix

import "github.com/zeebo/xxh3"

// Part is one identified part of a prompt, for callers that describe prompts whose text the router
// does not receive. Parts are ordered: an endpoint can use a cached part only if it has all
// earlier parts cached as well.
type Part struct {
	ID     string
	Tokens int64
}

// PartTokens returns the number of tokens of all parts.
func PartTokens(parts []Part) int64 {
	var sum int64
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// PartKey identifies a cached part within the scope in which it may be shared.
type PartKey uint64

// KeyOf returns the key of one part. The scope separates parts that must not be shared: those of
// isolated organisations, and those of different versions of the weights.
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

// PartKeys appends the key of each part to dst.
func PartKeys(dst []PartKey, scope, model string, parts []Part) []PartKey {
	for _, p := range parts {
		dst = append(dst, KeyOf(scope, model, p.ID))
	}
	return dst
}
