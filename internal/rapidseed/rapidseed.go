// Package rapidseed fixes the seed of property tests, so that two runs of the same code have the same verdict. Each
// test package that imports rapid imports it too. The flag -rapid.seed=0 draws a fresh seed, and another value
// replays the run that printed it.
package rapidseed

import (
	"flag"
	"strconv"
	"testing"

	// rapid registers the flag.
	_ "pgregory.net/rapid"
)

// seed is the default of -rapid.seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// Use has the property tests of a test run with the given seed.
func Use(t testing.TB, seed uint64) {
	f := flag.Lookup("rapid.seed")
	before := f.Value.String()
	if err := f.Value.Set(strconv.FormatUint(seed, 10)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(before) })
}
