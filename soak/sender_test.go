package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/internal/sockdiag"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// sender is the instance process that sent a request to an endpoint. It is not the one that got it from
// the caller if that has forwarded it.
type sender struct{ instance, incarnation int }

// senderOf returns the process at the other end of a connection to an endpoint. If that has closed the
// connection, open is false, and the sender is the one that got the request from its caller.
func (x *server) senderOf(c *call, p *proxiedConn) (s sender, open bool) {
	if p == nil {
		return sender{c.instance, c.incarnation}, false
	}
	p.findSender.Do(func() { p.sender, p.hasSender = x.soak.ownerOf(p.caller) })
	if !p.hasSender {
		return sender{c.instance, c.incarnation}, false
	}
	return p.sender, true
}

// ownerOf returns the process at the other end of an accepted connection.
func (s *soak) ownerOf(accepted net.Conn) (owner sender, ok bool) {
	socket, err := sockdiag.Between(accepted.RemoteAddr(), accepted.LocalAddr())
	if err != nil {
		return sender{}, false
	}
	for _, i := range s.instances {
		if pid, incarnation := i.process(); ownsSocket(pid, socket.Inode) {
			return sender{i.n, incarnation}, true
		}
	}
	return sender{}, false
}

// closedByPeer reports whether the process at the other end has closed a connection. It asks for the state
// of that end's socket: until all data has been received, nothing of the close arrives at this end.
func closedByPeer(c net.Conn) bool {
	s, err := sockdiag.Between(c.RemoteAddr(), c.LocalAddr())
	return errors.Is(err, sockdiag.ErrNoSocket) || err == nil && s.State != sockdiag.Established && s.State != sockdiag.CloseWait
}

// unreadBy returns the number of bytes that this process has not read of a connection.
func unreadBy(c net.Conn) int64 {
	s, err := sockdiag.Between(c.LocalAddr(), c.RemoteAddr())
	if err != nil {
		return 0
	}
	return s.Unread
}

// sentByPeer returns the number of bytes that the process at the other end has written to a connection, to within
// controlBytes; false if the kernel has forgotten that.
func sentByPeer(c net.Conn) (bytes int64, known bool) {
	s, err := sockdiag.Between(c.RemoteAddr(), c.LocalAddr())
	if err != nil || s.Acknowledged < 0 {
		return 0, false
	}
	return s.Acknowledged + s.Unsent, true
}

// controlBytes is by how much the opening and the close of a connection may change its counts of bytes.
const controlBytes = 2

// ownsSocket reports whether a process has the socket open.
func ownsSocket(pid int, inode uint32) bool {
	files, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "fd", "*"))
	want := fmt.Sprintf("socket:[%d]", inode)
	return slices.ContainsFunc(files, func(file string) bool {
		to, err := os.Readlink(file)
		return err == nil && to == want
	})
}

// An endpoint that rejected a forwarded request has informed the instance that sent it, not the caller's, for
// how long it wants none: the soak reported an instance that had been informed of nothing.
func TestPauseIsOfTheSendingInstance(t *testing.T) {
	s := &soak{checker: newChecker(), told: map[told]time.Time{}, instances: []*instance{{n: 0}, {n: 1}}}
	x := &server{soak: s, Endpoint: &platformtest.Endpoint{ID: "pool-1"}}
	c := &call{id: "forwarded", instance: 0}
	x.pauses = []*pauseAsked{{sender: sender{instance: 1}, from: time.Now().Add(-time.Second), to: time.Now().Add(time.Minute)}}
	for range pauseTolerance + 1 {
		x.checkStatements(c, sender{instance: 0})
	}
	if v := s.checker.violations; len(v) != 0 {
		t.Errorf("requests of another instance: %v, want none", v)
	}
	for range pauseTolerance + 1 {
		x.checkStatements(c, sender{instance: 1})
	}
	if v := s.checker.violations; len(v) != 1 {
		t.Errorf("one request too many of the instance told so: %v, want 1 violation", v)
	}
}

// An endpoint's rejection that a silent link has dropped informs nobody for how long the endpoint wants no
// requests: the soak reported an instance that had not got it.
func TestPauseThatWasNotDeliveredBindsNobody(t *testing.T) {
	s := &soak{checker: newChecker(), told: map[told]time.Time{}, instances: []*instance{{n: 0}}}
	x := &server{soak: s, Endpoint: &platformtest.Endpoint{ID: "pool-1"}}
	conn := &proxiedConn{}
	x.pauses = []*pauseAsked{{conn: conn, from: time.Now().Add(-time.Second), to: time.Now().Add(time.Minute)}}
	send := func() {
		for range pauseTolerance + 1 {
			x.checkStatements(&call{id: "another"}, sender{})
		}
	}
	send()
	if v := s.checker.violations; len(v) != 0 {
		t.Errorf("%v, want none: nothing was passed on", v)
	}
	conn.passedDown.Add(1)
	send()
	if v := s.checker.violations; len(v) != 1 {
		t.Errorf("%v, want 1 violation by an instance that has got the rejection", v)
	}
}

// startLink starts a link to a target that the test accepts connections at.
func startLink(t *testing.T) (target net.Listener, l *link) {
	t.Helper()
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	if l, err = newLink(target.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return target, l
}

// The sender of a request is the process whose socket the connection to the endpoint is, also while other
// connections come and go; the soak reported instances for requests that others had sent. It is unknown
// once it has closed the connection.
func TestSenderOfAConnection(t *testing.T) {
	target, l := startLink(t)
	connect := func() (conn, accepted net.Conn) {
		var err error
		if conn, err = net.Dial("tcp4", l.address()); err == nil {
			accepted, err = target.Accept()
		}
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		if err == nil {
			_, err = accepted.Read(make([]byte, 1))
		}
		if err != nil {
			t.Fatal(err)
		}
		return conn, accepted
	}
	this, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	x := &server{soak: &soak{instances: []*instance{{n: 0}, {n: 1, incarnation: 3, running: this}}}}
	c := &call{instance: 0, incarnation: 1}
	const rounds = 200
	for range rounds {
		conn, accepted := connect()
		p := l.connFrom(accepted.RemoteAddr().String())
		if got, open := x.senderOf(c, p); got != (sender{1, 3}) || !open {
			t.Fatalf("sender %v, open %v, want this process", got, open)
		}
		abort(conn)
		_ = accepted.Close()
	}
	conn, accepted := connect()
	defer func() { _ = accepted.Close() }()
	abort(conn)
	if got, open := x.senderOf(c, l.connFrom(accepted.RemoteAddr().String())); got != (sender{0, 1}) || open {
		t.Errorf("sender %v, open %v of a closed connection, want the caller's instance", got, open)
	}
}

// A link that reads slowly sees the close of its caller's side while earlier data is unread. The soak reported
// instances that had closed at once: the close arrives only after all data.
func TestCloseBehindUnreadDataIsSeen(t *testing.T) {
	target, l := startLink(t)
	l.pressBack()
	l.set(impairment{upRate: 100_000})
	conn, err := net.Dial("tcp4", l.address())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	// More than the link's buffer holds: the rest stays in the sender's.
	if _, err := conn.Write(make([]byte, 300_000)); err != nil {
		t.Fatal(err)
	}
	// The link registers a connection after it has made it.
	var p *proxiedConn
	for until := time.Now().Add(5 * time.Second); p == nil && time.Now().Before(until); time.Sleep(time.Millisecond) {
		p = l.connFrom(accepted.RemoteAddr().String())
	}
	if p == nil {
		t.Fatal("the link does not know the connection")
	}
	time.Sleep(3 * slowReadInterval)
	if closed := p.callerClosed(); !closed.IsZero() {
		t.Fatalf("closed at %v, it is open", closed)
	}
	_ = conn.Close()
	time.Sleep(2 * slowReadInterval)
	if p.callerClosed().IsZero() {
		t.Error("the close behind unread data was not seen")
	}
	if n, err := accepted.Read(make([]byte, 64<<10)); err != nil || n > 30_000 {
		t.Errorf("%d bytes had been read after %v at 100 KB/s, %v", n, 5*slowReadInterval, err)
	}
}

// A router is not late because the caller has not read what was sent in time: not if it has closed the connection, and not
// if the answer was whole. It is if it sends nothing and keeps the connection open, or sends more later.
func TestCallerThatReadsSlowlyDoesNotMakeTheRouterLate(t *testing.T) {
	// The buffers on the way hold more than two of these.
	const answer = 64 << 10
	for name, c := range map[string]struct {
		sent, sentLater int
		closes, late    bool
	}{
		"closes in time":          {sent: answer, closes: true},
		"is whole in time":        {sent: answer},
		"sends nothing":           {late: true},
		"sends more later":        {sent: answer, sentLater: answer, late: true},
		"sends more, then closes": {sent: answer, sentLater: answer, closes: true, late: true},
		"sends a short answer":    {sentLater: 100, late: true},
	} {
		router, l := startLink(t)
		l.pressBack()
		ck := newChecker()
		conn, err := net.Dial("tcp4", l.address())
		if err != nil {
			t.Fatal(err)
		}
		x := &caller{soak: &soak{checker: ck}, instance: &instance{callers: l}, conn: conn}
		answering, err := router.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = answering.Write(make([]byte, c.sent))
		time.Sleep(100 * time.Millisecond)
		r := &call{id: "slow", sentAt: time.Now().Add(-callerTimeout), stopsFor: 10*time.Millisecond - platformtest.RouteTimeout - lateTolerance}
		defer x.noteSentInTime(r).Stop()
		time.Sleep(100 * time.Millisecond)
		r.stopsFor = 0
		_, _ = answering.Write(make([]byte, c.sentLater))
		time.Sleep(100 * time.Millisecond)
		if c.closes {
			_ = answering.Close()
		} else {
			defer func() { _ = answering.Close() }()
		}
		x.checkBrokenConnection(r, "")
		if late := len(ck.violations) > 0; late != c.late {
			t.Errorf("a router that %s: violations %v", name, ck.violations)
		}
	}
}
