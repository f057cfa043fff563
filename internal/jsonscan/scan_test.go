package jsonscan

import (
	"encoding/json"
	"maps"
	"testing"
)

// Engines decode the body with their own JSON library. A field that the router parses
// differently, such as another organisation's cache salt after a malformed quote, would bypass
// its checks. So the scanner must agree with the standard library on every input.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"a\nb\"c\\","n":-1.5e+3,"x":[1,{"y":null}],"model":"k"}`,
		`{"a":"\u0041\ud83d\ude00\ud800","\u0062":true , "c" : [ ] }`,
		"{\"a\":\"\xff\x80\"}", "{\"a\":\"\x1f\"}", `{"a":01}`, `{"a":1.}`, `{"a":"\x"}`, `{,}`, `{"a":1,}`, `[1]`, ` {} x`,
		`{"0123456":"0123456789abcdef\"0123456789abcdef"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got := map[string]string{}
		err := Fields(data, func(name string, value []byte) { got[name] = string(value) })
		var want map[string]json.RawMessage
		wantErr := json.Unmarshal(data, &want)
		if wantErr == nil && want == nil {
			wantErr = json.Unmarshal([]byte("x"), &want)
		}
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%q: %v, encoding/json: %v", data, err, wantErr)
		}
		if err != nil {
			return
		}
		split := map[string]string{}
		if err := SplitFields(data, func(name string, value []byte) { split[name] = string(value) }); err != nil || !maps.Equal(split, got) {
			t.Fatalf("%q: split into %q, %v, want %q", data, split, err, got)
		}
		if len(got) != len(want) {
			t.Fatalf("%q: %d fields, want %d", data, len(got), len(want))
		}
		for name, value := range want {
			if got[name] != string(value) {
				t.Fatalf("%q: field %q is %q, want %q", data, name, got[name], value)
			}
			checkValue(t, value)
		}
	})
}

// checkValue compares Unquote and Elements with the standard library on one value.
func checkValue(t *testing.T, value []byte) {
	t.Helper()
	var text string
	isText := value[0] == '"' && json.Unmarshal(value, &text) == nil
	if got, ok := Unquote(value); ok != isText || ok && string(got) != text {
		t.Fatalf("%q: %q %v, want %q %v", value, got, ok, text, isText)
	}
	var list []json.RawMessage
	isList := value[0] == '[' && json.Unmarshal(value, &list) == nil
	var got []string
	err := Elements(value, func(v []byte) { got = append(got, string(v)) })
	if (err == nil) != isList || len(got) != len(list) && isList {
		t.Fatalf("%q: %q %v, want %q", value, got, err, list)
	}
	for i := range list {
		if got[i] != string(list[i]) {
			t.Fatalf("%q: element %q, want %q", value, got[i], list[i])
		}
	}
}
