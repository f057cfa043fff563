package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a TCP proxy to one address that simulates network faults: delays, lost data and resets.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
	// byAddress holds all connections so far, including closed ones, by the address that the
	// target sees. For a reused address it holds the newest.
	byAddress map[string]*proxiedConn
	// impairment applies to all connections, including new ones.
	impairment impairment
	// pressesBack gives new connections small buffers, so that a receiver that stops reading soon
	// stops the sender.
	pressesBack bool
}

// impairment is a fault of a link; the zero value is none.
type impairment struct {
	// delay is added to each read of bytes, in either direction.
	delay time.Duration
	// cutUp and cutDown drop the data to and from the target. New connections are accepted
	// but get no data, as in a network partition.
	cutUp, cutDown bool
	// upRate is the number of bytes per second that are read from each caller; 0 sets no limit. What
	// has not been read stays with the caller.
	upRate int
}

const (
	// slowReadInterval bounds the pause between two reads at a limited rate.
	slowReadInterval = 50 * time.Millisecond
	// smallBuffer is the size in bytes of the socket buffers of links that are to press back.
	smallBuffer = 64 << 10
)

// proxiedConn is one connection through a link: the sockets to its caller and its target.
type proxiedConn struct {
	caller, target net.Conn
	// blackholed connections stay open but pass no more data.
	blackholed bool
	// closedAt is when the caller's side closed, in Unix ns; 0 before that. It is recorded
	// even if the link does not forward the close.
	closedAt atomic.Int64
	// readDown is the number of bytes that were read from the target, passedDown of those that were passed
	// on to the caller.
	readDown, passedDown atomic.Int64
	// sender is the process at the caller's end, if hasSender is set; see server.senderOf.
	findSender sync.Once
	sender     sender
	hasSender  bool
}

// callerClosed returns when the caller's side closed; zero before that.
func (p *proxiedConn) callerClosed() time.Time {
	if ns := p.closedAt.Load(); ns > 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// newLink starts a link to target on a free port.
func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: map[*proxiedConn]bool{}, byAddress: map[string]*proxiedConn{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) close() {
	_ = l.ln.Close()
	l.reset(1)
}

// set replaces the link's impairment.
func (l *link) set(i impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairment = i
}

// blackhole makes all connections that are open now drop all further data.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholed = true
	}
}

// reset resets one in oneIn of the open connections: all if oneIn is 1, half of them if it is 2.
func (l *link) reset(oneIn int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.conns {
		if n++; n%oneIn == 0 {
			abort(p.caller)
			abort(p.target)
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// connFrom returns the connection that the target sees as coming from address, even if it is
// closed by now; nil if there was none.
func (l *link) connFrom(address string) *proxiedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byAddress[address]
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

const dialTimeout = time.Second

func (l *link) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp4", l.target, dialTimeout)
	if err != nil {
		abort(caller)
		return
	}
	p := &proxiedConn{caller: caller, target: target}
	l.mu.Lock()
	if l.pressesBack {
		for _, c := range []net.Conn{caller, target} {
			_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
			_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		}
	}
	l.conns[p] = true
	l.byAddress[target.LocalAddr().String()] = p
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.forwardBytes(p, caller, target, true) })
	wg.Go(func() { l.forwardBytes(p, target, caller, false) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// forwardBytes copies data in one direction until either end closes or resets. It then closes both,
// unless the link drops the connection's data. up is the direction to the target.
func (l *link) forwardBytes(p *proxiedConn, from, to net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf[:l.readSize(up, len(buf))])
		if !up {
			p.readDown.Add(int64(n))
		}
		if up && err != nil {
			p.closedAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		if up {
			l.readSlowly(p, n)
		}
		dropped := l.delayOrDrop(p, up)
		if n > 0 && !dropped {
			_, _ = to.Write(buf[:n])
			if !up {
				p.passedDown.Add(int64(n))
			}
		}
		if err == nil {
			continue
		}
		if dropped {
			// The close is dropped like the data.
			return
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}

// readSize returns how many bytes to read at once.
func (l *link) readSize(up bool, all int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate := l.impairment.upRate; up && rate > 0 {
		return min(all, max(1, int(float64(rate)*slowReadInterval.Seconds())))
	}
	return all
}

// readSlowly waits for as long as reading n bytes takes at the link's rate. The close of the caller's side
// shows behind unread data only in the socket's state.
func (l *link) readSlowly(p *proxiedConn, n int) {
	l.mu.Lock()
	rate := l.impairment.upRate
	l.mu.Unlock()
	if rate == 0 || n == 0 {
		return
	}
	time.Sleep(min(slowReadInterval, time.Duration(n)*time.Second/time.Duration(rate)))
	if closedByPeer(p.caller) {
		p.closedAt.CompareAndSwap(0, time.Now().UnixNano())
	}
}

// pressBack gives connections that open from now on small buffers.
func (l *link) pressBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pressesBack = true
}

// downstream is the way from the router over a link to a caller. conn is nil if the link has closed it.
type downstream struct {
	caller net.Conn
	conn   *proxiedConn
}

// downstream returns the way to one end of a connection through the link.
func (l *link) downstream(caller net.Conn) downstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if p.caller.RemoteAddr().String() == caller.LocalAddr().String() {
			return downstream{caller, p}
		}
	}
	return downstream{caller: caller}
}

// closed reports whether the router has closed its end, also while bytes that it has sent before are not read yet.
func (d downstream) closed() bool {
	return d.conn == nil || closedByPeer(d.caller) || closedByPeer(d.conn.target)
}

// unread reports whether the link or the caller has not read all that the router has sent.
func (d downstream) unread() bool {
	return unreadBy(d.caller) > 0 || d.conn != nil && unreadBy(d.conn.target) > 0
}

// sent returns the number of bytes that the router's process has sent, to within controlBytes; 0 if the link had closed the
// connection.
func (d downstream) sent() int64 {
	if d.conn == nil {
		return 0
	}
	if n, known := sentByPeer(d.conn.target); known {
		return n
	}
	return d.conn.readDown.Load() + unreadBy(d.conn.target)
}

// delayOrDrop waits for the link's delay and reports whether the data is to be dropped.
func (l *link) delayOrDrop(p *proxiedConn, up bool) (dropped bool) {
	l.mu.Lock()
	i, blackholed := l.impairment, p.blackholed
	l.mu.Unlock()
	if i.delay > 0 {
		time.Sleep(i.delay)
	}
	if blackholed || up && i.cutUp || !up && i.cutDown {
		// TCP never delivers a stream with bytes missing, so drop everything from now on.
		l.mu.Lock()
		p.blackholed = true
		l.mu.Unlock()
		return true
	}
	return false
}
