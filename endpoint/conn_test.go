package endpoint

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/internal/sockstate"
)

// An endpoint restarts while a connection to it is idle. A request sent on that connection would
// fail without it being known whether it ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	p := &pool{addr: ln.Addr().String(), dialTimeout: time.Second}
	c, err := p.get(context.Background(), use{})
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p.put(c)
	if sockstate.Of(c.Conn) != sockstate.Idle {
		t.Fatal("an open connection looks closed")
	}
	_ = far.Close()
	for sockstate.Of(c.Conn) != sockstate.Closed {
		runtime.Gosched()
	}
	if got := p.takeIdle(use{}); got != nil {
		t.Fatal("a closed connection was taken from the pool")
	}
}

// An instance has connected to many endpoints. Connections that are too old to be reused must
// not use up its file descriptors.
func TestOldIdleConnectionsAreClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	p := &pool{addr: ln.Addr().String(), dialTimeout: time.Second}
	for range 3 {
		c, err := p.get(context.Background(), use{fresh: true})
		if err != nil {
			t.Fatal(err)
		}
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		p.put(c)
		defer func() {
			var one [1]byte
			if _, err := far.Read(one[:]); err != io.EOF {
				t.Errorf("got %v, want the end of the connection", err)
			}
		}()
	}
}

// Guards against keeping more idle connections than this instance's part of what the endpoint accepts:
// it resets the connections over that.
func TestIdleConnectionsAreLimited(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	p := &pool{addr: ln.Addr().String(), dialTimeout: time.Second, maxIdle: func() int { return 2 }}
	var conns []*conn
	for range 4 {
		c, err := p.get(context.Background(), use{fresh: true})
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		p.put(c)
	}
	if len(p.idle) != 2 || p.idle[0] != conns[2] || p.idle[1] != conns[3] {
		t.Errorf("%d idle connections, want the last two", len(p.idle))
	}
	p.closeIdle()
}
