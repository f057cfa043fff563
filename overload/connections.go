package overload

import (
	"cmp"
	"slices"
	"time"
)

// Stage is how far the request on a connection has come.
type Stage int32

// The stages.
const (
	// StageIdle: no byte of a request has been received.
	StageIdle Stage = iota
	// StageHead: the head is not whole.
	StageHead
	// StageBody: the body is not whole.
	StageBody
	// StageServed: the request is being served.
	StageServed
)

// String returns the stage's name for logs and metrics.
func (s Stage) String() string { return [...]string{"idle", "head", "body", "served"}[s] }

// Connection is the state of a caller's connection.
type Connection struct {
	Stage Stage
	// Since is when the stage began.
	Since time.Time
}

// newConnection is how long a connection may be idle before it counts as such. The first bytes on a new one take a round trip.
const newConnection = time.Second

// GiveUp returns which connections, at most n, are to be given up for others: those that were idle for longest, then those whose heads
// have been unfinished for longest, then bodies, then new connections. None on which a request is being served is among them.
func GiveUp(now time.Time, list []Connection, n int) []int {
	rank := func(c Connection) int {
		if c.Stage == StageIdle && now.Sub(c.Since) < newConnection {
			return int(StageServed)
		}
		return int(c.Stage)
	}
	var candidates []int
	for k, c := range list {
		if c.Stage >= StageIdle && c.Stage < StageServed {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(rank(list[a]), rank(list[b])), list[a].Since.Compare(list[b].Since), cmp.Compare(a, b))
	})
	return candidates[:min(n, len(candidates))]
}
