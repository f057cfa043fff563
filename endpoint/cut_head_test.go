package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// caller sends requests to one endpoint on connections that it keeps.
type caller struct {
	client  *endpoint.Client
	service *endpoint.Service
	relay   *endpoint.Relay
}

func newCaller(addr string, readTimeout time.Duration) *caller {
	return &caller{endpoint.NewClient(addr, dialTimeout, readTimeout), endpoint.NewService(addr, dialTimeout), endpoint.NewRelay(addr, dialTimeout, time.Second)}
}

// emptyObject is a whole answer.
const emptyObject = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

func (c *caller) close() { c.client.Close(); c.service.Close(); c.relay.Close() }

// readers are all ways to read an answer, by the type that reads it. The first of each type sends on a kept connection.
var readers = map[string][]func(context.Context, *caller) error{
	"client": {
		func(ctx context.Context, c *caller) error { _, err := c.client.Load(ctx); return err },
		func(ctx context.Context, c *caller) error { _, err := c.client.State(ctx); return err },
		func(ctx context.Context, c *caller) error { return c.client.Order(ctx, endpoint.Order{}, nil) },
		func(ctx context.Context, c *caller) error { return c.client.Cancel(ctx, "r") },
		func(ctx context.Context, c *caller) error {
			_, err := c.client.Export(ctx, endpoint.KVHandle{})
			return err
		},
		func(ctx context.Context, c *caller) error {
			_, err := c.client.Import(ctx, endpoint.KVHandle{})
			return err
		},
		func(ctx context.Context, c *caller) error { _, err := c.client.Events(ctx, 0, time.Second); return err },
		func(ctx context.Context, c *caller) error { _, err := c.client.Resume(ctx, "r", 0); return err },
		func(ctx context.Context, c *caller) error {
			_, err := c.client.Generate(ctx, endpoint.Request{ID: "r", Path: "/v1/completions"})
			return err
		},
	},
	"service": {serviceCall("GET"), serviceCall("POST"), serviceCall("HEAD")},
	"relay":   {relayCall("GET"), relayCall("POST"), relayCall("HEAD")},
}

func serviceCall(method string) func(context.Context, *caller) error {
	return func(ctx context.Context, c *caller) error {
		_, err := c.service.Do(ctx, endpoint.ServiceRequest{Method: method, URI: "/x", ID: "r"})
		return err
	}
}

func relayCall(method string) func(context.Context, *caller) error {
	return func(ctx context.Context, c *caller) error {
		in, err := c.relay.Open(ctx, endpoint.Outgoing{Head: []byte(method + " /x HTTP/1.1\r\nHost: e\r\n\r\n"), Bodiless: method == fasthttp.MethodHead})
		if err != nil {
			return err
		}
		if _, err := in.ReadAll(); err != nil {
			in.Drop()
			return err
		}
		in.Finish()
		return nil
	}
}

// cutCase is one answer of which only a part of the head arrives.
type cutCase struct {
	platformtest.Cut
	reader string
	call   int
	// kept sends another request on the connection first, which is answered whole.
	kept bool
}

func cutCases() (all []cutCase) {
	for n, cut := range platformtest.Cuts("") {
		for name, calls := range readers {
			all = append(all, cutCase{cut, name, n / 4 % len(calls), n/2%2 == 1})
		}
	}
	return all
}

// Guards against an answer whose head was cut short, and that counts as a whole one, or as a statement that the request
// was not run.
func TestAnswerCutInItsHeadIsBroken(t *testing.T) {
	const parallel = 8
	cases := cutCases()
	var next, reused atomic.Int64
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			var current atomic.Pointer[cutCase]
			var kept atomic.Pointer[net.Conn]
			var warm atomic.Bool
			e, err := platformtest.NewEndpoint("e", func(x *platformtest.Exchange) bool {
				c := current.Load()
				if warm.Load() {
					kept.Store(&x.Conn)
					x.Write(emptyObject)
					return true
				}
				if k := kept.Load(); c.kept && k != nil && x.Conn == *k {
					reused.Add(1)
				}
				x.WriteCut(c.Cut, "")
				return false
			})
			if err != nil {
				t.Error(err)
				return
			}
			defer e.Close()
			for n := next.Add(1) - 1; int(n) < len(cases); n = next.Add(1) - 1 {
				c := cases[n]
				current.Store(&c)
				by := newCaller(e.Address(), 10*time.Second)
				if c.kept {
					warm.Store(true)
					if err := readers[c.reader][0](t.Context(), by); err != nil {
						t.Errorf("%+v: %v before the cut", c, err)
					}
					warm.Store(false)
				}
				if err := readers[c.reader][c.call](t.Context(), by); !fault.Is(err, fault.Broken) {
					t.Errorf("%+v: %v, want a broken connection", c, err)
				}
				by.close()
			}
		})
	}
	wg.Wait()
	if t.Logf("%d cases, %d on a kept connection", len(cases), reused.Load()); int(reused.Load()) < len(cases)/4 {
		t.Error("too few on a kept connection")
	}
}

// Guards against a pause in the head that counts twice: reading goes on after the time-out of a read.
func TestPauseInAHeadEndsAtTheTimeout(t *testing.T) {
	const silence, pause = 600 * time.Millisecond, 900 * time.Millisecond
	heads := platformtest.Heads("")
	var wg sync.WaitGroup
	for _, name := range []string{"length 0", "HTTP/1.0", "204", "no fields"} {
		for at := range len(heads[name]) {
			wg.Go(func() {
				e, err := platformtest.NewEndpoint("e", func(x *platformtest.Exchange) bool {
					x.Write("%s", heads[name][:at])
					_ = x.CallerClosed(pause)
					x.Write("%s", heads[name][at:])
					return false
				})
				if err != nil {
					t.Error(err)
					return
				}
				defer e.Close()
				c := endpoint.NewClient(e.Address(), dialTimeout, silence)
				defer c.Close()
				if err := c.Cancel(t.Context(), "r"); !fault.Is(err, fault.Broken) || !endpoint.IsTimeout(err) {
					t.Errorf("%s after %d bytes: %v, want a time-out", name, at, err)
				}
			})
		}
	}
	wg.Wait()
}

// Guards against the rest of an earlier answer, such as the first part of another one's head, that the next request on
// the connection gets as its own.
func TestPartOfAHeadAfterAnAnswerBelongsToNobody(t *testing.T) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for name, head := range platformtest.Heads("") {
		wg.Go(func() {
			var rest string
			p := serve(t, func(_ int64, w io.Writer) bool {
				fmt.Fprint(w, emptyObject+rest)
				return true
			})
			for at := range len(head) {
				rest = head[:at]
				c := newCaller(p.ln.Addr().String(), 10*time.Second)
				for by := range readers {
					for n := range 2 {
						if err := readers[by][0](t.Context(), c); err != nil {
							t.Errorf("%s, %d bytes after an answer to %s, request %d: %v", name, at, by, n, err)
						}
					}
				}
				c.close()
			}
		})
	}
}
