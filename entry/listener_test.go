package entry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// fullListener has no free file descriptors for a while, then ends.
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

// A burst uses up the process's file descriptors. The listener must go on when
// some are free again; a caller would otherwise connect and wait for ever.
func TestListenerSurvivesTransientAcceptErrors(t *testing.T) {
	l := &listener{writeTimeout: time.Second, Listener: &failingListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, nil, syscall.EINVAL}}}
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Fatalf("got %v for the end of the listener", err)
	}
}
