// Package jsonscan reads the outline of long JSON texts: the fields of an
// object and the elements of an array, as the bytes that they are written in.
// It accepts what encoding/json accepts, at several times its speed, and leaves
// the values undecoded.
package jsonscan

import (
	"encoding/binary"
	"math/bits"

	"github.com/sardinedock/sardinedock/fault"
)

// maxDepth bounds how deep values may be nested; it is encoding/json's bound.
const maxDepth = 10000

// Fields calls field for each field of the object in data, in order, with the
// decoded name and the value's bytes, which alias data. A name may come twice.
// An error is of kind fault.BadRequest.
func Fields(data []byte, field func(name string, value []byte)) error {
	s := scanner{data: data}
	s.space()
	if !s.object(field) {
		return s.fault()
	}
	return s.end()
}

// Elements calls element for each element of the array in data.
func Elements(data []byte, element func(value []byte)) error {
	s := scanner{data: data}
	s.space()
	if !s.array(element) {
		return s.fault()
	}
	return s.end()
}

// scanner is a position in a text. Its methods advance it and report whether
// what they expect stood there.
type scanner struct {
	data  []byte
	at    int
	depth int
}

func (s *scanner) fault() error {
	return fault.New(fault.BadRequest, "send JSON as the API defines it", "not the JSON expected, near byte %d", s.at)
}

// end checks that nothing but space is left.
func (s *scanner) end() error {
	s.space()
	if s.at < len(s.data) {
		return s.fault()
	}
	return nil
}

func (s *scanner) space() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// take advances over one byte if it stands there.
func (s *scanner) take(c byte) bool {
	if s.at < len(s.data) && s.data[s.at] == c {
		s.at++
		return true
	}
	return false
}

func (s *scanner) object(field func(string, []byte)) bool {
	if !s.enter('{') {
		return false
	}
	s.space()
	for first := true; !s.take('}'); first = false {
		if !first && !s.comma() {
			return false
		}
		if !s.field(field) {
			return false
		}
	}
	s.depth--
	return true
}

func (s *scanner) field(field func(string, []byte)) bool {
	from := s.at
	if !s.text() {
		return false
	}
	name := s.data[from:s.at]
	s.space()
	if !s.take(':') {
		return false
	}
	s.space()
	from = s.at
	if !s.value() {
		return false
	}
	if field != nil {
		text, _ := Unquote(name)
		field(string(text), s.data[from:s.at])
	}
	s.space()
	return true
}

func (s *scanner) array(element func([]byte)) bool {
	if !s.enter('[') {
		return false
	}
	s.space()
	for first := true; !s.take(']'); first = false {
		if !first && !s.comma() {
			return false
		}
		from := s.at
		if !s.value() {
			return false
		}
		if element != nil {
			element(s.data[from:s.at])
		}
		s.space()
	}
	s.depth--
	return true
}

func (s *scanner) enter(c byte) bool {
	s.depth++
	return s.depth <= maxDepth && s.take(c)
}

func (s *scanner) comma() bool {
	if !s.take(',') {
		return false
	}
	s.space()
	return true
}

func (s *scanner) value() bool {
	if s.at == len(s.data) {
		return false
	}
	switch c := s.data[s.at]; {
	case c == '"':
		return s.text()
	case c == '{':
		return s.object(nil)
	case c == '[':
		return s.array(nil)
	case c == 't':
		return s.literal("true")
	case c == 'f':
		return s.literal("false")
	case c == 'n':
		return s.literal("null")
	}
	return s.number()
}

func (s *scanner) literal(word string) bool {
	if len(s.data)-s.at < len(word) || string(s.data[s.at:s.at+len(word)]) != word {
		return false
	}
	s.at += len(word)
	return true
}

func (s *scanner) number() bool {
	s.take('-')
	if !s.take('0') && !s.digits() {
		return false
	}
	if s.take('.') && !s.digits() {
		return false
	}
	if !s.take('e') && !s.take('E') {
		return true
	}
	if !s.take('+') {
		s.take('-')
	}
	return s.digits()
}

func (s *scanner) digits() bool {
	from := s.at
	for s.at < len(s.data) && s.data[s.at] >= '0' && s.data[s.at] <= '9' {
		s.at++
	}
	return s.at > from
}

// text advances over a string.
func (s *scanner) text() bool {
	if !s.take('"') {
		return false
	}
	for {
		s.at += plain(s.data[s.at:])
		if s.at == len(s.data) {
			return false
		}
		switch c := s.data[s.at]; {
		case c == '"':
			s.at++
			return true
		case c != '\\' || !s.escape():
			return false
		}
	}
}

func (s *scanner) escape() bool {
	s.at++
	if s.at == len(s.data) {
		return false
	}
	c := s.data[s.at]
	s.at++
	switch c {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		return s.hex4()
	}
	return false
}

func (s *scanner) hex4() bool {
	for range 4 {
		if s.at == len(s.data) {
			return false
		}
		c := s.data[s.at] | 0x20
		digit := s.data[s.at] >= '0' && s.data[s.at] <= '9'
		if !digit && (c < 'a' || c > 'f') {
			return false
		}
		s.at++
	}
	return true
}

const (
	lows  = 0x0101010101010101
	highs = 0x8080808080808080
)

// plain returns how many bytes stand before the first quote, backslash or
// control character. It looks at eight bytes at a time: prompts are hundreds
// of kilobytes of almost nothing else.
func plain(b []byte) int {
	n := 0
	for ; len(b)-n >= 8; n += 8 {
		x := binary.LittleEndian.Uint64(b[n:])
		quote := x ^ lows*'"'
		slash := x ^ lows*'\\'
		found := (x - lows*0x20) &^ x
		found |= (quote - lows) &^ quote
		found |= (slash - lows) &^ slash
		if found &= highs; found != 0 {
			return n + bits.TrailingZeros64(found)/8
		}
	}
	for n < len(b) && b[n] >= 0x20 && b[n] != '"' && b[n] != '\\' {
		n++
	}
	return n
}
