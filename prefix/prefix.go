// Package prefix cuts prompts into blocks and names each block by a hash that
// chains from a salt, so that equal names mean equal prompts from the start,
// of one organisation, under one version of one model's weights.
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// BytesPerToken is the estimate by which prompts are measured before an
// engine's tokenizer has seen them.
const BytesPerToken = 4

// Hash names a block and everything before it.
type Hash [16]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads what String wrote.
func ParseHash(s string) (Hash, bool) {
	var h Hash
	if len(s) != 2*len(h) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(s))
	return h, err == nil
}

// Salt is the start of every chain. It joins organisation, model and version
// with their lengths, so that no two triples give the same bytes: cached work
// of another organisation or of older weights cannot be matched.
func Salt(organisation, model, version string) Hash {
	buf := make([]byte, 0, 96)
	for _, part := range [...]string{organisation, model, version} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return Hash(xxh3.Hash128(buf).Bytes())
}

// Blocks appends the hashes of all full blocks of the prompt to dst. A block
// holds blockTokens tokens.
func Blocks(dst []Hash, salt Hash, prompt []byte, blockTokens int) []Hash {
	size := blockTokens * BytesPerToken
	var h xxh3.Hasher
	parent := salt
	for len(prompt) >= size {
		h.Reset()
		_, _ = h.Write(parent[:])
		_, _ = h.Write(prompt[:size])
		parent = Hash(h.Sum128().Bytes())
		dst = append(dst, parent)
		prompt = prompt[size:]
	}
	return dst
}

// Tokens estimates the length of a prompt.
func Tokens(prompt []byte) int64 {
	return int64((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}
