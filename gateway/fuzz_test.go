package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// Guards against a reader of events that changes or repeats bytes, or returns part of an event.
func FuzzEventReader(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\n\r\n: comment\r\n",
		"id: 1\ndata: a\n\r\nid: 2\nda",
		"\n\n: beat\n\n: be",
		"data: 0123456789\n\ndata: 01234567890\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		// The smallest buffer has lines cross its end.
		const buffer = 16
		e := eventReader{bufio.NewReaderSize(bytes.NewReader(input), buffer)}
		var read []byte
		for {
			event, _, err := e.next()
			read = append(read, event...)
			if err == nil {
				if !bytes.HasSuffix(event, []byte("\n")) || len(bytes.Trim(lastLine(event), "\r\n")) > 0 {
					t.Fatalf("%q does not end with an empty line", event)
				}
				continue
			}
			if !bytes.HasPrefix(input, read) {
				t.Fatalf("%q is not the beginning of %q", read, input)
			}
			rest := input[len(read):]
			switch {
			case err == io.EOF && len(rest) > 0:
				t.Fatalf("%q was left out at the end", rest)
			case errors.Is(err, errEventCut) && len(bytes.Trim(rest, "\r\n")) == 0:
				t.Fatalf("cut inside an event, with %q left", rest)
			}
			return
		}
	})
}

// lastLine returns the last line of text, which ends with a line break.
func lastLine(text []byte) []byte {
	text = text[:len(text)-1]
	return text[bytes.LastIndexByte(text, '\n')+1:]
}
