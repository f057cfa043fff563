package endpoint

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against sending a request that was withdrawn while its connection was set up, and against
// losing that connection.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	r := NewRelay(ln.Addr().String(), time.Second, time.Second)
	defer r.Close()
	withdrawn := errors.New("withdrawn")
	_, err = r.Open(context.Background(), Outgoing{
		Head: []byte("GET / HTTP/1.1\r\n\r\n"), Ready: func() error { return withdrawn },
	})
	if !errors.Is(err, withdrawn) {
		t.Errorf("error %v, want that of Ready", err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := far.Read(make([]byte, 1)); n > 0 || !IsTimeout(err) {
		t.Errorf("%d bytes, error %v; want an open connection without any", n, err)
	}
	if r.pool.takeIdle(use{}) == nil {
		t.Error("the connection is not kept for the next request")
	}
}
