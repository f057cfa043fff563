package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
)

// Guards against a request that the kernel goes on to deliver after its sender has given it up: its connection must be reset,
// that of an answered one must not.
func TestAbandonedRequestIsReset(t *testing.T) {
	for _, answers := range []bool{false, true} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				ended <- err
				return
			}
			defer func() { _ = c.Close() }()
			data := make([]byte, 4096)
			_, err = c.Read(data)
			if err == nil && answers {
				_, err = c.Write([]byte("HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"))
			}
			for err == nil {
				_, err = c.Read(data)
			}
			ended <- err
		}()
		relay := endpoint.NewRelay(ln.Addr().String(), time.Second, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		in, err := relay.Open(ctx, endpoint.Outgoing{Head: []byte("POST / HTTP/1.1\r\n\r\n"), Abort: true})
		if answers {
			if err != nil {
				t.Fatal(err)
			}
			in.Finish()
			relay.Close()
		} else if err == nil {
			t.Fatal("an answer that nobody sent")
		}
		cancel()
		if err := <-ended; answers != errors.Is(err, io.EOF) || !answers && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("answered %v: the connection ended with %v", answers, err)
		}
		_ = ln.Close()
	}
}
