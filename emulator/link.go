package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkDialTimeout bounds connecting to the target.
const linkDialTimeout = time.Second

// Link forwards TCP connections to a target and can silently drop them, as a middlebox does that
// has lost their state.
type Link struct {
	listener *listener
	target   string
}

// StartLink listens on addr and forwards to target until Close.
func StartLink(addr, target string) (*Link, error) {
	l := &Link{target: target}
	listener, err := listenWith(addr, 0, l.serve)
	if err != nil {
		return nil, err
	}
	l.listener = listener
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.addr }

// StallOpen makes the currently open connections unresponsive without closing them; new ones
// work.
func (l *Link) StallOpen() { l.listener.stallOpen() }

// CutOpen closes the currently open connections.
func (l *Link) CutOpen() { l.listener.cut() }

// Close closes the listener and all connections.
func (l *Link) Close() { l.listener.close() }

func (l *Link) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(conn)
	}
}

// forward copies in both directions until either end closes.
func (l *Link) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	})
	both.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	both.Wait()
}
