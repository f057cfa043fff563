package owner

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/policy"
)

const (
	// minRetryAfter keeps refused callers from asking again before anything can
	// have changed.
	minRetryAfter = 200 * time.Millisecond
	// doubtfulShare is what a doubtful block counts for: a gap may have hidden
	// its eviction, but most blocks outlive a gap.
	doubtfulShare = 0.5
	// learnTime is how long a new owner takes to see what is in use. The hot
	// prompts come again within seconds, those that are rare within half a
	// minute, by which time the engine has evicted what did not come.
	learnTime = 30 * time.Second
	// firstShare of a prompt is taken to be cached at its first candidate at the
	// start of learning, and less and less until its end: what most prompts share.
	firstShare = 0.9
)

// appraisal is what a prompt is worth at this endpoint now.
type appraisal struct {
	// depth is how many leading blocks are known.
	depth int
	// cached tokens are believed to be there, missing ones to be computed.
	cached, missing int64
	rank            rank
}

// appraise looks up what of a prompt is cached.
//
// It is made for the restart of all instances in the middle of a burst: the
// engines' caches are full and no owner knows of what. Taken for empty, every
// prompt would look like a long one, and the endpoint with the shortest queue
// would get it instead of the one that has it cached. So a new owner believes
// in the order of candidates, by which its predecessors placed, until it has
// seen for itself what is in use.
func (e *Endpoint) appraise(now time.Time, a Ask) appraisal {
	known, sure := e.known.depth(a.Blocks)
	blocks := float64(sure) + float64(known-sure)*doubtfulShare
	tokens := blocks * float64(e.cfg.BlockTokens)
	if a.Candidate == 0 {
		tokens = max(tokens, e.believed(now)*float64(a.PromptTokens))
	}
	p := appraisal{depth: known, cached: min(int64(tokens), a.PromptTokens)}
	p.missing = a.PromptTokens - p.cached
	p.rank = rankOf(a, p.missing)
	return p
}

// believed is the share of a prompt that is taken to be cached at its first
// candidate though this owner has not seen it: none once it has learnt what is
// in use, or where the endpoint is as new as the owner.
func (e *Endpoint) believed(now time.Time) float64 {
	if e.began.IsZero() {
		e.began = now
	}
	if e.cacheKnown {
		return 0
	}
	left := 1 - float64(now.Sub(e.began))/float64(learnTime)
	return firstShare * max(left, 0)
}

// offer is what the endpoint would give the ask now.
func (e *Endpoint) offer(now time.Time, a Ask, p appraisal) policy.Offer {
	return policy.Offer{
		Endpoint:     e.cfg.Name,
		CachedTokens: p.cached,
		Wait:         e.wait(now, a, p.rank),
		Incarnation:  e.incarnation,
		Alone:        a.Alone,
		PrefillRate:  e.window.Rate(),
	}
}

// wait estimates the time until the endpoint begins with a new ask: until a
// slot of its lane is free and until the prefill before it is computed,
// whichever is later.
func (e *Endpoint) wait(now time.Time, a Ask, r rank) time.Duration {
	l := laneOf(a)
	if a.Alone || len(e.aloneQueue) > 0 || e.aloneRuns {
		return e.drainTime(l, len(e.aloneQueue))
	}
	var own work
	if line := e.queue[l].lines[a.Organisation]; line != nil {
		own = line.work
	}
	return e.waitBehind(now, a, r, own)
}

// waitBehind is the wait of an ask behind own work of its organisation.
func (e *Endpoint) waitBehind(now time.Time, a Ask, r rank, own work) time.Duration {
	l := laneOf(a)
	count, queued := e.queue[l].ahead(a.Organisation, a.Weight, r, own)
	if l == waiting {
		queued += e.queue[urgent].work.upTo(rankUrgent)
		count += e.queue[urgent].length
	}
	prefill := e.window.PrefillTime(queued+e.before(now, r)) - e.progress(now)
	return max(prefill, e.slotWait(l, count), 0)
}

// before is what was sent and is computed before a new request of the rank.
func (e *Endpoint) before(now time.Time, r rank) int64 {
	var sum, later int64
	for i, tokens := range e.pending {
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

// progress is how long the endpoint has been computing on what is pending.
func (e *Endpoint) progress(now time.Time) time.Duration {
	return e.window.BusyTime(now, e.pending[rankUrgent]+e.pending[rankShort]+e.pending[rankLong])
}

// slotWait is the time until a slot is free behind count others: as many
// requests have to end as there are too few slots, and those that run end at
// the rate that their mean times give.
func (e *Endpoint) slotWait(l lane, count int) time.Duration {
	used := e.inUse[waiting] + e.inUse[urgent] + e.foreign.requests()
	free := e.cfg.Slots - used
	if l == waiting {
		free -= e.cfg.UrgentSlots
	}
	if count < free {
		return 0
	}
	ends := float64(e.inUse[waiting]) / e.hold[waiting].Seconds()
	ends += float64(e.inUse[urgent]) / e.hold[urgent].Seconds()
	if ends <= 0 {
		return e.hold[l]
	}
	return time.Duration(float64(count-free+1) / ends * float64(time.Second))
}

// drainTime is the time until nothing runs any more, behind others that also
// have to run alone.
func (e *Endpoint) drainTime(l lane, before int) time.Duration {
	drain := time.Duration(0)
	if len(e.grants) > 0 {
		drain = max(e.hold[waiting], e.hold[urgent])
	}
	return drain + time.Duration(before)*e.hold[l]
}

// cost is the endpoint's time that a request is charged for: its prefill, which
// nobody else can use, and its part of the slots.
func (e *Endpoint) cost(l lane, tokens int64) float64 {
	return e.window.PrefillTime(tokens).Seconds() + e.hold[l].Seconds()/float64(max(e.cfg.Slots, 1))
}

// retryAfter tells a refused caller when to come back. Callers that were
// refused together are spread over a quarter more, by their ids, so that they
// do not come back together.
func retryAfter(requestID string, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	spread := xxh3.HashString(requestID) % 256
	return wait + wait/4*time.Duration(spread)/256
}

func refuse(a Ask, reason Reason, after time.Duration) Decision {
	return Decision{Kind: Refused, Caller: a.Caller, RequestID: a.RequestID, Reason: reason, RetryAfter: after}
}
