package gateway

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/logline/logtest"
)

// A caller's connection breaks while its answer is written. The line of the request says
// 200, and the caller says that nothing came; without a line on the write on-call takes
// one of them for a liar.
func TestUndeliveredAnswerHasALine(t *testing.T) {
	lines := logtest.Record(t)
	caller, router := net.Pipe()
	c := &callerConn{Conn: router, request: "id-1"}
	_ = caller.Close()
	for range 2 {
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err == nil {
			t.Fatal("written to a closed connection")
		}
	}
	told := lines.Lines("answer not delivered")
	if len(told) != 1 || told[0]["request"] != "id-1" {
		t.Errorf("lines %v, want one that tells of the answer", told)
	}
}

// A caller sends what can't be read as a request. Its complaint has no id; on-call finds
// it by its address and the time, and the line must not show its key.
func TestUnreadableRequestHasALine(t *testing.T) {
	lines := logtest.Record(t)
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 4711}, nil)
	unreadable(&ctx, fasthttp.ErrBodyTooLarge)
	told := lines.Lines("request unreadable")
	if len(told) != 1 || told[0]["caller"] != "10.0.0.7:4711" || told[0]["status"] != fasthttp.StatusRequestEntityTooLarge {
		t.Errorf("lines %v", told)
	}
}

// The next request on a kept connection can't be read, and the caller has gone when it is told
// so. A line that names the request before would send on-call to one that was answered well.
func TestUndeliveredRefusalIsNotToldOfTheRequestBefore(t *testing.T) {
	lines := logtest.Record(t)
	caller, router := net.Pipe()
	c := &callerConn{Conn: router, request: "before"}
	var ctx fasthttp.RequestCtx
	ctx.Init2(c, quietLogger{}, false)
	unreadable(&ctx, fasthttp.ErrBodyTooLarge)
	_ = caller.Close()
	_, _ = c.Write([]byte("HTTP/1.1 413 Request Entity Too Large\r\n"))
	if told := lines.Lines("answer not delivered"); len(told) != 0 {
		t.Errorf("lines %v, want none", told)
	}
}
