// Package overload decides how many new connections an instance takes while they ask for more processor time than
// it has. It does no I/O and takes the time as an argument.
//
// The load pattern: for some seconds most new connections of a data centre go to one instance, each for one request. An
// instance that reads them all finishes none in time. A connection that is closed unread costs little, and its
// caller tries another instance at once.
package overload

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two calls of Observe.
	Interval = 100 * time.Millisecond
	// lagTarget is the lag up to which an instance takes all connections: half of what callers that wait for a
	// short answer are content with.
	lagTarget = 50 * time.Millisecond
	// patience is the number of observations over lagTarget, none of them less than the one before, until
	// connections are limited. The lag of a process that has stood still falls.
	patience = 3
	// decrease and increase are the factors of the limit at each observation over lagTarget, and under half
	// of it. Over steepLag, with so much work that new requests would be late, and under idleLag, with hardly
	// any, steepDecrease and steepIncrease replace them.
	decrease, increase           = 0.9, 1.05
	steepDecrease, steepIncrease = 0.6, 1.25
	steepLag, idleLag            = 4 * lagTarget, lagTarget / 4
	// minRate is the least limit, in connections a second. Some must be taken to see that there is time again.
	minRate = 2
	// calm is how long nothing has to be closed until the limit is lifted.
	calm = time.Second
	// history is the number of intervals over which the rate of taken connections is measured.
	history = 10
)

// State is what a Gate does.
type State struct {
	// Limited is set while connections are limited to Rate a second.
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate,omitempty"`
	// Lag is the last one observed, Closed how many connections were to be closed since the start.
	LagMs  int64 `json:"lag_ms"`
	Closed int64 `json:"closed"`
}

// Gate decides on new connections. It is safe for concurrent use; its methods do not block.
type Gate struct {
	mu    sync.Mutex
	state State
	// lag is the last one observed, late the number of observations that count for patience.
	lag  time.Duration
	late int
	// taken are the connections of each of the last intervals, current those since.
	taken   [history]int
	next    int
	current int
	// tokens are the connections that may be taken now, as of filledAt.
	tokens   float64
	filledAt time.Time
	closedAt time.Time
}

// Observe is called each Interval with the lag since the last call: how long what the process has to do waits for
// the processor. It reports whether connections have begun or ceased to be limited.
func (g *Gate) Observe(now time.Time, lag time.Duration) (s State, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken[g.next] = g.current
	g.next, g.current = (g.next+1)%history, 0
	g.state.LagMs = lag.Milliseconds()
	switch {
	case lag <= lagTarget:
		g.late = 0
	case lag >= g.lag:
		g.late++
	}
	g.lag = lag
	before := g.state.Limited
	switch {
	case !before && g.late >= patience:
		g.state.Limited, g.state.Rate = true, max(steepDecrease*g.takenRate(), minRate)
		g.tokens, g.filledAt, g.closedAt = 0, now, now
	case !before:
	case lag > steepLag:
		g.state.Rate = max(steepDecrease*g.state.Rate, minRate)
	case lag > lagTarget:
		g.state.Rate = max(decrease*g.state.Rate, minRate)
	case now.Sub(g.closedAt) >= calm:
		g.state.Limited, g.state.Rate = false, 0
	case lag < idleLag:
		g.state.Rate *= steepIncrease
	case lag < lagTarget/2:
		g.state.Rate *= increase
	}
	return g.state, g.state.Limited != before
}

// takenRate returns how many connections were taken in a second lately.
func (g *Gate) takenRate() float64 {
	sum := 0
	for _, n := range g.taken {
		sum += n
	}
	return float64(sum) / (history * Interval.Seconds())
}

// Admit reports whether a new connection is to be taken. Otherwise it is to be closed without having been read.
func (g *Gate) Admit(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.state.Limited {
		g.current++
		return true
	}
	g.tokens = min(g.tokens+now.Sub(g.filledAt).Seconds()*g.state.Rate, max(1, g.state.Rate*Interval.Seconds()))
	g.filledAt = now
	if g.tokens < 1 {
		g.state.Closed++
		g.closedAt = now
		return false
	}
	g.tokens--
	g.current++
	return true
}

// State returns what the gate does now.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}
