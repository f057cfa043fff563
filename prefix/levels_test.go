package prefix

import (
	"bytes"
	"fmt"
	"testing"
)

// prompt concatenates texts, each padded to a number of blocks of two tokens. parts alternates
// between text and number of blocks.
func prompt(parts ...string) []byte {
	var b []byte
	for i := 0; i < len(parts); i += 2 {
		var blocks int
		_, _ = fmt.Sscan(parts[i+1], &blocks)
		for n := range blocks {
			b = append(b, fmt.Sprintf("%4.4s%04d", parts[i], n)...)
		}
	}
	return b
}

var (
	testSalt = Salt("accra", "m", "1")
	// calls counts the calls of catalogue, so that each prompt has a different end.
	calls int
)

func catalogue(family, customer string) []Hash {
	calls++
	return Blocks(nil, testSalt, prompt("company", "8", family, "60", customer, "10", fmt.Sprint("t", calls), "3"), 2)
}

// Prompts with the same catalogue are placed on one endpoint whoever the customer is, and two
// catalogues of one organisation are not tied to the same endpoint. If the key changed once the
// levels are known, a catalogue would be computed twice.
func TestKeyIsInCatalogue(t *testing.T) {
	l := NewLevels(1 << 10)
	l.Observe(testSalt, catalogue("nuts", "anna"))
	l.Observe(testSalt, catalogue("bolt", "anna"))
	first := l.Key(testSalt, catalogue("rods", "kofi"), 0)
	for i := range 50 {
		customer := fmt.Sprint("c", i%7)
		for _, family := range []string{"nuts", "bolt", "rods"} {
			chain := catalogue(family, customer)
			if got := l.Key(testSalt, chain, 0); got != chain[32] {
				t.Fatalf("round %d: key for %s of %s is not a block of the catalogue", i, family, customer)
			}
			l.Observe(testSalt, chain)
		}
	}
	if again := l.Key(testSalt, catalogue("rods", "esi"), 0); again != first {
		t.Fatal("the key of a catalogue changed once it was known")
	}
}

// A long text that is unique to the request follows a short shared sheet. If the length alone
// decided, each request would go to another endpoint. The end of a sheet is known once two prompts
// with it continued differently.
func TestKeyIgnoresUnsharedText(t *testing.T) {
	l := NewLevels(1 << 10)
	for i := range 20 {
		chain := Blocks(nil, testSalt, prompt("company", "4", fmt.Sprint("s", i%2), "6", fmt.Sprint("o", i), "90"), 2)
		if got := l.Key(testSalt, chain, 0); i > 3 && got != chain[4] && got != chain[8] {
			t.Fatalf("prompt %d: key is not a block of its sheet", i)
		}
		l.Observe(testSalt, chain)
	}
}

// The text that all prompts of a company share is longer than the default position. Unless this is
// detected, all its prompts would go to one endpoint.
func TestKeyIgnoresLongCompanyText(t *testing.T) {
	l := NewLevels(1 << 10)
	for i := range 20 {
		family := fmt.Sprint("f", i%4)
		chain := Blocks(nil, testSalt, prompt("company", "70", family, "30", fmt.Sprint("c", i), "5"), 2)
		if got := l.Key(testSalt, chain, 0); i > 1 && got != chain[70] {
			t.Fatalf("prompt %d: key is not a block of its catalogue", i)
		}
		l.Observe(testSalt, chain)
	}
}

// An instance that has just started has to place a prompt as the other instances do.
func TestNewInstanceComputesSameKey(t *testing.T) {
	old, fresh := NewLevels(1<<10), NewLevels(1<<10)
	for i := range 30 {
		old.Observe(testSalt, catalogue([]string{"nuts", "bolt", "rods"}[i%3], fmt.Sprint("c", i%7)))
	}
	chain := catalogue("bolt", "esi")
	if old.Key(testSalt, chain, 0) != fresh.Key(testSalt, chain, 0) {
		t.Fatal("the new instance computes another key")
	}
}

func TestHintSetsKey(t *testing.T) {
	l := NewLevels(1 << 4)
	chain := catalogue("nuts", "anna")
	if got := l.Key(testSalt, chain, 8); got != chain[8] {
		t.Fatal("the key is not the block at the hint")
	}
	if got := l.Key(testSalt, chain, 10000); got != chain[len(chain)-1] {
		t.Fatal("with a hint beyond the prompt, the key is not its last block")
	}
}

func BenchmarkBlocks(b *testing.B) {
	text := bytes.Repeat([]byte("catalogue "), 6400)
	dst := make([]Hash, 0, 1024)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		dst = Blocks(dst[:0], testSalt, text, 64)
	}
}

func BenchmarkLevels(b *testing.B) {
	l := NewLevels(DefaultLevelSets)
	chain := Blocks(nil, testSalt, bytes.Repeat([]byte("catalogue "), 6400), 64)
	b.ReportAllocs()
	for b.Loop() {
		l.Key(testSalt, chain, 0)
		l.Observe(testSalt, chain)
	}
	b.ReportMetric(float64(len(chain)), "blocks/op")
}
