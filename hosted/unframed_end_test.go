package hosted

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// unframedEnd is a way in which an answer without framing ends.
type unframedEnd struct {
	whole bool
	// by is who ends the answer, as logged.
	by string
	// writeAfter is when the endpoint writes the rest of the answer after its first event.
	writeAfter time.Duration
	// end ends the answer at the endpoint once all was written.
	end func(*platformtest.Exchange)
	// deadlineMs is that of the caller, timeoutMs the route's.
	deadlineMs, timeoutMs int
	// begin is called once the first event has arrived.
	begin func(*fixture, net.Conn)
}

// untilClosed waits until the instance has closed the endpoint's connection.
func untilClosed(x *platformtest.Exchange) {
	for !x.CallerClosed(10 * time.Millisecond) {
	}
}

func unframedEnds() map[string]unframedEnd {
	return map[string]unframedEnd{
		"whole":            {whole: true, by: "endpoint", end: func(*platformtest.Exchange) {}},
		"reset":            {by: "endpoint", end: (*platformtest.Exchange).Reset},
		"crash":            {by: "endpoint", end: func(x *platformtest.Exchange) { x.Endpoint.Close() }},
		"inside an event":  {by: "endpoint", end: func(x *platformtest.Exchange) { x.Write("%s", halfEvent) }},
		"caller's time":    {by: "deadline", deadlineMs: 900, writeAfter: 500 * time.Millisecond, end: untilClosed},
		"route's timeout":  {by: "deadline", timeoutMs: 900, writeAfter: 500 * time.Millisecond, end: untilClosed},
		"end of the grace": {by: "shutdown", timeoutMs: 20_000, writeAfter: 3 * time.Second, end: untilClosed, begin: func(f *fixture, _ net.Conn) { go f.instances[0].Shutdown() }},
		// What the caller sends after its request is not read.
		"whole, next request sent": {whole: true, by: "endpoint", end: func(*platformtest.Exchange) { time.Sleep(200 * time.Millisecond) },
			begin: func(_ *fixture, c net.Conn) { _, _ = c.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 10))) }},
	}
}

// Guards against a broken answer without framing whose connection is closed in order since its caller reads slowly, so that it
// looks complete; and against a whole one that is reset for the same reason.
func TestEndOfUnframedAnswerTellsSlowCallersWhetherItIsWhole(t *testing.T) {
	const fewEvents, manyEvents = 8, 120
	lines := logtest.Record(t)
	for name, way := range unframedEnds() {
		for _, events := range []int{fewEvents, manyEvents} {
			for _, forwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d events, forwarded %v", name, events, forwarded), func(t *testing.T) {
					t.Parallel()
					testUnframedEnd(t, lines, way, events, forwarded)
				})
			}
		}
	}
}

func testUnframedEnd(t *testing.T, lines *logtest.Recorder, way unframedEnd, events int, forwarded bool) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 400)) }
	handler := func(x *platformtest.Exchange) bool {
		if !strings.HasPrefix(string(x.Request.URI().Path()), "/draft/") {
			return oneEvent(x)
		}
		x.UnframedHead("text/event-stream")
		x.Write("%s", event(0))
		time.Sleep(way.writeAfter)
		for n := range events {
			x.Write("%s", event(n+1))
		}
		// An endpoint that crashes or resets its connections may lose what the instance has not received.
		time.Sleep(50 * time.Millisecond)
		way.end(x)
		return false
	}
	instances := 1
	if forwarded {
		instances = 2
	}
	f := newFixture(t, 0)
	f.memoryMb = 144
	for k := range instances {
		f.start(fmt.Sprintf("instance-%d", k))
	}
	f.cutOff(forwarded, "pool", handler, func(records map[string]any) {
		for _, r := range records["routes"].([]any) {
			if way.timeoutMs > 0 {
				r.(map[string]any)["timeoutMs"] = way.timeoutMs
			}
		}
	})
	deadline := way.deadlineMs
	if deadline == 0 {
		deadline = 30_000
	}
	c, err := net.Dial("tcp4", f.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(2 << 10)
	req := prompt(f.request("POST", "/draft/1", ""))
	req.Header.Set("Sardinedock-Deadline-Ms", fmt.Sprint(deadline))
	req.Header.Set("Sardinedock-Request-Id", t.Name())
	_ = req.Write(c)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	first := make([]byte, 400)
	if _, err := io.ReadFull(c, first); err != nil {
		t.Fatal(err)
	}
	if way.begin != nil {
		way.begin(f, c)
	}
	closed := f.awaitUnframedClosed(lines, t.Name())
	_ = c.SetReadDeadline(time.Now().Add(wait))
	rest, err := io.ReadAll(c)
	text := string(first) + string(rest)
	switch {
	case way.whole && (err != nil || !strings.HasSuffix(text, event(events))):
		t.Errorf("%d bytes and %v, want all and the end of the connection", len(text), err)
	case !way.whole && !errors.Is(err, syscall.ECONNRESET):
		t.Errorf("%d bytes and %v, want a reset", len(text), err)
	}
	want := map[bool]string{true: "whole", false: "broken"}[way.whole]
	// Both instances know the deadline, and the other one may end the answer first.
	byOther := forwarded && closed["by"] == "instance"
	if closed["end"] != want || closed["by"] != way.by && !byOther {
		t.Errorf("logged %v, want %s by %s", closed, want, way.by)
	}
}

// cutOff serves one endpoint of a service. If forwarded is set, the first instance is partitioned from it, and knows so.
func (f *fixture) cutOff(forwarded bool, service string, handler func(*platformtest.Exchange) bool, change func(map[string]any)) {
	endpoints := partitioned(f.instances[0])
	f.endpoint("e1", service, handler)
	f.serve(1, change)
	if !forwarded {
		return
	}
	f.awaitPeers()
	endpoints.cut(cutWithReset)
	f.eventually("the loss known", func() bool {
		f.do(prompt(f.request("POST", "/check/probe", "")))
		return len(f.instances[0].paths.LostServices()) > 0
	})
}

// awaitUnframedClosed returns the line on the connection of a request's answer.
func (f *fixture) awaitUnframedClosed(lines *logtest.Recorder, request string) (line map[string]any) {
	f.eventually("the connection closed", func() bool {
		for _, l := range lines.Lines("connection of an answer without framing closed") {
			if l["request"] == request {
				line = l
				return true
			}
		}
		return false
	})
	return line
}
