package invariant

import "testing"

// A check that only counted would let a test run pass over a broken promise;
// under test it has to stop the run.
func TestViolationIsFatalUnderTest(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("a violation did not panic under test")
		}
	}()
	Check(false, "sample", "value %d", 7)
}

func TestHoldingInvariantPasses(t *testing.T) {
	if !Check(true, "sample", "not formatted") {
		t.Fatal("a holding invariant was reported as broken")
	}
}
