package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// earlyAnswer is an answer that is written before the request was read.
type earlyAnswer struct {
	text string
	// end ends the connection.
	end func(net.Conn)
}

// serveEarly answers each request once its head is read. readBuffer is the size of the kernel's buffer for what is not read; 0 for
// the usual one.
func serveEarly(t *testing.T, readBuffer int, a earlyAnswer) (address string) {
	return serveConns(t, func(c net.Conn) {
		if readBuffer > 0 {
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
		}
		br := bufio.NewReader(c)
		if _, err := textproto.NewReader(br).ReadLine(); err != nil {
			return
		}
		_, _ = io.WriteString(c, a.text)
		a.end(c)
	})
}

func resetAfter(d time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		time.Sleep(d)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// readRest closes the direction to the sender of the request and reads the rest of it.
func readRest(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// sendLong sends a request with a body of this size, and reads the answer. stream has the body read in parts.
func sendLong(address string, size int, stream bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	in, err := NewRelay(address, time.Second, time.Second).Open(ctx, Outgoing{
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n", size), Body: make([]byte, size),
	})
	if err != nil {
		return nil, err
	}
	defer in.Finish()
	if stream {
		return io.ReadAll(in.Body())
	}
	return in.ReadAll()
}

// Guards against a part of an answer without framing that counts as a whole one: its endpoint resets the connection while the request
// is written, and the writing goroutine gets the error.
func TestUnframedAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	const tries, parallel, part = 12, 4, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"
	var complete, all atomic.Int64
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		for _, readBuffer := range []int{0, 4 << 10, 64 << 10} {
			for _, size := range []int{200 << 10, 1 << 20, 6 << 20} {
				address := serveEarly(t, readBuffer, earlyAnswer{part, resetAfter(delay)})
				var wg sync.WaitGroup
				for n := range parallel {
					wg.Go(func() {
						for range tries / parallel {
							all.Add(1)
							// A request that the kernel took whole before the reset has an error for the reader.
							if _, err := sendLong(address, size, n%2 == 0); err == nil {
								complete.Add(1)
							}
						}
					})
				}
				wg.Wait()
			}
		}
	}
	if n := complete.Load(); n > 0 {
		t.Errorf("%d of %d parts of answers were read as whole ones", n, all.Load())
	}
}

// Guards against early answers to long requests that are rejected although they are whole: their end is stated, or the endpoint has
// read the whole request.
func TestEarlyAnswerThatIsWholeStaysOne(t *testing.T) {
	for name, a := range map[string]earlyAnswer{
		"length":          {"HTTP/1.1 413 X\r\nContent-Length: 5\r\n\r\nwhole", resetAfter(100 * time.Millisecond)},
		"chunks":          {"HTTP/1.1 413 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetAfter(100 * time.Millisecond)},
		"close":           {"HTTP/1.1 413 X\r\n\r\nwhole", readRest},
		"close, HTTP/1.0": {"HTTP/1.0 413 X\r\n\r\nwhole", readRest},
	} {
		address := serveEarly(t, 0, a)
		for _, size := range []int{200 << 10, 6 << 20} {
			for _, stream := range []bool{false, true} {
				if body, err := sendLong(address, size, stream); err != nil || string(body) != "whole" {
					t.Errorf("%s, %d bytes, stream %v: %q and %v", name, size, stream, body, err)
				}
			}
		}
	}
}

// Guards against a request that waits beyond its time for an endpoint that has ended its answer and does not read the request.
func TestUnframedAnswerWaitsForTheUploadUntilTheDeadline(t *testing.T) {
	const limit = 300 * time.Millisecond
	address := serveEarly(t, 4<<10, earlyAnswer{"HTTP/1.1 200 OK\r\n\r\npart", func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(5 * limit)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	const size = 16 << 20
	in, err := NewRelay(address, time.Second, time.Second).Open(ctx, Outgoing{
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", size), Body: make([]byte, size),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer in.Drop()
	began := time.Now()
	if body, err := in.ReadAll(); err == nil || time.Since(began) > 3*limit {
		t.Errorf("%q and %v after %v", body, err, time.Since(began))
	}
}
