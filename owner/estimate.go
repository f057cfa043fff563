package owner

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/policy"
)

const (
	// minRetryAfter is the shortest retry delay. Earlier retries would come before anything
	// can have changed.
	minRetryAfter = 200 * time.Millisecond
	// uncertainWeight is the weight of a block whose eviction may have been missed in a gap
	// of the cache events. Most blocks are still cached after a gap.
	uncertainWeight = 0.5
	// learningPeriod is how long a new owner takes to see which prefixes are in use. Hot
	// prompts recur within seconds and rare ones within half a minute; by then the engine
	// has evicted those that did not recur.
	learningPeriod = 30 * time.Second
	// initialCachedShare is the share of a prompt, as much as most prompts have in common,
	// that is assumed to be cached at its first candidate when the learning period starts.
	// It decreases linearly to 0 by the end of the period.
	initialCachedShare = 0.9
)

// cacheEstimate is an estimate of how much of a prompt is cached at an endpoint.
type cacheEstimate struct {
	// knownBlocks is the number of leading blocks that are in the cache model.
	knownBlocks int
	// cached is the number of tokens expected to be cached, missing the number to be
	// computed.
	cached, missing int64
	rank            rank
}

// estimateCache estimates how much of a prompt is cached.
//
// When all instances restart during a burst, the engines' caches are full but no owner
// knows their contents. If the caches were assumed empty, every prompt would count as a
// long one and go to the endpoint with the shortest queue instead of the one that has it
// cached. So a new owner relies on the order of candidates, by which its predecessors
// placed requests, until it has observed which prefixes are in use.
func (e *Endpoint) estimateCache(now time.Time, a Ask) cacheEstimate {
	known, certain := e.known.knownBlocks(a.Blocks)
	blocks := float64(certain) + float64(known-certain)*uncertainWeight
	tokens := blocks * float64(e.cfg.BlockTokens)
	if a.Candidate == 0 {
		tokens = max(tokens, e.assumedCachedShare(now)*float64(a.PromptTokens))
	}
	p := cacheEstimate{knownBlocks: known, cached: min(int64(tokens), a.PromptTokens)}
	p.missing = a.PromptTokens - p.cached
	p.rank = rankOf(a, p.missing)
	return p
}

// assumedCachedShare returns the share of a prompt that is assumed to be cached at its first
// candidate although this owner has not seen it there. It is 0 after the learning period,
// and if cacheKnown is set.
func (e *Endpoint) assumedCachedShare(now time.Time) float64 {
	if e.firstAsk.IsZero() {
		e.firstAsk = now
	}
	if e.cacheKnown {
		return 0
	}
	left := 1 - float64(now.Sub(e.firstAsk))/float64(learningPeriod)
	return initialCachedShare * max(left, 0)
}

// offer returns what the endpoint would give the ask now.
func (e *Endpoint) offer(now time.Time, a Ask, p cacheEstimate) policy.Offer {
	return policy.Offer{
		Endpoint:     e.cfg.Name,
		CachedTokens: p.cached,
		Wait:         e.wait(now, a, p.rank),
		Incarnation:  e.incarnation,
		Alone:        a.Alone,
		PrefillRate:  e.window.Rate(),
	}
}

// wait estimates the time until the endpoint starts a new ask: until a slot of its lane is
// free and the prefill ahead of it is computed, whichever is later.
func (e *Endpoint) wait(now time.Time, a Ask, r rank) time.Duration {
	l := laneOf(a)
	if a.Alone || len(e.aloneQueue) > 0 || e.aloneRunning {
		return e.drainTime(l, len(e.aloneQueue))
	}
	var own work
	if oq := e.queue[l].queues[a.Organisation]; oq != nil {
		own = oq.work
	}
	return e.waitBehind(now, a, r, own)
}

// waitBehind estimates the wait of an ask that is queued behind own, the work of the same
// organisation.
func (e *Endpoint) waitBehind(now time.Time, a Ask, r rank, own work) time.Duration {
	l := laneOf(a)
	count, queued := e.queue[l].ahead(a.Organisation, a.Weight, r, own)
	if l == laneNormal {
		queued += e.queue[laneUrgent].work.upTo(rankUrgent)
		count += e.queue[laneUrgent].length
	}
	prefill := e.window.PrefillTime(queued+e.pendingBefore(now, r)) - e.progress(now)
	return max(prefill, e.slotWait(l, count), 0)
}

// pendingBefore returns the number of tokens sent to the engine that are computed before a new
// request of the rank.
func (e *Endpoint) pendingBefore(now time.Time, r rank) int64 {
	var sum, later int64
	for i, tokens := range e.pendingTokens {
		if rank(i) <= r {
			sum += tokens
		} else {
			later += tokens
		}
	}
	if r == rankShort && e.longOverdue(now) {
		return sum + later
	}
	return sum + min(later, chunkTokens)
}

// progress returns how long the endpoint has been computing the pending tokens.
func (e *Endpoint) progress(now time.Time) time.Duration {
	return e.window.BusyTime(now, e.pendingTokens[rankUrgent]+e.pendingTokens[rankShort]+e.pendingTokens[rankLong])
}

// slotWait estimates the time until a slot is free for a request with count others ahead of
// it. As many requests must end as slots are missing, and running requests end at the rate
// given by the mean hold times.
func (e *Endpoint) slotWait(l lane, count int) time.Duration {
	used := e.inUse[laneNormal] + e.inUse[laneUrgent] + e.external.requests()
	free := e.cfg.Slots - used
	if l == laneNormal {
		free -= e.cfg.UrgentSlots
	}
	if count < free {
		return 0
	}
	ends := float64(e.inUse[laneNormal]) / e.meanHold[laneNormal].Seconds()
	ends += float64(e.inUse[laneUrgent]) / e.meanHold[laneUrgent].Seconds()
	if ends <= 0 {
		return e.meanHold[l]
	}
	return time.Duration(float64(count-free+1) / ends * float64(time.Second))
}

// drainTime estimates the time until the endpoint is empty, behind other requests that must
// also run alone.
func (e *Endpoint) drainTime(l lane, before int) time.Duration {
	drain := time.Duration(0)
	if len(e.grants) > 0 {
		drain = max(e.meanHold[laneNormal], e.meanHold[laneUrgent])
	}
	return drain + time.Duration(before)*e.meanHold[l]
}

// cost is the endpoint time, in seconds, that a request is charged for: its prefill, which
// excludes all others, and its share of the slots.
func (e *Endpoint) cost(l lane, tokens int64) float64 {
	return e.window.PrefillTime(tokens).Seconds() + e.meanHold[l].Seconds()/float64(max(e.cfg.Slots, 1))
}

// retryAfter returns the time after which a refused caller should retry. It adds up to a
// quarter, by request ID, so that callers refused together do not retry together.
func retryAfter(requestID string, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	spread := xxh3.HashString(requestID) % 256
	return wait + wait/4*time.Duration(spread)/256
}

func refuse(a Ask, reason Reason, after time.Duration) Decision {
	return Decision{Kind: Refused, Caller: a.Caller, RequestID: a.RequestID, Reason: reason, RetryAfter: after}
}
