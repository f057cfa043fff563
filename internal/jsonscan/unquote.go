package jsonscan

import (
	"encoding/json"
	"unicode/utf8"
)

// Unquote decodes a JSON string; value must be valid JSON. The result aliases value if the
// string has no escapes. ok is false if value is not a string.
func Unquote(value []byte) (text []byte, ok bool) {
	if len(value) < 2 || value[0] != '"' {
		return nil, false
	}
	body := value[1 : len(value)-1]
	if !utf8.Valid(body) {
		return unquoteStd(value)
	}
	n := plainLen(body)
	if n == len(body) {
		return body, true
	}
	out := make([]byte, 0, len(body))
	for {
		out = append(out, body[:n]...)
		body = body[n:]
		if len(body) == 0 {
			return out, true
		}
		c, simple := unescape(body)
		if !simple {
			return unquoteStd(value)
		}
		out = append(out, c)
		body = body[2:]
		n = plainLen(body)
	}
}

// unescape decodes a two-byte escape at the start of b.
func unescape(b []byte) (c byte, simple bool) {
	if len(b) < 2 || b[0] != '\\' {
		return 0, false
	}
	switch b[1] {
	case '"', '\\', '/':
		return b[1], true
	case 'b':
		return '\b', true
	case 'f':
		return '\f', true
	case 'n':
		return '\n', true
	case 'r':
		return '\r', true
	case 't':
		return '\t', true
	}
	return 0, false
}

// unquoteStd decodes \u escapes, invalid UTF-8 and erroneous strings with encoding/json.
func unquoteStd(value []byte) ([]byte, bool) {
	var text string
	if json.Unmarshal(value, &text) != nil {
		return nil, false
	}
	return []byte(text), true
}
