package emulator_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/emulator"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// An engine fails in the middle of an answer and another one continues from the prompt and the text
// delivered so far. The caller must get the same text as without the failure.
func TestContinuationCompletesTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringN(0, 200, 400).Draw(t, "prompt")
		total := rapid.IntRange(2, 40).Draw(t, "total")
		complete := emulator.Answer(prompt, total)
		delivered, text := 0, prompt
		for delivered < total {
			step := rapid.IntRange(1, total-delivered).Draw(t, "step")
			part := emulator.Answer(text, total-delivered)[:step]
			text += strings.Join(part, "")
			delivered += step
		}
		if text != prompt+strings.Join(complete, "") {
			t.Fatalf("got %q, want %q", text, prompt+strings.Join(complete, ""))
		}
	})
}

// A prompt that ends in tokens of an unrelated answer is not a continuation and must be answered
// from token 0.
func TestPromptsThatOnlyResembleContinuations(t *testing.T) {
	foreign := strings.Join(emulator.Answer("another prompt", 3), "")
	for _, prompt := range []string{"0123456789.0 ", "text " + foreign, "x.0 ", "0123456789.1 0123456789.1 "} {
		if got := emulator.Answer(prompt, 1)[0]; !strings.HasSuffix(got, ".0 ") {
			t.Errorf("prompt %q: first token %q, want token 0", prompt, got)
		}
	}
}
