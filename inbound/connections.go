package inbound

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/overload"
)

const (
	// giveUpShare is the fraction, 1/giveUpShare, of the most connections that is given up at a time, so that not every new connection
	// has all others looked at.
	giveUpShare = 64
	// lingerShare is the fraction, 1/lingerShare, of the most connections that may linger, minLinger the least number.
	lingerShare, minLinger = 8, 8
	// connectionLines is the time between two log lines on connections that were given up.
	connectionLines = time.Second
)

// Connection is a client's connection that others may need.
type Connection interface {
	// Stage returns how far the request on it has come.
	Stage() overload.Connection
	// GiveUp gives the connection up if it is still in the given stage, and reports whether it is. One that is not in the middle of a
	// body is closed. It must not block.
	GiveUp(in overload.Stage) bool
}

// Connections is the set of the connections to one listener, of which there is a largest number. It is safe for concurrent use.
type Connections struct {
	// from names the clients in log lines and metrics.
	from string
	// most is the largest number; 0 for any.
	most int

	mu   sync.Mutex
	open map[Connection]bool
	// lingering is how many closed ones read and discard the rest of what their callers send.
	lingering int
	// peak is the largest number so far.
	peak int
	// closed counts the connections that were given up, or closed as soon as they were made.
	closed int64
	// loggedAt is the time of the last log line, unlogged the number of connections given up since.
	loggedAt time.Time
	unlogged int
}

// NewConnections returns an empty set of at most most connections, or any number if that is 0. from names the clients in log lines and
// metrics.
func NewConnections(from string, most int) *Connections {
	return &Connections{from: from, most: most, open: map[Connection]bool{}}
}

// connectionsGivenUp counts connections that were closed for others.
func connectionsGivenUp(from string, in overload.Stage) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_connections_given_up_total{from="` + from + `",stage="` + in.String() + `"}`)
}

// Add adds a connection. If there are too many, it gives up others; if none can be, it returns false.
func (s *Connections) Add(c Connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && len(s.open) >= s.most && s.giveUp(time.Now(), 1+len(s.open)-s.most+s.most/giveUpShare) == 0 {
		s.closed++
		return false
	}
	s.open[c] = true
	s.peak = max(s.peak, len(s.open))
	return true
}

// giveUp gives up at most n connections and returns how many it has. s.mu is held.
func (s *Connections) giveUp(now time.Time, n int) (given int) {
	conns, states := make([]Connection, 0, len(s.open)), make([]overload.Connection, 0, len(s.open))
	for c := range s.open {
		conns, states = append(conns, c), append(states, c.Stage())
	}
	for _, k := range overload.GiveUp(now, states, n) {
		// A request may have gone on since.
		if conns[k].GiveUp(states[k].Stage) {
			given++
			connectionsGivenUp(s.from, states[k].Stage).Inc()
			delete(s.open, conns[k])
		}
	}
	s.closed += int64(given)
	s.unlogged += given
	if s.unlogged > 0 && now.Sub(s.loggedAt) >= connectionLines {
		log.WithFields(log.Fields{"from": s.from, "connections": s.unlogged, "most": s.most}).Info("connections given up for new ones")
		s.loggedAt, s.unlogged = now, 0
	}
	return given
}

// Remove removes a connection that was closed.
func (s *Connections) Remove(c Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Count returns how many connections are in a stage.
func (s *Connections) Count(in overload.Stage) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.Stage().Stage == in {
			n++
		}
	}
	return n
}

// BeginLinger reports whether a connection that is closed may linger. EndLinger has to be called afterwards.
func (s *Connections) BeginLinger() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && s.lingering >= max(minLinger, s.most/lingerShare) {
		return false
	}
	s.lingering++
	return true
}

// EndLinger ends what BeginLinger has begun.
func (s *Connections) EndLinger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering--
}

// ConnectionsView is the state of the connections to one listener for the state dump.
type ConnectionsView struct {
	Open int `json:"open"`
	// Most is the largest number allowed, 0 for any; Peak the largest so far.
	Most int `json:"most"`
	Peak int `json:"peak"`
	// Closed is how many were given up, or closed as soon as they were made.
	Closed int64 `json:"closed"`
}

// View returns the state.
func (s *Connections) View() ConnectionsView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnectionsView{Open: len(s.open), Most: s.most, Peak: s.peak, Closed: s.closed}
}
