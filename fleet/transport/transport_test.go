package transport_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const fleetName = "test"

// echo answers Ask calls with the request's id and counts them.
type echo struct {
	fleetpb.DRPCFleetUnimplementedServer
	calls atomic.Int64
}

func (e *echo) Ask(_ context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	e.calls.Add(1)
	return &fleetpb.AskReply{Refusal: in.GetRequestId()}, nil
}

func ask(fleet string) *fleetpb.AskRequest {
	return &fleetpb.AskRequest{Caller: &fleetpb.Caller{Fleet: fleet}, RequestId: "r1"}
}

// listen serves e on a loopback address and returns the address.
func listen(t testing.TB, e *echo, keys *transport.Keys) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := transport.NewServer(fleetName, e, keys, &transport.Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.Serve(ctx, ln)
	return ln.Addr().String()
}

func TestCallReusesConnection(t *testing.T) {
	e := &echo{}
	address := listen(t, e, nil)
	traffic := &transport.Traffic{}
	client := transport.NewClient(transport.DialTCP, nil, traffic)
	defer client.Close()
	for range 5 {
		reply, err := client.Ask(context.Background(), address, 10*time.Second, ask(fleetName))
		if err != nil || reply.GetRefusal() != "r1" {
			t.Fatal(reply, err)
		}
	}
	if n := traffic.Dials.Load(); n != 1 {
		t.Fatalf("%d connections opened for five calls, want 1", n)
	}
}

// A seed address was reassigned to an instance of another fleet. Without a check the
// two fleets would merge, and an operator would find the endpoints of one in the
// state of the other.
func TestOtherFleetIsRefused(t *testing.T) {
	e := &echo{}
	address := listen(t, e, nil)
	client := transport.NewClient(transport.DialTCP, nil, &transport.Traffic{})
	defer client.Close()
	_, err := client.Ask(context.Background(), address, 10*time.Second, ask("other"))
	if !fault.Is(err, fault.Unauthorized) {
		t.Fatalf("got %v", err)
	}
	if e.calls.Load() != 0 {
		t.Fatal("a call from another fleet reached the handler")
	}
}

// pipes is a dialer whose connections can be black-holed: bytes written are accepted
// and never arrive, as after a middlebox has lost the state of the connection.
type pipes struct {
	blackholed atomic.Int64 // connections up to this number are black-holed
	opened     int64
	ln         *pipeListener
}

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.opened++
	p.ln.conns <- server
	return &blackholeConn{Conn: client, number: p.opened, blackholed: &p.blackholed}, nil
}

type blackholeConn struct {
	net.Conn
	number     int64
	blackholed *atomic.Int64
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.number <= c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// A middlebox between two instances loses the state of an open connection: calls on
// it get no answer, while a new connection would work at once. A caller's request
// would hang until its deadline although both instances are healthy.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &echo{}
		server, err := transport.NewServer(fleetName, e, nil, &transport.Traffic{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		p := &pipes{ln: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
		go server.Serve(ctx, p.ln)
		client := transport.NewClient(p.dial, nil, &transport.Traffic{})
		if _, err := client.Ask(ctx, "peer", time.Second, ask(fleetName)); err != nil {
			t.Fatal(err)
		}
		p.blackholed.Store(1)
		begin := time.Now()
		if _, err := client.Ask(ctx, "peer", time.Second, ask(fleetName)); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took != 500*time.Millisecond {
			t.Fatalf("the call returned after %v, want 500ms", took)
		}
		if p.opened != 2 {
			t.Fatalf("%d connections opened, want 2", p.opened)
		}
		client.Close()
		cancel()
		synctest.Wait()
	})
}
