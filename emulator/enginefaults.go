package emulator

import (
	"time"

	"github.com/valyala/fasthttp"
)

// EngineFaults are the faults that are in force at an engine.
type EngineFaults struct {
	// Slow multiplies the time of prefill and decoding; 0 is the usual pace.
	Slow float64 `json:"slow"`
	// Frozen stands still: connections stay open and bring nothing.
	Frozen bool `json:"frozen"`
	// Of the pieces to come, the first CrossNext are preceded by a piece of
	// another stream, the next RepeatNext come twice, LoseNext do not come and
	// LateNext come LateMS later.
	CrossNext  int   `json:"cross_next"`
	RepeatNext int   `json:"repeat_next"`
	LoseNext   int   `json:"lose_next"`
	LateNext   int   `json:"late_next"`
	LateMS     int64 `json:"late_ms"`
	// Cross, Repeat, Lose and Late are the shares of all pieces that are
	// treated so.
	Cross  float64 `json:"cross"`
	Repeat float64 `json:"repeat"`
	Lose   float64 `json:"lose"`
	Late   float64 `json:"late"`
}

// pieceFault is what is wrong with the delivery of one piece.
type pieceFault int

const (
	pieceGood pieceFault = iota
	pieceCrossed
	pieceRepeated
	pieceLost
	pieceLate
)

// SetFaults puts faults in force in place of all earlier ones.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen && !f.Frozen {
		close(e.thawed)
		e.thawed = make(chan struct{})
	}
	e.faults = f
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// awake blocks while the engine is frozen; false once done is closed.
func (e *Engine) awake(done <-chan struct{}) bool {
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

// pieceFault takes what is ordered for the next piece.
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

// Crash cuts every connection and comes back after down, with nothing in it
// and the next incarnation. It returns once the engine is back.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	l := e.life
	select {
	case <-l.done:
		e.mu.Unlock()
		return
	default:
	}
	e.stats.Crashes++
	e.endLife()
	e.mu.Unlock()
	_ = e.gate.down()
	time.Sleep(e.cfg.Pace.Scale(down))
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.begin()
	e.mu.Unlock()
	_ = e.gate.up()
}

// endLife stops all work of the present life.
func (e *Engine) endLife() {
	select {
	case <-e.life.done:
		return
	default:
	}
	close(e.life.done)
	for _, j := range e.life.jobs {
		e.halt(j)
	}
}

// SilenceOpen makes the connections that are open now silent for good; new
// ones work.
func (e *Engine) SilenceOpen() { e.gate.silenceOpen() }

// CutOpen closes the connections that are open now; the work goes on.
func (e *Engine) CutOpen() { e.gate.cut() }

// SetLeaving makes the engine say that it leaves, or that it stays.
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

// crashOrder and leavingOrder are bodies of the control path.
type crashOrder struct {
	DownMS int64 `json:"down_ms"`
}

type leavingOrder struct {
	Leaving bool `json:"leaving"`
}

// control serves /control: GET or POST faults, GET counts, POST crash,
// leaving, connections/cut and connections/silence.
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
		var o crashOrder
		if readJSON(ctx, &o) {
			go e.Crash(time.Duration(o.DownMS) * time.Millisecond)
		}
	case "leaving":
		var o leavingOrder
		if readJSON(ctx, &o) {
			e.SetLeaving(o.Leaving)
		}
	case "connections/cut":
		e.CutOpen()
	case "connections/silence":
		e.SilenceOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}
