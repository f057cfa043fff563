package emulator

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// silentLimit ends a silent connection at last, so that long runs do not
// collect them without bound.
const silentLimit = 2 * time.Minute

// gate is a stand-in's listener. It can cut its connections, make the open
// ones silent while new ones work, and go down and come back on one address.
type gate struct {
	run  func(net.Listener) error
	addr string

	mu       sync.Mutex
	ln       net.Listener
	reserved int
	conns    map[*gateConn]struct{}
	closed   bool
}

// noReservation says that no socket holds the address.
const noReservation = -1

// openGate serves HTTP behind a gate.
func openGate(addr string, handler fasthttp.RequestHandler) (*gate, error) {
	srv := &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		Logger:                silentLogger{},
	}
	return openGateWith(addr, srv.Serve)
}

// openGateWith runs any server behind a gate.
func openGateWith(addr string, run func(net.Listener) error) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{run: run, addr: ln.Addr().String(), reserved: noReservation, conns: map[*gateConn]struct{}{}}
	g.serve(ln)
	return g, nil
}

// silentLogger keeps the lines of ordered faults out of the output.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

func (g *gate) serve(ln net.Listener) {
	g.ln = ln
	go func() { _ = g.run(&gateListener{Listener: ln, gate: g}) }()
}

// down closes the listener and every connection. The address stays bound, so
// that nothing else takes it and connecting is refused, as with a dead process.
func (g *gate) down() error {
	g.mu.Lock()
	if g.ln == nil || g.closed {
		g.mu.Unlock()
		return nil
	}
	_ = g.ln.Close()
	g.ln = nil
	fd, err := reserve(g.addr)
	if err == nil {
		g.reserved = fd
	}
	g.mu.Unlock()
	g.cut()
	return err
}

// up listens again after down.
func (g *gate) up() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil || g.closed {
		return nil
	}
	ln, err := g.relisten()
	if err != nil {
		return err
	}
	g.serve(ln)
	return nil
}

func (g *gate) relisten() (net.Listener, error) {
	if g.reserved == noReservation {
		return net.Listen("tcp", g.addr)
	}
	fd := g.reserved
	g.reserved = noReservation
	if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("listen again on %s: %w", g.addr, err)
	}
	file := os.NewFile(uintptr(fd), g.addr)
	defer func() { _ = file.Close() }()
	return net.FileListener(file)
}

// reserve binds the address without listening.
func reserve(addr string) (int, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return noReservation, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return noReservation, err
	}
	sa := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(sa.Addr[:], tcp.IP.To4())
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err != nil {
		_ = syscall.Close(fd)
		return noReservation, fmt.Errorf("hold the address %s: %w", addr, err)
	}
	return fd, nil
}

// cut closes every open connection.
func (g *gate) cut() {
	for _, c := range g.open() {
		_ = c.Close()
	}
}

// silenceOpen makes the open connections silent for good, both ways, as when
// something between the two ends has forgotten them. New ones work.
func (g *gate) silenceOpen() {
	for _, c := range g.open() {
		c.silent.Store(true)
	}
}

func (g *gate) open() []*gateConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*gateConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	return conns
}

// close ends the gate for good.
func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	if g.ln != nil {
		_ = g.ln.Close()
	}
	if g.reserved != noReservation {
		_ = syscall.Close(g.reserved)
		g.reserved = noReservation
	}
	g.mu.Unlock()
	g.cut()
}

type gateListener struct {
	net.Listener
	gate *gate
}

func (l *gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gateConn{Conn: conn, gate: l.gate, ended: make(chan struct{})}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.closed || l.gate.ln != l.Listener {
		_ = conn.Close()
		return c, nil
	}
	l.gate.conns[c] = struct{}{}
	return c, nil
}

// gateConn is a connection that can go silent: it takes what is written to it
// and brings nothing.
type gateConn struct {
	net.Conn
	gate   *gate
	silent atomic.Bool
	once   sync.Once
	ended  chan struct{}
}

func (c *gateConn) Read(p []byte) (int, error) {
	if !c.silent.Load() {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
	}
	t := time.NewTimer(silentLimit)
	defer t.Stop()
	select {
	case <-c.ended:
	case <-t.C:
	}
	return 0, net.ErrClosed
}

func (c *gateConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// ReservePort holds a free loopback port until release, so that nothing else
// takes it while the process that is to listen there is away. It can be
// listened on meanwhile.
func ReservePort() (addr string, release func(), err error) {
	fd, err := reserve("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	release = func() { _ = syscall.Close(fd) }
	name, err := syscall.Getsockname(fd)
	if err != nil {
		release()
		return "", nil, err
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		release()
		return "", nil, fmt.Errorf("hold a port: the socket's address is %T", name)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.Port), release, nil
}
