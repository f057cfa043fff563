// Package prefix splits prompts into blocks and identifies each block by a hash chained from a
// salt. Equal hashes mean that the prompts are equal from the start to that block, and have the
// same organisation, model and version of the weights.
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// BytesPerToken is the ratio used to estimate the length of prompts that no tokenizer has
// processed yet.
const BytesPerToken = 4

// Hash identifies a block and everything before it.
type Hash [16]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses the result of Hash.String and reports whether s is valid.
func ParseHash(s string) (Hash, bool) {
	var h Hash
	if len(s) != 2*len(h) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(s))
	return h, err == nil
}

// Salt returns the start of a hash chain. It encodes organisation, model and version with their
// lengths, so that different triples never encode to the same bytes: otherwise cached blocks of
// another organisation or of older weights could match.
func Salt(organisation, model, version string) Hash {
	buf := make([]byte, 0, 96)
	for _, part := range [...]string{organisation, model, version} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return Hash(xxh3.Hash128(buf).Bytes())
}

// Blocks appends to dst the hashes of all full blocks of the prompt, each of blockTokens tokens.
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

// Tokens estimates the number of tokens of a prompt.
func Tokens(prompt []byte) int64 {
	return int64((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}
