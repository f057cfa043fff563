package emulator

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkDialTimeout bounds the opening of a forwarded connection.
const linkDialTimeout = time.Second

// Link forwards connections between two processes and can forget them, as a
// middlebox does.
type Link struct {
	gate   *gate
	target string
}

// StartLink listens on addr and forwards to target until Close.
func StartLink(addr, target string) (*Link, error) {
	l := &Link{target: target}
	gate, err := openGateWith(addr, l.serve)
	if err != nil {
		return nil, err
	}
	l.gate = gate
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.gate.addr }

// SilenceOpen makes the connections that are open now silent for good; new
// ones work.
func (l *Link) SilenceOpen() { l.gate.silenceOpen() }

// CutOpen closes the connections that are open now.
func (l *Link) CutOpen() { l.gate.cut() }

// Close ends the link and its connections.
func (l *Link) Close() { l.gate.close() }

func (l *Link) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go l.forward(conn)
	}
}

// forward copies both ways until either end closes.
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
