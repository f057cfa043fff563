package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/bufferlimit"
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

// fuzzIntake bounds the bodies of FuzzResponse.
const fuzzIntake = 64 << 10

// Guards against a response whose framing is not that of its header: a body that is read without an error has its
// length, or its last chunk, or the end of the connection.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nhalf",
		"HTTP/1.1 304 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nhalf",
		strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 2*maxInformational),
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", fuzzIntake),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", fuzzIntake/4),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		intake := bufferlimit.NewIntake(fuzzIntake)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		resp := &response{conn: &conn{Conn: near, br: bufio.NewReader(bytes.NewReader(input)), intake: intake}}
		if resp.readHeader(false) != nil {
			return
		}
		body, err := resp.readAll()
		if v := intake.View(); v.Held != 0 || v.Messages != 0 || len(body) > fuzzIntake {
			t.Fatalf("%+v after a body of %d bytes", v, len(body))
		}
		if err != nil {
			return
		}
		switch resp.framing {
		case NoBody:
			if len(body) > 0 {
				t.Fatalf("%q in a response without a body", body)
			}
		case ByLength:
			if n := resp.header.ContentLength(); len(body) != n {
				t.Fatalf("%d bytes of %d", len(body), n)
			}
		case ByChunks:
			if !bytes.Contains(input, []byte("0\r\n")) && !bytes.Contains(input, []byte("0\n")) && !bytes.Contains(input, []byte("0;")) {
				t.Fatalf("no last chunk in %q", input)
			}
		case ByClose:
			if !bytes.HasSuffix(input, body) {
				t.Fatalf("%q is not the rest of %q", body, input)
			}
		}
	})
}
