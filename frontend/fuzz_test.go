package frontend

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Callers may send any body. The body sent to an engine must be valid JSON, contain unchanged
// the fields that the router does not know, and contain only the salt of the router.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3,"stream":true}`), "text", true)
	f.Add([]byte(`{"messages":[{"role":"user","content":"x"}],"cache_salt":"a","cache_salt":"b"}`), "\xff\"", false)
	f.Add([]byte(`{"messages":[],"max_completion_tokens":1e3}`), "", true)
	f.Add([]byte(`{"prompt":"a\\"}`), `"}`, false)
	f.Fuzz(func(t *testing.T, body []byte, text string, chat bool) {
		in, err := parseFields(body)
		if err != nil {
			return
		}
		_ = in.text(chat)
		in.setString(fieldSalt, "0123")
		out := in.encode()
		checkBody(t, out)
		if more, ok := in.continuation(chat, []byte(text), 1); ok {
			checkBody(t, more.encode())
		}
		if !bytes.Equal(in.encode(), out) {
			t.Fatal("continuing changed the request that it came from")
		}
	})
}

func checkBody(t *testing.T, body []byte) {
	t.Helper()
	again, err := parseFields(body)
	if err != nil {
		t.Fatalf("%q: %v", body, err)
	}
	var salt string
	if json.Unmarshal(again[fieldSalt], &salt) != nil || salt != "0123" {
		t.Fatalf("%q has the salt %q", body, salt)
	}
}

// A faulty engine may send any data as a piece. Parsing it and assembling an answer from it
// must not panic.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"id":"r","choices":[{"index":0,"text":"x","finish_reason":"stop"}],"usage":{"prompt_tokens":1}}`), true)
	f.Add([]byte(`{"choices":[{"delta":{"tool_calls":[{"index":1,"function":{"arguments":"{"}}]},"logprobs":{"content":[{}]}}]}`), true)
	f.Add([]byte(`{"choices":[null]}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		c, err := parseChunk(data)
		if err != nil {
			return
		}
		var p progress
		p.add(c)
		whole := newAssembly(chat)
		for range 2 {
			if err := whole.add(data); err != nil {
				t.Fatal(err)
			}
		}
		if out := whole.encode(&p); !json.Valid(out) {
			t.Fatalf("%q", out)
		}
	})
}
