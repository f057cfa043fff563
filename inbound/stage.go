package inbound

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/overload"
)

// stage is how far the request on a connection has come. Once the connection was given up it does not change any more.
type stage struct {
	now   atomic.Int32
	since atomic.Int64
}

const stageGivenUp = -1

func (s *stage) set(to overload.Stage) {
	s.now.Store(int32(to))
	s.since.Store(time.Now().UnixNano())
}

// enter begins a stage. It returns false if the connection was given up.
func (s *stage) enter(to overload.Stage) bool {
	for {
		from := s.now.Load()
		if from == stageGivenUp {
			return false
		}
		if s.now.CompareAndSwap(from, int32(to)) {
			if from != int32(to) {
				s.since.Store(time.Now().UnixNano())
			}
			return true
		}
	}
}

// Stage returns the stage of the connection.
func (r *Reader) Stage() overload.Connection {
	return overload.Connection{Stage: overload.Stage(r.stage.now.Load()), Since: time.Unix(0, r.stage.since.Load())}
}

// GiveUp gives the connection up if it is still in the given stage, and reports whether it is. In the middle of a body, the body ends
// with ErrGivenUp. Otherwise c, the connection below, is closed in order, since the kernel may still hold a part of the last answer; a
// request that crosses the close is answered by a reset. The Reader serves nothing any more.
func (r *Reader) GiveUp(in overload.Stage, c net.Conn) bool {
	if in == overload.StageServed || !r.stage.now.CompareAndSwap(int32(in), stageGivenUp) {
		return false
	}
	r.givenUp.Store(true)
	r.interrupt()
	if in != overload.StageBody {
		_ = c.Close()
	}
	return true
}
