package prefix

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// Organisation and model names that are equal when concatenated must not share a hash chain: one
// organisation would be served from the other's cached prompt.
func TestSaltSeparatesOrganisationsModelsAndVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[ab]{0,3}`)
		a := [3]string{word.Draw(t, "a0"), word.Draw(t, "a1"), word.Draw(t, "a2")}
		b := [3]string{word.Draw(t, "b0"), word.Draw(t, "b1"), word.Draw(t, "b2")}
		same := Salt(a[0], a[1], a[2]) == Salt(b[0], b[1], b[2])
		if same != (a == b) {
			t.Fatalf("salts of %q and %q: same is %v", a, b, same)
		}
	})
}

func TestBlocksAreEqualUpToFirstDifference(t *testing.T) {
	const blockTokens = 2
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "shared")
		salt := Salt("o", "m", "v")
		a := Blocks(nil, salt, append(append([]byte{}, shared...), "aaaaaaaaaaaaaaaa"...), blockTokens)
		b := Blocks(nil, salt, append(append([]byte{}, shared...), "bbbbbbbbbbbbbbbb"...), blockTokens)
		want := len(shared) / (blockTokens * BytesPerToken)
		for i := range min(len(a), len(b)) {
			if (a[i] == b[i]) != (i < want) {
				t.Fatalf("block %d: equal is %v, shared blocks %d", i, a[i] == b[i], want)
			}
		}
	})
}
