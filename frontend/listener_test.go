package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener returns the errors one after the other, and a connection for nil.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	c, _ := net.Pipe()
	return c, nil
}

// A burst of connections uses up the process's file descriptors. The listener must continue to
// accept once some are free again; callers would otherwise connect and never get an answer.
func TestListenerSurvivesTransientAcceptErrors(t *testing.T) {
	l := &listener{writeTimeout: time.Second, Listener: &failingListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, nil, syscall.EINVAL}}}
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Fatalf("got %v for the end of the listener", err)
	}
}

// Guards against a whole answer that is lost by a reset, since the caller has sent its next request when the connection is closed.
func TestAnswerIsNotLostToBytesThatNobodyReads(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	l := &listener{Listener: ln, writeTimeout: time.Second}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	const answer, next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "GET / HTTP/1.1\r\n\r\n"
	if _, err := io.WriteString(caller, next); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(c, answer); err != nil {
		t.Fatal(err)
	}
	go func() { _ = c.Close() }()
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	time.Sleep(50 * time.Millisecond)
	if got, err := io.ReadAll(caller); string(got) != answer || err != nil {
		t.Errorf("%q and %v, want the answer and the end of the connection", got, err)
	}
}
