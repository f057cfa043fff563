package hosted

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// delayedOrders is a network between one instance and the endpoints that delays orders. What is on its way
// arrives even if the sender closes or resets the connection.
type delayedOrders struct {
	// dial and transit delay new connections and orders.
	dial, transit time.Duration
	on            atomic.Bool
	sent          atomic.Int64
}

func delayOrders(i *Instance, dial, transit time.Duration) *delayedOrders {
	d := &delayedOrders{dial: dial, transit: transit}
	i.relays.mu.Lock()
	defer i.relays.mu.Unlock()
	i.relays.dialer = d.connect
	return d
}

func (d *delayedOrders) connect(ctx context.Context, address string) (net.Conn, error) {
	if d.on.Load() {
		time.Sleep(d.dial)
	}
	nc, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &delayedConn{TCPConn: nc.(*net.TCPConn), network: d}, nil
}

type delayedConn struct {
	*net.TCPConn
	network *delayedOrders
	transit atomic.Bool
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.network.on.Load() || !bytes.HasPrefix(p, []byte("POST /api/order")) {
		return c.TCPConn.Write(p)
	}
	c.network.sent.Add(1)
	c.transit.Store(true)
	data := slices.Clone(p)
	time.AfterFunc(c.network.transit, func() { _, _ = c.TCPConn.Write(data) })
	return len(p), nil
}

// SetLinger replaces that of TCPConn: a reset would overtake what is on its way.
func (c *delayedConn) SetLinger(int) error { return nil }

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	if !c.transit.Load() {
		return c.TCPConn.Close()
	}
	_ = c.SetReadDeadline(time.Now())
	time.AfterFunc(2*c.network.transit, func() { _ = c.TCPConn.Close() })
	return nil
}

// Guards against endpoints that get orders of a former holder of the lease after those of its successor, where they
// don't check fencing numbers: the weights that the newer holder ordered could be replaced.
func TestOrdersOfAFormerHolderDoNotArriveAfterItsSuccessors(t *testing.T) {
	const lease = time.Second
	for _, test := range []struct {
		name          string
		dial, transit time.Duration
		// end ends the holder's term while orders are on their way.
		end func(holder *Instance, sent func() bool)
	}{
		{"released at shutdown, 100 ms on the way", 0, 100 * time.Millisecond, stopOnceSent},
		{"released at shutdown, 300 ms on the way", 0, 300 * time.Millisecond, stopOnceSent},
		{"released at shutdown, 700 ms on the way", 0, 700 * time.Millisecond, stopOnceSent},
		{"expired while connecting", 350 * time.Millisecond, 0, func(holder *Instance, _ func() bool) { holder.lease.Stop() }},
		{"expired while connecting, 150 ms on the way", 350 * time.Millisecond, 150 * time.Millisecond, func(holder *Instance, _ func() bool) { holder.lease.Stop() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3)
			var engines []*platformtest.Engine
			networks := map[*Instance]*delayedOrders{}
			for _, i := range f.instances {
				networks[i] = delayOrders(i, test.dial, test.transit)
			}
			for k := range 6 {
				engine := platformtest.NewEngine("m", 1, 20*time.Millisecond, func(int64) bool { return true })
				engine.IgnoresFences = true
				engines = append(engines, engine)
				// Each call is on a connection of its own.
				f.endpoint(fmt.Sprintf("e%d", k), "pool", stream(3)).HandleControl(func(x *platformtest.Exchange) bool { engine.Control(x); return false })
			}
			f.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
			f.serve(len(engines), nil)
			f.awaitPeers()
			var holder *Instance
			f.eventually("a holder of the lease", func() bool {
				k := slices.IndexFunc(f.instances, func(i *Instance) bool { _, held := i.lease.Held(); return held })
				if k < 0 {
					return false
				}
				holder = f.instances[k]
				return true
			})
			f.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
			f.eventually("a rollout by the holder", func() bool {
				return !slices.ContainsFunc(engines, func(e *platformtest.Engine) bool { v, _ := e.Version(); return v < 2 })
			})
			// A holder that has just taken over does not release the lease.
			time.Sleep(lease)
			network := networks[holder]
			network.on.Store(true)
			test.end(holder, func() bool {
				const versions = 20
				for v := range versions {
					f.store.Put("versions", "m", map[string]any{"model": "m", "version": 3 + v})
					if network.sent.Load() > 0 {
						return true
					}
					time.Sleep(50 * time.Millisecond)
				}
				return false
			})
			for v := range 30 {
				f.store.Put("versions", "m", map[string]any{"model": "m", "version": 100 + v})
				time.Sleep(100 * time.Millisecond)
			}
			last := map[string]bool{}
			for k, engine := range engines {
				list := engine.Orders()
				for _, violation := range platformtest.OrderViolations(list, lease) {
					t.Errorf("e%d: %s", k, violation)
				}
				for _, o := range list {
					last[o.Holder] = true
				}
			}
			if len(last) < 2 {
				t.Errorf("orders of %v only: the lease did not pass on", last)
			}
		})
	}
}

// stopOnceSent begins a shutdown once an order is on its way.
func stopOnceSent(holder *Instance, sent func() bool) {
	if sent() {
		go holder.Shutdown()
	}
}
