package inbound

import "net"

// CloseUnread closes a connection with a reset, by which the client knows that its request was not read.
func CloseUnread(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
