package fault

import (
	"errors"
	"fmt"
	"testing"
)

func TestKindAndRemedySurviveWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", New(Conflict, "read again", "version %d", 7))
	if !Is(err, Conflict) {
		t.Errorf("kind is %s", KindOf(err))
	}
	if got := Remedy(err); got != "read again" {
		t.Errorf("remedy is %q", got)
	}
}

// Guards against using the cause's kind instead of the outermost one: code that turns an
// unavailable store into a definite refusal would be overridden by the cause.
func TestOutermostKindIsUsed(t *testing.T) {
	err := Wrap(New(Unavailable, "inner", "store away"), Overloaded, "outer", "refused")
	if !Is(err, Overloaded) {
		t.Errorf("kind is %s, want %s", KindOf(err), Overloaded)
	}
	if got := Remedy(err); got != "outer" {
		t.Errorf("remedy is %q, want the outer one", got)
	}
}

func TestPlainErrorsAreInternal(t *testing.T) {
	if got := KindOf(errors.New("plain")); got != Internal {
		t.Errorf("kind is %s", got)
	}
	if Wrap(nil, Broken, "", "") != nil {
		t.Error("wrapping nil must give nil")
	}
}
