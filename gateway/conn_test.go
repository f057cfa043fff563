package gateway

import (
	"net"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/valyala/fasthttp"
)

// recorder keeps lines.
type recorder struct {
	mu    sync.Mutex
	lines []*log.Entry
}

// record has all lines recorded until the test ends.
func record(t *testing.T) *recorder {
	r := &recorder{}
	log.SetHandler(r)
	t.Cleanup(func() { log.SetHandler(discard.New()) })
	return r
}

// HandleLog implements log.Handler.
func (r *recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, e)
	return nil
}

// count returns how many lines tell of an event with a field's value.
func (r *recorder) count(event, field string, value any) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.lines {
		if e.Message == event && e.Fields[field] == value {
			n++
		}
	}
	return n
}

// A caller's connection breaks while its answer is written. The line of the request says
// 200, and the caller says that nothing came; without a line on the write on-call takes
// one of them for a liar.
func TestUndeliveredAnswerHasALine(t *testing.T) {
	lines := record(t)
	caller, router := net.Pipe()
	c := &callerConn{Conn: router, request: "id-1"}
	_ = caller.Close()
	for range 2 {
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n")); err == nil {
			t.Fatal("written to a closed connection")
		}
	}
	if n := lines.count("answer not delivered", "request", "id-1"); n != 1 {
		t.Errorf("%d lines tell of the answer, want one", n)
	}
}

// A caller sends what can't be read as a request. Its complaint has no id; on-call finds
// it by its address and the time, and the line must not show its key.
func TestUnreadableRequestHasALine(t *testing.T) {
	lines := record(t)
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 7), Port: 4711}, nil)
	unreadable(&ctx, fasthttp.ErrBodyTooLarge)
	if lines.count("request unreadable", "caller", "10.0.0.7:4711") != 1 || lines.count("request unreadable", "status", 413) != 1 {
		t.Errorf("lines %v", lines.lines)
	}
}
