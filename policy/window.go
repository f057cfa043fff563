package policy

import "time"

const (
	// minSampleTokens is the least work from which the rate is measured. For less, the fixed cost
	// of a request dominates the measurement.
	minSampleTokens = 512
	// rateWindowTokens is the work, in tokens, over which the rate is averaged: about a dozen
	// uncached prompts, so that one outlier does not shift it and a slowed endpoint is detected
	// after a few seconds of load.
	rateWindowTokens = 100_000
	// windowTime is how much prefill may be outstanding at an endpoint before its first tokens
	// arrive. It has to cover the round trip to the endpoint and the delay of reports. Work beyond
	// that waits at the instance that owns the endpoint, where urgent requests and other
	// organisations can still overtake it.
	windowTime = 150 * time.Millisecond
)

// Window limits the prefill that is outstanding at one endpoint according to the endpoint's
// measured prefill rate.
//
// It handles one slow endpoint among many, and bursts: with a fixed number of requests a slow
// endpoint would build up a backlog that cannot be withdrawn. It uses only the first tokens of
// requests that the owner itself granted, never the endpoint's load reports. Those lag, and a
// window based on them would open because the endpoint was idle a second ago and close because of
// the owner's own work.
type Window struct {
	tokens float64
	busy   float64
	last   time.Time
	// done counts the tokens that were prefilled.
	done int64
}

// NewWindow returns a window whose rate starts at the estimate in the pool's record.
func NewWindow(tokensPerSecond float64) Window {
	const first = rateWindowTokens / 10
	return Window{tokens: first, busy: first / max(tokensPerSecond, 1)}
}

// Mark returns the current position in the endpoint's work. The caller takes it when it sends a
// request and passes it to Observe.
func (w *Window) Mark() int64 { return w.done }

// Observe records a first token: when the request was sent and the token received, how many tokens
// had to be computed, and the mark taken at the send. Engines compute other prompts in between, by
// priority or in turns, so the rate counts all tokens computed between the two times, not only
// this request's.
func (w *Window) Observe(mark int64, sent, first time.Time, tokens int64) {
	w.done += tokens
	if first.After(w.last) {
		w.last = first
	}
	took := first.Sub(sent).Seconds()
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	w.tokens += float64(w.done - mark)
	w.busy += took
	if w.tokens > rateWindowTokens {
		scale := rateWindowTokens / w.tokens
		w.tokens *= scale
		w.busy *= scale
	}
}

// Rate returns the measured prefill rate in tokens per second.
func (w *Window) Rate() float64 { return w.tokens / w.busy }

// PrefillTime returns how long the endpoint takes to prefill the given number of tokens.
func (w *Window) PrefillTime(tokens int64) time.Duration {
	return seconds(float64(tokens) / w.Rate())
}

// Admits reports whether another request may be sent while the given number of tokens is
// outstanding. An idle endpoint always gets one request.
func (w *Window) Admits(outstanding int64) bool {
	return outstanding <= 0 || w.PrefillTime(outstanding) < windowTime
}

// BusyTime returns how long the endpoint has been computing since its last first token, at most the
// time that the outstanding tokens take.
func (w *Window) BusyTime(now time.Time, outstanding int64) time.Duration {
	if outstanding <= 0 || w.last.IsZero() {
		return 0
	}
	return min(max(now.Sub(w.last), 0), w.PrefillTime(outstanding))
}
