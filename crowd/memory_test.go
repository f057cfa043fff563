//go:build linux

package crowd

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// memoryMb is the memory stated to the process, and the bound of its resident size.
	memoryMb = 64
	// crowdSize times a body at the limit is more than twice memoryMb.
	crowdSize = 40
	// almostAll is how much of a body at the limit is sent by clients that stop short of its end.
	almostAll = maxBodyBytes - 1
)

// crowdCase is one kind of client.
type crowdCase struct {
	name string
	// send sends a request, or part of it.
	send func(*site, *client)
	// stay is what the client does afterwards; nil keeps the connection open.
	stay func(*client)
}

// tricklePause keeps a connection's reader busy more often than any time-out of the limits.
const tricklePause = 200 * time.Millisecond

// Bodies with a length.
var lengthCrowds = []crowdCase{
	{"length, a byte short", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(almostAll, almostAll, "", "")
	}, nil},
	{"length announced, a sixteenth sent, then a trickle", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(maxBodyBytes/16, 16<<10, "", "")
	}, func(c *client) { c.trickle("b", tricklePause) }},
	{"length announced and nothing sent", func(s *site, c *client) {
		c.send(s.head("POST", "/confirm/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
	}, nil},
	{"expects to continue, a byte short", func(s *site, c *client) {
		c.send(s.head("POST", "/confirm/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes), "Expect: 100-continue"))
		c.sendBytes(almostAll, almostAll, "", "")
	}, nil},
	{"piece by piece, a byte short", func(s *site, c *client) {
		c.send(s.head("POST", "/confirm/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(almostAll, 8<<10, "", "")
	}, func(c *client) { c.hold() }},
}

// Bodies in chunks.
var chunkCrowds = []crowdCase{
	{"chunks of 48 KB without the last", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Transfer-Encoding: chunked"))
		c.sendBytes(almostAll, 48<<10, fmt.Sprintf("%x\r\n", 48<<10), "\r\n")
	}, nil},
	{"one chunk, short of its end", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Transfer-Encoding: chunked"))
		c.send(fmt.Sprintf("%x\r\n", maxBodyBytes))
		c.sendBytes(almostAll, almostAll, "", "")
	}, nil},
	{"chunks of two bytes without the last", func(s *site, c *client) {
		c.send(s.head("POST", "/confirm/x", "Transfer-Encoding: chunked"))
		const pieces = 4096
		c.sendBytes(2<<20/(2*pieces), 1, strings.Repeat("2\r\nbb\r\n", pieces-1)+"2\r\nb", "\r\n")
	}, nil},
	{"chunks without end", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Transfer-Encoding: chunked"))
		c.sendBytes(4*maxBodyBytes, 64<<10, fmt.Sprintf("%x\r\n", 64<<10), "\r\n")
	}, nil},
	{"far over the limit, announced", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Content-Length: 67108864"))
		c.sendBytes(4*maxBodyBytes, 64<<10, "", "")
	}, nil},
	{"chunk extension without end", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Transfer-Encoding: chunked"))
		c.send("4;")
		c.sendBytes(maxBodyBytes, 64<<10, "", "")
	}, func(c *client) { c.trickle("x", tricklePause) }},
	{"trailers without end", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", "Transfer-Encoding: chunked"))
		c.send("4\r\nbody\r\n0\r\n")
		c.sendBytes(2<<20, 1<<10, "X-Trailer: ", "\r\n")
	}, nil},
}

// Multipart bodies.
var multipartCrowds = []crowdCase{
	{"multipart, a byte short", func(s *site, c *client) {
		const first = "--edge\r\nContent-Disposition: form-data; name=\"f\"; filename=\"f\"\r\n\r\n"
		c.send(s.head("POST", "/stock/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes), "Content-Type: multipart/form-data; boundary=edge"))
		c.send(first)
		c.sendBytes(almostAll-len(first), almostAll-len(first), "", "")
	}, nil},
}

// Whole bodies of requests that wait.
var waitingCrowds = []crowdCase{
	{"whole, and the endpoint does not answer", func(s *site, c *client) {
		c.send(s.head("POST", "/confirm/hold", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(maxBodyBytes, maxBodyBytes, "", "")
	}, nil},
	{"whole, and the answer is not read", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/large", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(maxBodyBytes, maxBodyBytes, "", "")
	}, nil},
	{"whole, and an answer that the kernel does not hold is not read", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/huge", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(maxBodyBytes, maxBodyBytes, "", "")
	}, nil},
	{"requests behind one that is being served", func(s *site, c *client) {
		c.send(s.head("GET", "/confirm/hold"))
		c.send(s.head("POST", "/stock/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		go c.sendBytes(maxBodyBytes, 64<<10, "", "")
	}, nil},
	{"many short header lines", func(s *site, c *client) {
		c.send(s.head("POST", "/stock/x", strings.Repeat("a:\r\n", maxHeaderBytes/5)+fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(almostAll, almostAll, "", "")
	}, nil},
}

// Guards against memory that is committed for announced bodies, and for those that stop short of their end.
func TestBodiesWithALengthStayWithinTheMemory(t *testing.T) { playAll(t, lengthCrowds) }

// Guards against memory that is held for chunked bodies without an end, and for what stands between chunks.
func TestChunkedBodiesStayWithinTheMemory(t *testing.T) { playAll(t, chunkCrowds) }

// Guards against bodies that the HTTP library parses, or writes to files that count as memory.
func TestMultipartBodiesStayWithinTheMemory(t *testing.T) { playAll(t, multipartCrowds) }

// Guards against memory that is held for whole requests without a bound in sum.
func TestWholeBodiesStayWithinTheMemory(t *testing.T) { playAll(t, waitingCrowds) }

// playAll plays each crowd against a process of its own.
func playAll(t *testing.T, cases []crowdCase) {
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			startSite(t, siteConfig{memoryMb: memoryMb}).play(tt, crowdSize)
		})
	}
}

// play has a crowd call, and checks the process and an ordinary caller while it stays and after it has left.
func (s *site) play(tt crowdCase, size int) {
	s.t.Helper()
	stay := tt.stay
	if stay == nil {
		stay = (*client).hold
	}
	c := newCrowd(s.t, s.callers, size, func(x *client) { tt.send(s, x) }, stay)
	c.arrived()
	s.ordinary("beside the crowd")
	s.readyOnce("beside the crowd")
	c.leave()
	s.ordinary("after the crowd")
	s.served("a body at the limit, in calm", strings.Repeat("b", maxBodyBytes))
	s.checkMemory(memoryMb)
}
