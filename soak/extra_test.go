package soak

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// firstExtraSeed is the first seed whose endpoints may write copies of their rejections late.
const firstExtraSeed = 190000

// extraFault has all endpoints of a service reject most requests, so that one comes to the same endpoint again, and write a
// copy of a rejection where the response to the next request on the connection is due.
var extraFault = fault{"endpoints write rejections twice", func(s *soak, rng *rand.Rand, duration time.Duration) {
	s.disturbEndpoint(rng, func(x *server) {
		s.setBehaviour(x.service, copying)
		time.Sleep(duration)
		s.setBehaviour(x.service, normal)
	})
}}

// lateCopies holds the copies that an endpoint will write, by connection. Its zero value is ready to use.
type lateCopies struct {
	rejected atomic.Int64
	mu       sync.Mutex
	byConn   map[net.Conn]string
}

// write writes the copy for a connection, if there is one.
func (l *lateCopies) write(e *platformtest.Exchange) {
	l.mu.Lock()
	text := l.byConn[e.Conn]
	delete(l.byConn, e.Conn)
	l.mu.Unlock()
	e.Write("%s", text)
}

// reject rejects two of three requests, and keeps a copy, which names the request or none.
func (l *lateCopies) reject(e *platformtest.Exchange, header []string) (rejected bool) {
	n := l.rejected.Add(1)
	if n%3 == 0 {
		return false
	}
	text := e.Rejection(503, header...)
	if n%2 == 0 {
		text = strings.Replace(text, "Sardinedock-Request-Id: "+e.ID()+"\r\n", "", 1)
	}
	l.mu.Lock()
	if l.byConn == nil {
		l.byConn = map[net.Conn]string{}
	}
	l.byConn[e.Conn] = text
	l.mu.Unlock()
	e.Reject(503, header...)
	return true
}
