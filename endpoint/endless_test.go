package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
)

// endless are answers that do not end: what comes first, and what is repeated.
var endless = map[string]struct{ head, repeated string }{
	"informational heads": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body":                {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	"failure":             {"HTTP/1.1 500 X\r\n\r\n", strings.Repeat("x", 4096)},
	"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"small chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 500)},
	"long body":           {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", strings.Repeat("x", 4096)},
	"head line":           {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	"head fields":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"chunk extension":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x", 4096)},
	"trailers":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n"},
	"empty lines":         {"", strings.Repeat("\r\n", 2048)},
	"old head":            {"HTTP/1.0 200 OK\r\n", "A: b\r\n"},
}

// serveConns has handle serve each connection to a listener, and closes it afterwards.
func serveConns(t *testing.T, handle func(net.Conn)) (address string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// serveEndless answers on all connections with head and then repeated, as fast as it is read, and counts the bytes that were sent.
func serveEndless(t *testing.T, head, repeated string) (address string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
	return serveConns(t, func(c net.Conn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, err := io.WriteString(c, head)
		for n := 0; err == nil; {
			n, err = c.Write(block)
			sent.Add(int64(n))
		}
	}), sent
}

const (
	endlessBound = 1 << 20
	// endlessKernel is what the kernel's buffers of one connection may hold besides.
	endlessKernel = 16 << 20
	endlessWait   = 5 * time.Second
)

func readWhole(r *Relay) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessWait)
	defer cancel()
	in, err := r.Open(ctx, Outgoing{Head: []byte("GET / HTTP/1.1\r\nHost: e\r\n\r\n")})
	if err != nil {
		return nil, err
	}
	defer in.Drop()
	return in.ReadAll()
}

// Guards against an answer without end that is read until its request's deadline, and collected without a bound.
func TestAnswersWithoutEndAreEnded(t *testing.T) {
	for name, answer := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := serveEndless(t, answer.head, answer.repeated)
			relay := NewRelay(address, time.Second, time.Second)
			relay.SetIntake(bufferlimit.NewIntake(endlessBound))
			began := time.Now()
			body, err := readWhole(relay)
			if name == "trailers" && err == nil {
				// The body is whole; the trailers are not waited for.
				return
			}
			took := time.Since(began)
			if err == nil || took > endlessWait/2 || sent.Load() > endlessBound+endlessKernel {
				t.Errorf("%d bytes and %v after %v, %d bytes sent; want an error at once", len(body), err, took, sent.Load())
			}
		})
	}
}

// Guards against endpoints that send without end and have the memory of all answers together grow without a bound, or the small
// answers of others fail.
func TestEndlessAnswersLeaveRoomForOthers(t *testing.T) {
	const endlessAtOnce, others = 10, 200
	intake := bufferlimit.NewIntake(endlessBound)
	address, _ := serveEndless(t, endless["body"].head, endless["body"].repeated)
	small := serveSmall(t)
	stop := make(chan struct{})
	var peak atomic.Int64
	var wg sync.WaitGroup
	for range endlessAtOnce {
		relay := NewRelay(address, time.Second, time.Second)
		relay.SetIntake(intake)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if body, err := readWhole(relay); err == nil {
					t.Errorf("an answer without end was returned with %d bytes", len(body))
				}
				peak.Store(max(peak.Load(), intake.View().Held))
			}
		})
	}
	relay := NewRelay(small, time.Second, time.Second)
	relay.SetIntake(intake)
	for range others {
		body, err := readWhole(relay)
		if err != nil || string(body) != "small" {
			t.Errorf("%q, %v beside answers without end", body, err)
		}
		peak.Store(max(peak.Load(), intake.View().Held))
		time.Sleep(time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if v := intake.View(); peak.Load() > endlessBound || v.Held != 0 || v.Ended == 0 || v.Messages != 0 {
		t.Errorf("%d bytes held at most, bound %d; at the end %+v", peak.Load(), endlessBound, v)
	}
}

// serveSmall answers with a short body that ends with the connection.
func serveSmall(t *testing.T) (address string) {
	return serveConns(t, func(c net.Conn) {
		br := bufio.NewReader(c)
		for line, err := "x", error(nil); err == nil && strings.TrimSpace(line) != ""; {
			line, err = br.ReadString('\n')
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nsmall")
	})
}

// Guards against an engine's stream that keeps its reader busy, and its request's slot occupied, with bytes that are no event.
func TestEventsWithoutEndAreEnded(t *testing.T) {
	for name, repeated := range map[string]string{
		"empty lines": "\n", "comments": ": beat\n\n", "ids": "id: r/1\n\n", "unknown fields": "event: x\n\n", "line": strings.Repeat("x", 512), "data": "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &countingReader{data: []byte(strings.Repeat(repeated, 1+4096/len(repeated)))}
			e := eventReader{r: bufio.NewReader(source)}
			if _, err := e.next(); err == nil || source.read > 2*maxUnfinishedBytes {
				t.Errorf("%v after %d bytes", err, source.read)
			}
		})
	}
	source := &countingReader{data: []byte(strings.Repeat("\n", 4096))}
	events := &cacheEvents{lines: lineReader{r: bufio.NewReader(source)}}
	for {
		if _, err := events.Next(); err != nil {
			break
		}
		if source.read > 2*maxUnfinishedBytes {
			t.Fatalf("%d bytes of heartbeats were read at once", source.read)
		}
	}
}

// countingReader repeats data without end.
type countingReader struct {
	data []byte
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n := copy(p, r.data)
	r.read += n
	return n, nil
}

// Guards against bodies that are changed or cut where the pieces that they are received in are joined.
func TestBodiesAreCollectedWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstPieceBytes - 1, firstPieceBytes, firstPieceBytes + 1, firstPieceBytes + pieceBytes, firstPieceBytes + pieceBytes + 1, 5*pieceBytes + 7} {
		want := make([]byte, size)
		for k := range want {
			want[k] = byte(k % 251)
		}
		for framing, text := range map[string]string{
			"close": "HTTP/1.1 200 OK\r\n\r\n" + string(want), "chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(size, 1), cmpPad(want)),
		} {
			resp := &response{conn: &conn{br: bufio.NewReaderSize(strings.NewReader(text), 4096), intake: bufferlimit.NewIntake(1 << 20)}}
			if err := resp.readHeader(false); err != nil {
				t.Fatal(err)
			}
			body, err := resp.readAll()
			if expected := []byte(cmpPad(want)); framing == "chunks" && !bytes.Equal(body, expected) || framing == "close" && !bytes.Equal(body, want) || err != nil {
				t.Errorf("%s, %d bytes: %d bytes and %v", framing, size, len(body), err)
			}
		}
	}
}

// cmpPad returns a chunk of at least one byte: an empty one would be the last.
func cmpPad(data []byte) string {
	if len(data) == 0 {
		return "x"
	}
	return string(data)
}
