package inbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/bufferlimit"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/overload"
)

const (
	testHeadBytes = 32 << 10
	testBodyBytes = 1 << 20
	testTimeout   = 5 * time.Second
)

func testConfig(memory *bufferlimit.Intake) *Config {
	return &Config{HeadBytes: testHeadBytes, Memory: memory, Timeouts: func() Timeouts {
		return Timeouts{Idle: testTimeout, Head: testTimeout, Stall: testTimeout}
	}}
}

// segments is a connection that returns its bytes in pieces of the given sizes, and then its end.
type segments struct {
	net.Conn
	data  []byte
	sizes []int
}

func (s *segments) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := len(s.data)
	if len(s.sizes) > 0 {
		n, s.sizes = s.sizes[0], s.sizes[1:]
	}
	n = copy(p, s.data[:min(max(n, 1), len(s.data))])
	s.data = s.data[n:]
	return n, nil
}

func (s *segments) SetReadDeadline(time.Time) error { return nil }

// readRequest reads a request as the HTTP library and a handler do.
func readRequest(r *Reader, limit int) (head *fasthttp.RequestHeader, body []byte, err error) {
	head = &fasthttp.RequestHeader{}
	br := bufio.NewReaderSize(r, testHeadBytes)
	if err := head.Read(br); err != nil {
		return head, nil, err
	}
	if br.Buffered() > 0 {
		return head, nil, fmt.Errorf("the library got %d bytes behind the head", br.Buffered())
	}
	HeadReceived(head)
	f := TakeFraming(head)
	body, err = r.ReadBody(f, limit, time.Now().Add(testTimeout), io.Discard)
	body = bytes.Clone(body)
	r.Release()
	return head, body, err
}

// Guards against a body that is misread: one that is malformed, over the limit or cut, or chunks that a smuggled request could hide in.
func TestBodies(t *testing.T) {
	const chunks, length = "Transfer-Encoding: chunked", "Content-Length: "
	long := strings.Repeat("x", 100)
	tests := []struct {
		name, field, body string
		want              string
		err               error
	}{
		{"none", "A: b", "", "", nil},
		{"a length", length + "5", "hello", "hello", nil},
		{"cut", length + "6", "hello", "", io.ErrUnexpectedEOF},
		{"over the limit", length + "101", long + "x", "", ErrTooLarge},
		{"chunks", chunks, "5\r\nhello\r\nA\r\n, and more\r\n0\r\n\r\n", "hello, and more", nil},
		{"an upper and a lower case size", chunks, "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n", "01234567890123456789", nil},
		{"extensions", chunks, "5;a=b;c=\"d\"\r\nhello\r\n0;last\r\n\r\n", "hello", nil},
		{"a space before an extension", chunks, "5 ;a=b\r\nhello\r\n0\r\n\r\n", "hello", nil},
		{"trailers", chunks, "5\r\nhello\r\n0\r\nA: b\r\nC: d\r\n\r\n", "hello", nil},
		{"chunks over the limit in sum", chunks, "60\r\n" + long[:96] + "\r\n6\r\n123456\r\n0\r\n\r\n", "", ErrTooLarge},
		{"a chunk over the limit", chunks, "65\r\n", "", ErrTooLarge},
		{"a size that overflows", chunks, "10000000000000005\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"a size of many digits", chunks, "00000000000000000005\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"no size", chunks, "\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"a negative size", chunks, "-5\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"a size with a prefix", chunks, "0x5\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"text behind a size", chunks, "5 x\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"a size that ends with LF", chunks, "5\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"CR within an extension", chunks, "5;a\rb\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"a chunk longer than its size", chunks, "5\r\nhello!\r\n0\r\n\r\n", "", ErrMalformed},
		{"a chunk that ends with LF", chunks, "5\r\nhello\n0\r\n\r\n", "", ErrMalformed},
		{"an extension without end", chunks, "5;" + strings.Repeat("x", maxChunkLine+1) + "\r\nhello\r\n0\r\n\r\n", "", ErrMalformed},
		{"trailers without end", chunks, "0\r\n" + strings.Repeat("A: b\r\n", maxTrailers/6+1) + "\r\n", "", ErrMalformed},
		{"cut before the last chunk", chunks, "5\r\nhello\r\n", "", io.ErrUnexpectedEOF},
		{"cut in the trailers", chunks, "5\r\nhello\r\n0\r\n", "", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, step := range []int{1, 3, 1 << 20} {
				text := "POST /x HTTP/1.1\r\nHost: h\r\n" + tt.field + "\r\n\r\n" + tt.body
				sizes := make([]int, len(text))
				for k := range sizes {
					sizes[k] = step
				}
				memory := bufferlimit.NewRequestIntake(1 << 30)
				r := NewReader(&segments{data: []byte(text), sizes: sizes}, testConfig(memory))
				_, body, err := readRequest(r, 100)
				if string(body) != tt.want || !errors.Is(err, tt.err) {
					t.Errorf("in steps of %d: %q, %v; want %q, %v", step, body, err, tt.want, tt.err)
				}
				if r.Close(); memory.View().Held != 0 || memory.View().Messages != 0 {
					t.Errorf("%+v is held at the end", memory.View())
				}
			}
		})
	}
}

// Guards against heads whose end is open to interpretation, and against bytes behind a head that the library would take for another
// request.
func TestHeads(t *testing.T) {
	tests := []struct {
		name, text string
		err        error
	}{
		{"ended as defined", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"empty lines before it", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"lines that end with LF", "GET / HTTP/1.1\nHost: h\r\n\r\n", nil},
		{"a blank line of LF", "GET / HTTP/1.1\r\nHost: h\n\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		{"a blank line of CRLF behind LF", "GET / HTTP/1.1\r\nHost: h\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		{"too long", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*testHeadBytes), ErrLongHead},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewReader(&segments{data: []byte(tt.text + "next")}, testConfig(nil))
			head, _, err := readRequest(r, testBodyBytes)
			if !errors.Is(err, tt.err) || err == nil && string(head.RequestURI()) != "/" {
				t.Fatalf("%q, %v; want %v", head.RequestURI(), err, tt.err)
			}
			if err == nil && string(r.unread()) != "next" {
				t.Errorf("%q is left", r.unread())
			}
		})
	}
}

// Guards against pipelined requests that are mixed up, whatever their framing is and however they are cut into segments.
func TestPipelinedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		var want [][]byte
		for k := range rapid.IntRange(1, 5).Draw(t, "requests") {
			body := bytes.Repeat([]byte{byte('a' + k)}, rapid.SampledFrom([]int{0, 1, 100, 4095, 4096, 5000, 70_000, 600_000}).Draw(t, "size"))
			want = append(want, body)
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\n", k)
			if rapid.Bool().Draw(t, "chunked") {
				text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for left := body; len(left) > 0; {
					n := rapid.IntRange(1, len(left)).Draw(t, "chunk")
					fmt.Fprintf(&text, "%x\r\n%s\r\n", n, left[:n])
					left = left[n:]
				}
				text.WriteString("0\r\n\r\n")
			} else {
				fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 90_000), 0, 60).Draw(t, "segments")
		memory := bufferlimit.NewRequestIntake(1 << 30)
		r := NewReader(&segments{data: text.Bytes(), sizes: sizes}, testConfig(memory))
		for k, body := range want {
			if rapid.Bool().Draw(t, "refused") && len(body) < maxDiscarded {
				// The body of a refused request is left, and discarded before the next head.
				head, br := fasthttp.RequestHeader{}, bufio.NewReaderSize(r, testHeadBytes)
				if err := head.Read(br); err != nil {
					t.Fatalf("request %d: %v", k, err)
				}
				HeadReceived(&head)
				if !r.LeaveRest(TakeFraming(&head)) {
					t.Fatalf("request %d: its rest of %d bytes can't be left", k, len(body))
				}
				continue
			}
			head, got, err := readRequest(r, testBodyBytes)
			if err != nil || !bytes.Equal(got, body) || string(head.RequestURI()) != fmt.Sprintf("/%d", k) {
				t.Fatalf("request %d: %s with %d bytes, want %d; %v", k, head.RequestURI(), len(got), len(body), err)
			}
		}
		if _, err := r.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("at the end: %v", err)
		}
		if r.Close(); memory.View().Held != 0 || memory.View().Messages != 0 {
			t.Fatalf("%+v is held at the end", memory.View())
		}
	})
}

// Guards against memory for what is only announced.
func TestBodyGrowsWithWhatArrives(t *testing.T) {
	caller, server := net.Pipe()
	defer func() { _, _ = caller.Close(), server.Close() }()
	memory := bufferlimit.NewRequestIntake(1 << 30)
	r := NewReader(server, testConfig(memory))
	go func() { _, _, _ = readRequest(r, testBodyBytes) }()
	_, _ = fmt.Fprintf(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyBytes)
	for sent := 0; sent < testBodyBytes/2; sent += 10_000 {
		if held := memory.View().Held; held > int64(max(firstBytes, 4*sent)) {
			t.Fatalf("%d bytes are held after %d", held, sent)
		}
		_, _ = caller.Write(make([]byte, 10_000))
	}
}

// Guards against a caller that sends a byte now and then and so has no time-out, in its head or in its body.
func TestTrickleEndsAtTheDeadline(t *testing.T) {
	for _, start := range []string{"GET / HTTP/1.1\r\nX: ", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"} {
		caller, server := net.Pipe()
		cfg := testConfig(nil)
		cfg.Timeouts = func() Timeouts {
			return Timeouts{Idle: testTimeout, Head: 200 * time.Millisecond, Stall: 200 * time.Millisecond}
		}
		ended := make(chan error, 1)
		go func() {
			r := NewReader(server, cfg)
			br := bufio.NewReaderSize(r, testHeadBytes)
			var head fasthttp.RequestHeader
			err := head.Read(br)
			if err == nil {
				HeadReceived(&head)
				_, err = r.ReadBody(TakeFraming(&head), testBodyBytes, time.Now().Add(300*time.Millisecond), nil)
			}
			ended <- err
			_ = server.Close()
		}()
		_, _ = caller.Write([]byte(start))
		for {
			if _, err := caller.Write([]byte("x")); err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if err := <-ended; !errors.Is(err, ErrTimeout) {
			t.Errorf("%q: %v, want %v", start, err, ErrTimeout)
		}
		_ = caller.Close()
	}
}

// Guards against a request that is served although its connection was given up, and against one that is given up while it is served.
func TestGiveUp(t *testing.T) {
	caller, server := net.Pipe()
	defer func() { _, _ = caller.Close(), server.Close() }()
	r := NewReader(server, testConfig(nil))
	if r.GiveUp(overload.StageHead, server) {
		t.Error("an idle connection was given up as one with a head")
	}
	go func() { _, _ = caller.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")) }()
	br := bufio.NewReaderSize(r, testHeadBytes)
	var head fasthttp.RequestHeader
	if err := head.Read(br); err != nil {
		t.Fatal(err)
	}
	for _, stage := range []overload.Stage{overload.StageIdle, overload.StageHead, overload.StageBody, overload.StageServed} {
		if r.GiveUp(stage, server) {
			t.Fatalf("given up in stage %v while it is served", stage)
		}
	}
	HeadReceived(&head)
	f := TakeFraming(&head)
	ended := make(chan error, 1)
	go func() {
		_, err := r.ReadBody(f, testBodyBytes, time.Now().Add(testTimeout), nil)
		ended <- err
	}()
	for !r.GiveUp(overload.StageBody, server) {
		time.Sleep(time.Millisecond)
	}
	if err := <-ended; !errors.Is(err, ErrGivenUp) {
		t.Errorf("the body ended with %v", err)
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, ErrGivenUp) {
		t.Errorf("the next head: %v", err)
	}
}

// Guards against a body that is held, and not counted, while its answer waits for a caller that does not read.
func TestReleasedBodyIsNotHeld(t *testing.T) {
	cfg := testConfig(bufferlimit.NewRequestIntake(1 << 30))
	cfg.RecycleBodies = true
	text := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyBytes, strings.Repeat("b", testBodyBytes))
	r := NewReader(&segments{data: []byte(text)}, cfg)
	if _, body, err := readRequest(r, testBodyBytes); err != nil || len(body) != testBodyBytes {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	if held := cfg.Memory.View().Held; held != 0 || r.body != nil {
		t.Errorf("%d bytes are counted, %d are held", held, cap(r.body))
	}
}

// Guards against an answer that is cut since its connection is given up, as idle, while the kernel still holds a part of it.
func TestGivenUpConnectionDeliversItsLastAnswer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := NewReader(server, testConfig(nil))
	const answer = 200 << 10
	if _, err := server.Write(make([]byte, answer)); err != nil {
		t.Fatal(err)
	}
	if !r.GiveUp(overload.StageIdle, server) {
		t.Fatal("not given up")
	}
	_ = caller.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(caller); len(got) != answer || err != nil {
		t.Errorf("%d bytes of %d, %v", len(got), answer, err)
	}
}
