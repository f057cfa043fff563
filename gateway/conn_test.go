package gateway

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/logline/logtest"
)

// A caller's connection breaks while its answer is written. The request's log line says 200 though
// the caller received nothing; without a line about the failed write, the log contradicts the
// caller.
func TestUndeliveredAnswerIsLogged(t *testing.T) {
	lines := logtest.Record(t)
	caller, server := net.Pipe()
	c := &callerConn{Conn: server, request: "id-1"}
	_ = caller.Close()
	for range 2 {
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err == nil {
			t.Fatal("write to a closed connection succeeded")
		}
	}
	got := lines.Lines("answer not delivered")
	if len(got) != 1 || got[0]["request"] != "id-1" {
		t.Errorf("lines %v, want one with the request's ID", got)
	}
}

// A caller sends bytes that can't be parsed as a request. There is no request ID, so on-call
// searches the log by the caller's address and the time. The line must not contain the caller's
// key.
func TestUnreadableRequestIsLogged(t *testing.T) {
	lines := logtest.Record(t)
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 4711}, nil)
	handleUnreadable(&ctx, fasthttp.ErrBodyTooLarge)
	got := lines.Lines("request unreadable")
	if len(got) != 1 || got[0]["caller"] != "10.0.0.7:4711" || got[0]["status"] != fasthttp.StatusRequestEntityTooLarge {
		t.Errorf("lines %v", got)
	}
}

// The next request on a persistent connection can't be parsed, and the caller disconnects before
// the refusal is written. A log line with the previous request's ID would point on-call to a
// request that was answered correctly.
func TestUndeliveredRefusalIsNotLoggedForThePreviousRequest(t *testing.T) {
	lines := logtest.Record(t)
	caller, server := net.Pipe()
	c := &callerConn{Conn: server, request: "before"}
	var ctx fasthttp.RequestCtx
	ctx.Init2(c, countingLogger{}, false)
	handleUnreadable(&ctx, fasthttp.ErrBodyTooLarge)
	_ = caller.Close()
	_, _ = c.Write([]byte("HTTP/1.1 413 Request Entity Too Large\r\n"))
	if got := lines.Lines("answer not delivered"); len(got) != 0 {
		t.Errorf("lines %v, want none", got)
	}
}
