package gateway

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/logline/logtest"
)

// Guards against unbounded memory where the kernel does not report what it holds: a pipe has no socket to ask.
func TestBoundAppliesWhereTheKernelDoesNotTell(t *testing.T) {
	const bound, answer = 1 << 20, 200 << 10
	slow := NewSlowReaders(bound)
	go slow.Run(t.Context())
	errs := make(chan error, 5)
	for range cap(errs) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		x := slow.newSender(near, peerCaller)
		go func() {
			_, err := x.write(make([]byte, answer))
			errs <- err
		}()
	}
	reader, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	x := slow.newSender(reader, peerCaller)
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		if _, err := x.write(make([]byte, answer)); err != nil {
			t.Fatalf("a caller that reads was closed: %v", err)
		}
	}
	if v := slow.View(); v.Held > bound {
		t.Errorf("%d bytes held, bound %d", v.Held, bound)
	}
	if len(errs) < 2 {
		t.Errorf("%d of %d callers that read nothing were closed", len(errs), cap(errs))
	}
	for range len(errs) {
		if err := <-errs; err != errReaderSlow {
			t.Errorf("closed with %v", err)
		}
	}
}

// connect returns both ends of a caller's connection.
func connect(t *testing.T, slow *SlowReaders) (c *callerConn, caller net.Conn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if caller, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return (&listener{slow: slow, open: new(atomic.Int64), reading: &inbound.Config{}, conns: inbound.NewConnections(peerCaller, 0)}).newConn(accepted), caller
}

// A caller wants its connection closed after the answer, which is in the kernel's buffers, and does not read. Guards against
// memory that nothing counts once the connection is closed, and against an answer cut by that.
func TestClosedConnectionsAreCountedUntilTheirCallersHaveRead(t *testing.T) {
	slow := NewSlowReaders(1 << 30)
	go slow.Run(t.Context())
	c, caller := connect(t, slow)
	_ = caller.(*net.TCPConn).SetReadBuffer(32 << 10)
	const answer = 256 << 10
	if _, err := c.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = c.Write(make([]byte, answer-64<<10)); _ = c.Close() }()
	_, _ = io.CopyN(io.Discard, caller, answer/2)
	time.Sleep(3 * slowCheckInterval)
	if v := slow.View(); v.Connections != 1 || v.Held < drainBytes || !c.sender.draining.Load() {
		t.Errorf("%+v while the caller does not read, closed: %v", v, c.sender.draining.Load())
	}
	if n, err := io.Copy(io.Discard, caller); n != answer/2 || err != nil {
		t.Errorf("%d of %d bytes received, %v", n, answer/2, err)
	}
	time.Sleep(3 * slowCheckInterval)
	if v := slow.View(); v.Connections != 0 || c.sender.watched.Load() {
		t.Errorf("%+v after the caller has read", v)
	}
}

// A thousand connections are closed within a second. The lines must not crowd out those of requests.
func TestLinesOnClosedConnectionsAreBounded(t *testing.T) {
	lines := logtest.Record(t)
	table := bufferlimit.NewTable(1)
	near, _ := net.Pipe()
	x := NewSlowReaders(1).newSender(near, peerCaller)
	l := limitedLog{most: slowLines}
	now := time.Unix(1_700_000_000, 0)
	for range 1000 {
		logClosed(now, &l, x, bufferlimit.Closing{}, table)
	}
	logClosed(now.Add(time.Second), &l, x, bufferlimit.Closing{}, table)
	got := lines.Lines("connection of a slow reader closed")
	if len(got) != slowLines+1 || got[slowLines]["omitted"] != 1000-slowLines {
		t.Errorf("%d lines, the last %v", len(got), got[len(got)-1])
	}
}

// What the bound on memory adds to the write of an answer: the difference between the two.
func BenchmarkWriteAnswer(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%v", bounded), func(b *testing.B) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			c := &callerConn{Conn: near}
			if bounded {
				slow := NewSlowReaders(1 << 30)
				go slow.Run(b.Context())
				c.sender = slow.newSender(near, peerCaller)
			}
			answer := make([]byte, 2<<10)
			for b.Loop() {
				c.sends(&sending{})
				if _, err := c.Write(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
