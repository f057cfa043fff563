package emulator_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/emulator"
)

// An engine dies in the middle of an answer and another one goes on from the
// prompt and what was delivered. The caller must not see where it changed.
func TestContinuedAnswerIsTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringN(0, 200, 400).Draw(t, "prompt")
		total := rapid.IntRange(2, 40).Draw(t, "total")
		whole := emulator.Answer(prompt, total)
		delivered, text := 0, prompt
		for delivered < total {
			step := rapid.IntRange(1, total-delivered).Draw(t, "step")
			part := emulator.Answer(text, total-delivered)[:step]
			text += strings.Join(part, "")
			delivered += step
		}
		if text != prompt+strings.Join(whole, "") {
			t.Fatalf("got %q, want %q", text, prompt+strings.Join(whole, ""))
		}
	})
}

func TestPromptsThatOnlyLookContinued(t *testing.T) {
	foreign := strings.Join(emulator.Answer("another prompt", 3), "")
	for _, prompt := range []string{"0123456789.0 ", "text " + foreign, "x.0 ", "0123456789.1 0123456789.1 "} {
		if got := emulator.Answer(prompt, 1)[0]; !strings.HasSuffix(got, ".0 ") {
			t.Errorf("prompt %q is answered from %q", prompt, got)
		}
	}
}
