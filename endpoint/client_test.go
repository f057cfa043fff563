package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	dialTimeout = time.Second
	readTimeout = 200 * time.Millisecond
)

// peer is an endpoint whose behaviour the test determines for each request.
type peer struct {
	ln    net.Listener
	conns atomic.Int64
	runs  atomic.Int64
}

// serve calls handle for each request that was read whole until it returns false, and then
// closes the connection.
func serve(t *testing.T, handle func(n int64, w io.Writer) bool) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serveConn(c, handle)
		}
	}()
	return p
}

func (p *peer) serveConn(c net.Conn, handle func(n int64, w io.Writer) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		if !handle(p.runs.Add(1), c) {
			return
		}
	}
}

func (p *peer) client() *endpoint.Client {
	return endpoint.NewClient(p.ln.Addr().String(), dialTimeout, readTimeout)
}

func reply(w io.Writer, status, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Engine-Incarnation: 7\r\nX-Model-Version: v3\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func generate(c *endpoint.Client) (endpoint.Stream, error) {
	return c.Generate(context.Background(), endpoint.Request{ID: "r", Path: "/v1/completions", Body: []byte("{}")})
}

// The engine reads a request, starts it and drops the connection. An HTTP client that retries
// such a call on its own would run the request twice, and a customer would get two shipments.
func TestDroppedConnectionIsNotRetried(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(fmt.Sprintf("reused=%v", reused), func(t *testing.T) {
			warm := int64(0)
			if reused {
				warm = 1
			}
			p := serve(t, func(n int64, w io.Writer) bool {
				if n <= warm {
					reply(w, "200 OK", "{}")
					return true
				}
				return false
			})
			c := p.client()
			if reused {
				if _, err := c.Load(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			_, err := generate(c)
			if !fault.Is(err, fault.Broken) {
				t.Fatalf("got %v, want a broken connection", err)
			}
			if got := p.runs.Load() - warm; got != 1 {
				t.Fatalf("the engine read the request %d times", got)
			}
			if got := p.conns.Load(); got != 1 {
				t.Fatalf("%d connections were opened", got)
			}
		})
	}
}

// Guards against an extra rejection on a connection that is used again, which has a request sent twice.
func TestRejectionThatNamesNoRequestCountsOnANewConnectionOnly(t *testing.T) {
	for _, c := range []struct {
		kept, named bool
		want        fault.Kind
	}{{false, false, fault.Overloaded}, {false, true, fault.Overloaded}, {true, false, fault.Broken}, {true, true, fault.Overloaded}} {
		p := serve(t, func(n int64, w io.Writer) bool {
			switch {
			case c.kept && n == 1:
				reply(w, "200 OK", "{}")
			case c.named:
				reply(w, "503 Unavailable\r\nX-Request-Id: r", `{"error":{"code":"not_started"}}`)
			default:
				reply(w, "503 Unavailable", `{"error":{"code":"not_started"}}`)
			}
			return true
		})
		client := p.client()
		if c.kept {
			if _, err := client.Load(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := generate(client); fault.KindOf(err) != c.want {
			t.Errorf("%+v: kind %s", c, fault.KindOf(err))
		}
	}
}

// The same for a plain service and every method that HTTP clients consider safe to retry.
func TestDroppedServiceCallIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "DELETE", "POST"} {
		p := serve(t, func(int64, io.Writer) bool { return false })
		s := endpoint.NewService(p.ln.Addr().String(), dialTimeout)
		_, err := s.Do(context.Background(), endpoint.ServiceRequest{Method: method, URI: "/x", ID: "r"})
		if !fault.Is(err, fault.Broken) {
			t.Fatalf("%s: got %v, want a broken connection", method, err)
		}
		if got := p.runs.Load(); got != 1 {
			t.Fatalf("%s ran %d times", method, got)
		}
	}
}

// The kind of an error decides whether a caller is answered "not run". Only the engine's own
// not_started code and a connection that was never opened may give the kinds that allow this.
func TestErrorKinds(t *testing.T) {
	tests := []struct {
		status, body string
		want         fault.Kind
	}{
		{"503 Unavailable", `{"error":{"code":"not_started"}}`, fault.Overloaded},
		{"429 Too Many Requests", `{"error":{"code":"not_started"}}`, fault.Overloaded},
		{"503 Unavailable", `{"error":{"code":"gone"}}`, fault.Broken},
		{"503 Unavailable", `upstream not_started`, fault.Broken},
		{"500 Internal", `{"error":{"code":"not_started"}}`, fault.Broken},
		{"400 Bad", `{"error":{"code":"not_started"}}`, fault.BadRequest},
		{"404 Not Found", ``, fault.NotFound},
		{"409 Conflict", `{"error":{"code":"stale_fence"}}`, fault.StaleFence},
		{"409 Conflict", `{}`, fault.Conflict},
	}
	for _, tt := range tests {
		p := serve(t, func(_ int64, w io.Writer) bool { reply(w, tt.status, tt.body); return true })
		_, err := generate(p.client())
		if got := fault.KindOf(err); got != tt.want {
			t.Errorf("%s %s: kind %s, want %s", tt.status, tt.body, got, tt.want)
		}
		var status *endpoint.StatusError
		if !errors.As(err, &status) || string(status.Body) != tt.body {
			t.Errorf("%s: the endpoint's own body is lost", tt.status)
		}
	}
}

func TestClosedPortIsUnavailable(t *testing.T) {
	p := serve(t, func(int64, io.Writer) bool { return true })
	c := p.client()
	_ = p.ln.Close()
	if _, err := generate(c); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}

// An engine computes a long prompt and sends only heartbeats. If these did not prevent the read
// time-out, the router would have the prompt computed again elsewhere.
func TestHeartbeatsPreventReadTimeout(t *testing.T) {
	const beats = 6
	p := serve(t, func(_ int64, w io.Writer) bool {
		fmt.Fprint(w, streamHead)
		for range beats {
			time.Sleep(readTimeout / 3)
			chunk(w, ": beat\n\n")
		}
		chunk(w, "id: r/0\ndata: {}\n\n")
		<-t.Context().Done()
		return false
	})
	s, err := generate(p.client())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	piece, err := s.Next()
	if err != nil || piece.ID != "r" || piece.Index != 0 {
		t.Fatalf("got %+v, %v", piece, err)
	}
	if s.Incarnation() != 7 || s.ModelVersion() != "v3" {
		t.Fatalf("incarnation %d, version %q", s.Incarnation(), s.ModelVersion())
	}
	if _, err := s.Next(); !fault.Is(err, fault.Broken) {
		t.Fatalf("got %v after the read time-out, want broken", err)
	}
}

// A finished stream leaves its connection to the next request, which saves a dial. A request
// with Fresh, which must not be lost on a connection dropped on the way, always gets a new one.
func TestConnectionReuse(t *testing.T) {
	p := serve(t, func(_ int64, w io.Writer) bool {
		fmt.Fprint(w, streamHead)
		chunk(w, "id: r/0\ndata: {}\n\ndata: [DONE]\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
		return true
	})
	c := p.client()
	for n, fresh := range []bool{false, false, true, true} {
		s, err := c.Generate(context.Background(), endpoint.Request{ID: "r", Path: "/v1/completions", Fresh: fresh})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(); err != io.EOF {
			t.Fatalf("end of stream: %v", err)
		}
		s.Close()
		if want := []int64{1, 1, 2, 3}[n]; p.conns.Load() != want {
			t.Fatalf("after call %d: %d connections, want %d", n, p.conns.Load(), want)
		}
	}
}

// A stream is cut in the middle of an event. The incomplete event must not reach the caller.
func TestTruncatedStreamIsBroken(t *testing.T) {
	p := serve(t, func(_ int64, w io.Writer) bool {
		fmt.Fprint(w, streamHead)
		chunk(w, "id: r/0\ndata: {}\n\nid: r/1\ndata: {\"te")
		return false
	})
	s, err := generate(p.client())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); !fault.Is(err, fault.Broken) {
		t.Fatalf("got %v, want broken", err)
	}
}
