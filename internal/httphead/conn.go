package httphead

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"
)

// maxConnHead bounds the head of a response on a checked connection, in bytes. It is the buffer of the HTTP library's clients.
const maxConnHead = 4 << 10

// CheckResponses returns a connection for a client of the HTTP library that sends one request after the other on c. Heads of responses
// are read by the client when they are whole and not malformed; otherwise reading fails with an *Error.
func CheckResponses(c net.Conn) net.Conn {
	return &checkedConn{Conn: c, br: bufio.NewReaderSize(c, maxConnHead)}
}

// CheckedDial returns dial with CheckResponses on its connections.
func CheckedDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return CheckResponses(c), nil
	}
}

// checkedConn is a connection with the heads of responses checked. Like the client that uses it, it is not safe for concurrent use, but
// for Close.
type checkedConn struct {
	net.Conn
	br *bufio.Reader
	// awaited is set until the head of a final response has been checked.
	awaited bool
	// checked is how many bytes of a checked head have not been read.
	checked int
}

// Write implements net.Conn. What is received after a request begins with the head of its response.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.awaited, c.checked = true, 0
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.awaited && c.checked == 0 {
		if err := c.check(); err != nil {
			// The client drops an error that comes before the first byte of a response.
			first, _ := c.br.Peek(min(1, c.br.Buffered()))
			return copy(p, first), err
		}
	}
	if c.checked == 0 {
		return c.br.Read(p)
	}
	n, err := c.br.Read(p[:min(len(p), c.checked)])
	c.checked -= n
	return n, err
}

// check receives the next head and checks it.
func (c *checkedConn) check() error {
	head, err := await(c.br)
	if err != nil {
		return err
	}
	informational, err := checkResponse(head)
	if err != nil {
		return err
	}
	c.awaited, c.checked = informational, len(head)
	return nil
}
