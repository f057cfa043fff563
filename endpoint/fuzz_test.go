package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// A faulty engine or proxy may send any bytes. The reader must terminate, buffer a line of
// bounded length, and report the end of the stream only for a [DONE] mark in the input.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: r/0\ndata: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": beat\r\n\r\nid: r/-1\r\ndata: a\r\ndata: b\r\n\r\n"))
	f.Add([]byte("id: /\nid\ndata\n\n\n\ndata: [DONE]\ndata: x\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		e := eventReader{r: bufio.NewReaderSize(bytes.NewReader(input), 16)}
		for {
			p, err := e.next()
			if err == io.EOF && !bytes.Contains(input, endMark) {
				t.Fatal("the stream ended without a [DONE] mark")
			}
			if err != nil {
				return
			}
			if len(p.Data) == 0 || len(p.Data) > len(input) {
				t.Fatalf("%d bytes of data from %d", len(p.Data), len(input))
			}
			if p.Index < -1 {
				t.Fatalf("index %d", p.Index)
			}
		}
	})
}

func FuzzCacheEvent(f *testing.F) {
	f.Add([]byte(`{"seq":1,"incarnation":2,"op":"store","blocks":["00"]}`))
	f.Add([]byte(`{"op":"drop"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := parseCacheEvent(line)
		if err == nil && e.Op != CacheStore && e.Op != CacheEvict && e.Op != CacheClear {
			t.Fatalf("operation %q was accepted", e.Op)
		}
	})
}
