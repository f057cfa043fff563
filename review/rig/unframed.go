package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longEvents is how many events a long stream has, and longEventBytes how long each is: the largest of the site.
	longEvents     = 140
	longEventBytes = 420
	// longPause is the time between two events of a long stream.
	longPause = 5 * time.Millisecond
	// cutAfter is how many events a server has sent when it breaks an answer off.
	cutAfter = 112
	// cuttingServers break off one in cutEach of their answers, for cutFor: half of the servers, a twentieth, 5 s.
	cuttingServers = 4
	cutEach        = 20
	cutFor         = 5 * time.Second
	// slowBytes is how much a slow caller reads at a time, each slowPause, and slowBuffer what its kernel receives before it is read.
	slowBytes  = 1 << 10
	slowPause  = 50 * time.Millisecond
	slowBuffer = 4 << 10
)

// framing is how servers end their answers.
type framing struct {
	// unframed is set if answers have neither a length nor chunks.
	unframed bool
	// cutFrom and cutTo are from when to when some of these answers are broken off.
	cutFrom, cutTo time.Time
	// answers counts those of each server meanwhile.
	answers map[string]int
}

// next returns how a server is to answer now.
func (g *rig) next(server string) (unframed, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &g.framing
	now := time.Now()
	if !f.unframed || now.Before(f.cutFrom) || !now.Before(f.cutTo) {
		return f.unframed, false
	}
	n, known := f.answers[server]
	if !known && len(f.answers) >= cuttingServers {
		return true, false
	}
	f.answers[server] = n + 1
	return true, n%cutEach == cutEach/2
}

// runUnframed writes an answer that ends with its connection. If cut is set, the connection is reset on the way.
func runUnframed(c net.Conn, head, id string, cut bool) {
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for n := range longEvents {
		if tcp, ok := c.(*net.TCPConn); ok && cut && n == cutAfter {
			note("request %s: the server resets the connection after %d of %d events", id, n, longEvents)
			_ = tcp.SetLinger(0)
			return
		}
		if _, err := io.WriteString(c, longEvent(n)); err != nil {
			return
		}
		time.Sleep(longPause)
	}
}

func longEvent(n int) string {
	event := fmt.Sprintf("id: %d\ndata: ", n)
	return event + strings.Repeat("x", longEventBytes-len(event)-2) + "\n\n"
}

// readSlowly sends a request and reads the answer slowly, until its end. It returns an error unless the connection was closed
// in order.
func readSlowly(address, request string) (answer string, err error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		}); err != nil {
			return err
		}
		return set
	}}
	c, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		return "", err
	}
	var text strings.Builder
	buf := make([]byte, slowBytes)
	for {
		n, err := c.Read(buf)
		text.Write(buf[:n])
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		time.Sleep(slowPause)
	}
}

// The ways in which an answer without framing ends.
const (
	endWhole   = "whole"
	endBroken  = "broken off"
	endRefused = "refused"
	endFalse   = "looks complete before its last piece"
)

// endOf returns how an answer looks to its caller.
func endOf(answer string, err error) string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	head = strings.ToLower(head)
	switch {
	case err != nil:
		return endBroken
	case !strings.HasPrefix(answer, "HTTP/1.1 200 "):
		return endRefused
	case strings.Contains(head, "content-length:"), strings.Contains(head, "transfer-encoding:"):
		fatal("an answer without framing came with framing: %s", head)
	case strings.HasSuffix(body, longEvent(longEvents-1)):
		return endWhole
	}
	return endFalse
}

// unframedAnswersAreCut: servers answer without length or chunks, and break some of these answers off. Callers read slowly.
func unframedAnswersAreCut(root string, trouble bool) int {
	const interval = 16 * time.Millisecond
	g := newRig(root, someTenants(0))
	began := time.Now()
	g.mu.Lock()
	g.framing = framing{unframed: true, answers: map[string]int{}}
	if trouble {
		g.framing.cutFrom, g.framing.cutTo = began.Add(time.Second), began.Add(time.Second+cutFor)
	}
	g.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for n := 0; time.Since(began) < cutFor+2*time.Second; n++ {
		t := g.tenants[n%len(g.tenants)]
		wg.Go(func() {
			id, request, r := g.request(t, common, catalogue(t))
			answer, err := readSlowly(r.front, request)
			end := endOf(answer, err)
			note("request %s at %s: %s, %d events, error %v", id, r.name, end, strings.Count(answer, "\n\n"), err)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		time.Sleep(interval)
	}
	wg.Wait()
	note("RESULT: answers by their end: %v", ends)
	if ends[endFalse] > 0 {
		return ruleBroken
	}
	return ruleHeld
}
