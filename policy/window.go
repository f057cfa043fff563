package policy

import "time"

const (
	// observeTokens is the least work that says something of the rate; for less,
	// the fixed cost of a request outweighs what is measured.
	observeTokens = 512
	// rateMemory is the work, in tokens, over which the rate is averaged: some
	// dozen cold prompts, so that one odd request does not move it and a slowed
	// endpoint is known after a few seconds of load.
	rateMemory = 100_000
	// windowTime is how much prefill an endpoint is given ahead of its first
	// tokens. It has to cover the way to the endpoint and back and the lag of
	// reports; what goes beyond that waits at the owner, where urgent work and
	// other organisations can still go before it.
	windowTime = 150 * time.Millisecond
)

// Window bounds the prefill that is outstanding at one endpoint by the rate at
// which that endpoint was measured to serve.
//
// It is made for one slow endpoint among many and for bursts: with a fixed
// number of requests a slow endpoint collects a backlog that nobody can take
// back. It follows only first tokens of the owner's own grants, never the
// endpoint's load reports: these lag, and a window that follows them opens
// when the endpoint was idle a second ago and closes on its own work.
type Window struct {
	tokens float64
	busy   float64
	last   time.Time
	// done counts the tokens that were computed.
	done int64
}

// NewWindow starts from the rate that the pool's record guesses.
func NewWindow(tokensPerSecond float64) Window {
	const first = rateMemory / 10
	return Window{tokens: first, busy: first / max(tokensPerSecond, 1)}
}

// Mark is to be taken when a request is sent and given to Observe.
func (w *Window) Mark() int64 { return w.done }

// Observe takes one first token: when the request was sent and answered, what
// had to be computed, and the mark of its send. Engines compute other prompts
// in between, by priority or in turns, so the rate is all that was computed
// between the two times, not this request's part alone.
func (w *Window) Observe(mark int64, sent, first time.Time, tokens int64) {
	w.done += tokens
	if first.After(w.last) {
		w.last = first
	}
	took := first.Sub(sent).Seconds()
	if tokens < observeTokens || took <= 0 {
		return
	}
	w.tokens += float64(w.done - mark)
	w.busy += took
	if w.tokens > rateMemory {
		scale := rateMemory / w.tokens
		w.tokens *= scale
		w.busy *= scale
	}
}

// Rate is the measured prefill rate in tokens a second.
func (w *Window) Rate() float64 { return w.tokens / w.busy }

// Time is how long the endpoint computes on the tokens.
func (w *Window) Time(tokens int64) time.Duration {
	return seconds(float64(tokens) / w.Rate())
}

// Admits reports whether more work may be sent while outstanding tokens are
// being computed. An idle endpoint always gets one request.
func (w *Window) Admits(outstanding int64) bool {
	return outstanding <= 0 || w.Time(outstanding) < windowTime
}

// Since is how long the endpoint has been computing since its last first token,
// at most the time that the outstanding tokens take.
func (w *Window) Since(now time.Time, outstanding int64) time.Duration {
	if outstanding <= 0 || w.last.IsZero() {
		return 0
	}
	return min(max(now.Sub(w.last), 0), w.Time(outstanding))
}
