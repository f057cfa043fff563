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

// unresponsiveTimeout is the time after which an unresponsive connection is closed, so that long
// runs do not accumulate such connections without bound.
const unresponsiveTimeout = 2 * time.Minute

const (
	// slowReadInterval bounds the pause between two reads at a limited rate.
	slowReadInterval = 50 * time.Millisecond
	// slowReadBuffer is the size in bytes of a slow reader's receive buffer. It is small, so that
	// what is not read stays with the sender.
	slowReadBuffer = 4096
)

// listener is a stand-in's TCP listener with fault injection. It can close its connections, make
// the open ones unresponsive while new ones work, and go down and come back on the same address.
type listener struct {
	run  func(net.Listener) error
	addr string
	// readRate is the number of bytes per second that each connection reads; 0 sets no limit.
	readRate float64

	mu       sync.Mutex
	ln       net.Listener
	reserved int
	conns    map[*faultConn]struct{}
	closed   bool
}

// noReservation means that no socket reserves the address.
const noReservation = -1

// listenHTTP serves HTTP on a listener with fault injection, whose connections read readRate bytes
// per second (0 sets no limit).
func listenHTTP(addr string, readRate float64, handler fasthttp.RequestHandler) (*listener, error) {
	srv := &fasthttp.Server{
		// Bodies are compared as they were sent.
		DisablePreParseMultipartForm: true,
		Handler:                      handler,
		NoDefaultServerHeader:        true,
		MaxRequestBodySize:           64 << 20,
		Logger:                       discardLogger{},
	}
	return listenWith(addr, readRate, srv.Serve)
}

// listenWith runs any server on a listener with fault injection.
func listenWith(addr string, readRate float64, run func(net.Listener) error) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &listener{run: run, addr: ln.Addr().String(), readRate: readRate, reserved: noReservation, conns: map[*faultConn]struct{}{}}
	l.serve(ln)
	return l, nil
}

// discardLogger keeps fasthttp's log lines about injected faults out of the output.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (l *listener) serve(ln net.Listener) {
	l.ln = ln
	go func() { _ = l.run(&acceptListener{Listener: ln, listener: l}) }()
}

// down closes the listener and every connection. The address stays bound, so that no other process
// takes it and connections are refused, as with a dead process.
func (l *listener) down() error {
	l.mu.Lock()
	if l.ln == nil || l.closed {
		l.mu.Unlock()
		return nil
	}
	_ = l.ln.Close()
	l.ln = nil
	fd, err := reserve(l.addr)
	if err == nil {
		l.reserved = fd
	}
	l.mu.Unlock()
	l.cut()
	return err
}

// up listens again after down.
func (l *listener) up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.closed {
		return nil
	}
	ln, err := l.relisten()
	if err != nil {
		return err
	}
	l.serve(ln)
	return nil
}

func (l *listener) relisten() (net.Listener, error) {
	if l.reserved == noReservation {
		return net.Listen("tcp", l.addr)
	}
	fd := l.reserved
	l.reserved = noReservation
	if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
		_ = syscall.Close(fd)
		return nil, fmt.Errorf("listen again on %s: %w", l.addr, err)
	}
	file := os.NewFile(uintptr(fd), l.addr)
	defer func() { _ = file.Close() }()
	return net.FileListener(file)
}

// reserve binds the address without listening and returns the socket.
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
		return noReservation, fmt.Errorf("reserve address %s: %w", addr, err)
	}
	return fd, nil
}

// cut closes every open connection.
func (l *listener) cut() {
	for _, c := range l.open() {
		_ = c.Close()
	}
}

// stallOpen makes the open connections unresponsive in both directions until they are closed, as
// when a middlebox has dropped their state. New connections work.
func (l *listener) stallOpen() {
	for _, c := range l.open() {
		c.stalled.Store(true)
	}
}

func (l *listener) open() []*faultConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*faultConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// close shuts the listener down permanently.
func (l *listener) close() {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		_ = l.ln.Close()
	}
	if l.reserved != noReservation {
		_ = syscall.Close(l.reserved)
		l.reserved = noReservation
	}
	l.mu.Unlock()
	l.cut()
}

// acceptListener registers accepted connections with the listener, which injects the faults.
type acceptListener struct {
	net.Listener
	listener *listener
}

func (l *acceptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && l.listener.readRate > 0 {
		_ = tcp.SetReadBuffer(slowReadBuffer)
	}
	c := &faultConn{Conn: conn, listener: l.listener, ended: make(chan struct{})}
	l.listener.mu.Lock()
	defer l.listener.mu.Unlock()
	if l.listener.closed || l.listener.ln != l.Listener {
		_ = conn.Close()
		return c, nil
	}
	l.listener.conns[c] = struct{}{}
	return c, nil
}

// faultConn is a connection that can become unresponsive: it then discards what is written to it,
// and reads block.
type faultConn struct {
	net.Conn
	listener *listener
	stalled  atomic.Bool
	once     sync.Once
	ended    chan struct{}
}

func (c *faultConn) Read(p []byte) (int, error) {
	if !c.stalled.Load() {
		n, err := c.readAtRate(p)
		if !c.stalled.Load() {
			return n, err
		}
	}
	t := time.NewTimer(unresponsiveTimeout)
	defer t.Stop()
	select {
	case <-c.ended:
	case <-t.C:
	}
	return 0, net.ErrClosed
}

// readAtRate reads like the connection, at most at the listener's rate.
func (c *faultConn) readAtRate(p []byte) (int, error) {
	rate := c.listener.readRate
	if rate <= 0 {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), max(1, int(rate*slowReadInterval.Seconds())))])
	if n > 0 {
		Pace(1).sleep(time.Duration(float64(n)/rate*float64(time.Second)), c.ended)
	}
	return n, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// ReservePort reserves a free loopback port until release is called, so that no other process takes
// it while the process that is to listen there is down. The port can be listened on meanwhile.
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
		return "", nil, fmt.Errorf("reserve a port: unexpected socket address type %T", name)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.Port), release, nil
}
