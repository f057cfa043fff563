//go:build linux

package crowd

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client is one connection of a crowd.
type client struct {
	net.Conn
	stop <-chan struct{}
}

// send writes text and reports whether the connection took all of it.
func (c *client) send(text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(patience))
	_, err := c.Write([]byte(text))
	return err == nil
}

// sendBytes writes n body bytes in pieces, each between before and after.
func (c *client) sendBytes(n, piece int, before, after string) bool {
	text := before + strings.Repeat("b", piece) + after
	for ; n >= piece; n -= piece {
		if !c.send(text) {
			return false
		}
	}
	return true
}

// trickle writes one piece after another, with a pause, until the connection is closed or the crowd leaves.
func (c *client) trickle(piece string, pause time.Duration) {
	for c.send(piece) {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

// hold keeps the connection open without reading until the crowd leaves.
func (c *client) hold() { <-c.stop }

// crowd is a number of clients that behave alike.
type crowd struct {
	t    testing.TB
	stop chan struct{}
	wg   sync.WaitGroup
	// sent counts the clients that have sent what they send, or were closed by the program before.
	sent atomic.Int64
	size int
}

// newCrowd connects n clients to an address. Each calls send, which returns once the client has sent its part, and then stay.
func newCrowd(t testing.TB, address string, n int, send func(*client), stay func(*client)) *crowd {
	t.Helper()
	c := &crowd{t: t, stop: make(chan struct{}), size: n}
	for range n {
		c.wg.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, patience)
			if err != nil {
				c.sent.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			// A client that waits to be read must not outlast the crowd.
			go func() {
				<-c.stop
				_ = conn.SetDeadline(time.Now())
			}()
			x := &client{conn, c.stop}
			send(x)
			c.sent.Add(1)
			stay(x)
		})
	}
	t.Cleanup(c.leave)
	return c
}

// arrived waits until all clients have sent their part.
func (c *crowd) arrived() {
	c.t.Helper()
	for until := time.Now().Add(patience); c.sent.Load() < int64(c.size); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			c.t.Fatalf("%d of %d clients have not sent in %v", int64(c.size)-c.sent.Load(), c.size, patience)
		}
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.wg.Wait()
}
