package invariant

import "testing"

// Guards against a Check that only counts a violation in a test binary, so that the test
// passes despite it.
func TestViolationPanicsInTests(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("a violation did not panic in a test")
		}
	}()
	Check(false, "sample", "value %d", 7)
}

func TestCheckReturnsTrueIfInvariantHolds(t *testing.T) {
	if !Check(true, "sample", "not formatted") {
		t.Fatal("Check reported a violation of an invariant that holds")
	}
}
