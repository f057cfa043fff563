package emulator

import (
	"time"

	"github.com/valyala/fasthttp"
)

// EngineFaults are the faults injected at an engine.
type EngineFaults struct {
	// Slow multiplies the time of prefill and decoding; 0 means normal speed.
	Slow float64 `json:"slow"`
	// Frozen stops all progress: connections stay open and deliver no data.
	Frozen bool `json:"frozen"`
	// Of the pieces (streamed events) to come, the first CrossNext are preceded by a piece of
	// another stream, the next RepeatNext are sent twice, the next LoseNext are dropped and the
	// next LateNext are delayed by LateMS.
	CrossNext  int   `json:"cross_next"`
	RepeatNext int   `json:"repeat_next"`
	LoseNext   int   `json:"lose_next"`
	LateNext   int   `json:"late_next"`
	LateMS     int64 `json:"late_ms"`
	// Cross, Repeat, Lose and Late are the shares of all pieces to which these faults apply at
	// random.
	Cross  float64 `json:"cross"`
	Repeat float64 `json:"repeat"`
	Lose   float64 `json:"lose"`
	Late   float64 `json:"late"`
}

// pieceFault is the fault applied to the delivery of one piece.
type pieceFault int

const (
	pieceGood pieceFault = iota
	pieceCrossed
	pieceRepeated
	pieceLost
	pieceLate
)

// SetFaults replaces all injected faults by f.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen && !f.Frozen {
		close(e.thawed)
		e.thawed = make(chan struct{})
	}
	e.faults = f
}

// Faults returns the injected faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// waitWhileFrozen blocks while the engine is frozen. It returns false once done is closed.
func (e *Engine) waitWhileFrozen(done <-chan struct{}) bool {
	for {
		e.mu.Lock()
		frozen, thawed := e.faults.Frozen, e.thawed
		e.mu.Unlock()
		if !frozen {
			select {
			case <-done:
				return false
			default:
				return true
			}
		}
		select {
		case <-thawed:
		case <-done:
			return false
		}
	}
}

// pieceFault returns the fault for the next piece. Faults with a counter come first and decrement
// it; otherwise the fault is drawn by the shares.
func (e *Engine) pieceFault() pieceFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := &e.faults
	for _, next := range []struct {
		count *int
		fault pieceFault
	}{{&f.CrossNext, pieceCrossed}, {&f.RepeatNext, pieceRepeated}, {&f.LoseNext, pieceLost}, {&f.LateNext, pieceLate}} {
		if *next.count > 0 {
			*next.count--
			return next.fault
		}
	}
	if f.Cross+f.Repeat+f.Lose+f.Late == 0 {
		return pieceGood
	}
	at := e.rng.Float64()
	for _, share := range []struct {
		size  float64
		fault pieceFault
	}{{f.Cross, pieceCrossed}, {f.Repeat, pieceRepeated}, {f.Lose, pieceLost}, {f.Late, pieceLate}} {
		if at < share.size {
			return share.fault
		}
		at -= share.size
	}
	return pieceGood
}

// Crash closes every connection and drops all state. It restarts the engine with the next
// incarnation number after down, and returns once the engine accepts connections again.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	p := e.process
	select {
	case <-p.done:
		e.mu.Unlock()
		return
	default:
	}
	e.stats.Crashes++
	e.endProcess()
	e.mu.Unlock()
	_ = e.listener.down()
	time.Sleep(e.cfg.Pace.Scale(down))
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.startProcess()
	e.mu.Unlock()
	_ = e.listener.up()
}

// Stop closes every connection and drops all state. The address stays bound until Close, so that connections are
// refused and no other process answers there.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.endProcess()
	e.mu.Unlock()
	_ = e.listener.down()
}

// endProcess stops all work of the current process.
func (e *Engine) endProcess() {
	select {
	case <-e.process.done:
		return
	default:
	}
	close(e.process.done)
	for _, j := range e.process.jobs {
		e.halt(j)
	}
}

// StallOpen makes the currently open connections unresponsive without closing them; new ones
// work.
func (e *Engine) StallOpen() { e.listener.stallOpen() }

// CutOpen closes the currently open connections; running requests go on.
func (e *Engine) CutOpen() { e.listener.cut() }

// SetLeaving sets whether the engine reports in its state that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !leaving:
		e.leaving = time.Time{}
		e.stats.LastStartAfterLeaving = 0
	case e.leaving.IsZero():
		e.leaving = time.Now()
	}
}

// crashRequest and leavingRequest are request bodies of the control path.
type crashRequest struct {
	DownMS int64 `json:"down_ms"`
}

type leavingRequest struct {
	Leaving bool `json:"leaving"`
}

// control serves /control/: GET and POST faults, GET counts, POST crash, leaving, connections/cut
// and connections/silence.
func (e *Engine) control(ctx *fasthttp.RequestCtx, what string) {
	switch what {
	case "faults":
		var f EngineFaults
		if ctx.IsPost() && readJSON(ctx, &f) {
			e.SetFaults(f)
		}
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			writeJSON(ctx, e.Faults())
		}
	case "counts":
		writeJSON(ctx, e.Stats())
	case "crash":
		var o crashRequest
		if readJSON(ctx, &o) {
			go e.Crash(time.Duration(o.DownMS) * time.Millisecond)
		}
	case "leaving":
		var o leavingRequest
		if readJSON(ctx, &o) {
			e.SetLeaving(o.Leaving)
		}
	case "connections/cut":
		e.CutOpen()
	case "connections/silence":
		e.StallOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}
