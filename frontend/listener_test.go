package frontend

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/inbound"
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
	l := &listener{writeTimeout: time.Second, conns: inbound.NewConnections("caller", 0), Listener: &failingListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, nil, syscall.EINVAL}}}
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Fatalf("got %v for the end of the listener", err)
	}
}
