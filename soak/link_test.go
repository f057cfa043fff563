package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link forwards connections to one address and harms them on request. Whoever is
// behind it sees what a network does: late bytes, bytes that never come, resets.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	pairs map[*pair]bool
	// seen are all connections there were, by the address that the target sees. An address
	// that is used again names the newest.
	seen map[string]*pair
	// harm is what befalls bytes and new connections now.
	harm harm
}

// harm is the state of a link.
type harm struct {
	// delay of each piece of bytes, either way.
	delay time.Duration
	// cutUp and cutDown drop what goes to the target and what comes back. New
	// connections are taken and hear nothing, as behind a partition.
	cutUp, cutDown bool
}

// pair is one connection through a link, from both sides.
type pair struct {
	caller, target net.Conn
	// silent connections bring nothing for good, though they stay open.
	silent bool
	// closedAt is when the caller's side closed, in ns since 1970; 0 before. It is seen
	// here whatever the link does with it.
	closedAt atomic.Int64
}

// callerClosed returns when the caller's side closed; zero before.
func (p *pair) callerClosed() time.Time {
	if ns := p.closedAt.Load(); ns > 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// newLink listens on a free port.
func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, pairs: map[*pair]bool{}, seen: map[string]*pair{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) close() {
	_ = l.ln.Close()
	l.reset(1)
}

// set replaces the link's state.
func (l *link) set(h harm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harm = h
}

// silence makes all connections that are open now bring nothing for good.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
}

// reset resets each open connection whose turn it is: all with every 1, a half
// with 2.
func (l *link) reset(every int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.pairs {
		if n++; n%every == 0 {
			abort(p.caller)
			abort(p.target)
		}
	}
}

// abort closes a connection such that the other end sees a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// pairTo returns the connection that the target sees as coming from an address, also once it
// has ended; nil if there was none.
func (l *link) pairTo(address string) *pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[address]
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

const dialBound = time.Second

func (l *link) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp4", l.target, dialBound)
	if err != nil {
		abort(caller)
		return
	}
	p := &pair{caller: caller, target: target}
	l.mu.Lock()
	l.pairs[p] = true
	l.seen[target.LocalAddr().String()] = p
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(p, caller, target, true) })
	wg.Go(func() { l.pump(p, target, caller, false) })
	wg.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// pump passes bytes on in one direction until either end closes. An end that
// closes cleanly is told to the other one; a reset too.
func (l *link) pump(p *pair, from, to net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if up && err != nil {
			p.closedAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		dropped := l.pass(p, up)
		if n > 0 && !dropped {
			_, _ = to.Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if dropped {
			// Its end is as lost as its bytes.
			return
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}

// pass waits for the link's delay and reports whether the bytes are lost.
func (l *link) pass(p *pair, up bool) (dropped bool) {
	l.mu.Lock()
	h, silent := l.harm, p.silent
	l.mu.Unlock()
	if h.delay > 0 {
		time.Sleep(h.delay)
	}
	if silent || up && h.cutUp || !up && h.cutDown {
		// A stream without some of its bytes is no network's doing: from now on
		// nothing of it comes through.
		l.mu.Lock()
		p.silent = true
		l.mu.Unlock()
		return true
	}
	return false
}
