package jsonscan

import (
	"encoding/json"
	"unicode/utf8"
)

// Unquote decodes a JSON string; value must be valid JSON. A text without
// escapes aliases value. ok is false where value is no string.
func Unquote(value []byte) (text []byte, ok bool) {
	if len(value) < 2 || value[0] != '"' {
		return nil, false
	}
	body := value[1 : len(value)-1]
	if !utf8.Valid(body) {
		return slow(value)
	}
	n := plain(body)
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
			return slow(value)
		}
		out = append(out, c)
		body = body[2:]
		n = plain(body)
	}
}

// unescape decodes an escape of two bytes.
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

// slow leaves code points, broken UTF-8 and errors to the standard library.
func slow(value []byte) ([]byte, bool) {
	var text string
	if json.Unmarshal(value, &text) != nil {
		return nil, false
	}
	return []byte(text), true
}
