package policy

import "time"

// Offer is what one endpoint would give a request.
type Offer struct {
	Endpoint string
	// GrantID is set once a slot was taken; it is unique at the owner.
	GrantID uint64
	// CachedTokens of the prompt are believed to be cached there.
	CachedTokens int64
	// Wait until the endpoint begins to work on the request.
	Wait time.Duration
	// Incarnation of the endpoint that the offer is about.
	Incarnation uint64
	// Alone says that nothing else runs beside the request.
	Alone bool
	// Long says that the prompt takes long to compute, and that the engine
	// should put it behind others of its class.
	Long bool
	// PrefillRate that was measured there, in tokens a second; 0 if unknown.
	PrefillRate float64
}

// Prices are what the choice weighs time against.
type Prices struct {
	// PrefillTokensPerSecond of an endpoint whose offer names no rate.
	PrefillTokensPerSecond float64
	// Recompute multiplies the time of computing uncached tokens. Others wait
	// behind that work and it evicts their blocks, so it costs the fleet more
	// than it costs the request.
	Recompute float64
	// ImportTokensPerSecond is how fast kept KV cache is imported, 0 where
	// there is none; ImportFixed is the cost of an import of any size.
	ImportTokensPerSecond float64
	ImportFixed           time.Duration
	// Urgent says that the request may not wait.
	Urgent bool
}

// DefaultRecompute is the price of recomputation that the measurements in
// docs/notes/placement.md back.
const DefaultRecompute = 2

// urgentShare is the part of the price of recomputation that an urgent request
// pays. Its prompts are short and come often: a copy at each of its candidates
// takes little of the caches and is found again, and then the request goes to
// whichever has a slot free, instead of waiting at the one that has it cached
// for the end of a long answer.
const urgentShare = 0.25

// scarceWait is the wait at the least busy candidate that doubles the price of
// recomputation. A tenth of a second is about what an endpoint is given ahead,
// so that less is not yet a sign of saturation.
const scarceWait = 100 * time.Millisecond

// Choice is what Choose decided.
type Choice struct {
	// Index of the offer, -1 where there was none.
	Index int
	// ImportTokens of kept KV cache to import before the send, 0 for none.
	ImportTokens int64
	// Cost is the priced time until the first token.
	Cost time.Duration
}

// Choose picks among the offers of the first few candidates the one with the
// least wait plus priced recomputation. keptTokens of the prompt can be
// imported from the KV store.
//
// It is made for a hot prefix whose load exceeds one endpoint: each request
// shifts exactly when waiting would cost more than computing the prefix again,
// so that the prefix spreads over as many endpoints as it needs and shrinks
// back, with no list of hot prefixes. Without it, callers of a hot prefix queue
// behind each other while other endpoints idle. Equal costs keep the order of
// the candidates, which all instances share.
func Choose(promptTokens, keptTokens int64, offers []Offer, p Prices) Choice {
	p = p.scarce(offers)
	best := Choice{Index: -1}
	for i, o := range offers {
		at := p
		if o.PrefillRate > 0 {
			at.PrefillTokensPerSecond = o.PrefillRate
		}
		work, imported := at.prefill(promptTokens, keptTokens, o.CachedTokens)
		cost := o.Wait + work
		if best.Index < 0 || cost < best.Cost {
			best = Choice{Index: i, ImportTokens: imported, Cost: cost}
		}
	}
	return best
}

// scarce sets the price of recomputation. It raises it while even the least busy candidate
// is behind. While one of them idles, computing a prompt again costs nobody
// else's time. In saturation it does: each shift then takes as much from the
// pool's capacity as it computes, the waits grow, and more requests shift. That
// showed as a hit rate that falls with the load; with the price it stays.
func (p Prices) scarce(offers []Offer) Prices {
	if len(offers) == 0 {
		return p
	}
	least := offers[0].Wait
	for _, o := range offers {
		least = min(least, o.Wait)
	}
	if p.Urgent {
		p.Recompute *= urgentShare
	}
	p.Recompute *= 1 + least.Seconds()/scarceWait.Seconds()
	return p
}

// prefill prices the computation of what is not cached, with an import of kept
// KV cache where that is cheaper.
func (p Prices) prefill(prompt, kept, cached int64) (time.Duration, int64) {
	missing := max(prompt-cached, 0)
	compute := p.Compute(missing)
	gain := min(kept, prompt) - cached
	if p.ImportTokensPerSecond <= 0 || gain <= 0 {
		return compute, 0
	}
	load := p.ImportFixed + seconds(float64(gain)/p.ImportTokensPerSecond) + p.Compute(missing-gain)
	if load >= compute {
		return compute, 0
	}
	return load, gain
}

// Import is how many tokens of kept KV cache are worth importing before a
// prompt is sent to an endpoint that has cached tokens of it; 0 for none.
func (p Prices) Import(prompt, kept, cached int64) int64 {
	_, imported := p.prefill(prompt, kept, cached)
	return imported
}

// Compute prices the computation of tokens.
func (p Prices) Compute(tokens int64) time.Duration {
	if p.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(tokens) / p.PrefillTokensPerSecond * p.Recompute)
}

// seconds converts to a duration, cut to an hour so that no sum overflows.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
