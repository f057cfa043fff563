package balance

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// serialEndpoint simulates an endpoint that reads prompts one at a time, in order of arrival.
type serialEndpoint struct{ free time.Duration }

func (r *serialEndpoint) backlog(now time.Duration) time.Duration { return max(r.free-now, 0) }

// simRequest is one request of the simulation: its arrival, and how long its prompt takes to read.
type simRequest struct {
	at, takes time.Duration
	next      time.Duration
	// retried reports whether it was refused and has been retried; it cannot be on time any
	// more.
	retried bool
}

// decisionHeap is a heap of requests by the time of their next decision.
type decisionHeap []*simRequest

func (w decisionHeap) Len() int           { return len(w) }
func (w decisionHeap) Less(i, j int) bool { return w[i].next < w[j].next }
func (w decisionHeap) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *decisionHeap) Push(x any)        { *w = append(*w, x.(*simRequest)) }
func (w *decisionHeap) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

const (
	target        = 800 * time.Millisecond
	patience      = 3200 * time.Millisecond
	retryInterval = 18 * time.Millisecond
)

// result of a simulation: the number of requests that were on time, that were read before their
// callers gave up, that were refused, and that were retried; the longest time to a first
// token; and the work wasted on prompts whose callers had given up.
type result struct {
	onTime, served, refused, retries int
	longest, wasted                  time.Duration
}

// Refused callers retry after the backlog, but after minRetryDelay at least and after
// 1/retryDivisor of their remaining patience at most.
const (
	minRetryDelay = 250 * time.Millisecond
	retryDivisor  = 4
)

// simulate runs the requests. If retry is set, a refused caller retries once; it cannot
// be on time then.
func simulate(list []simRequest, retry bool, decide func(Timing) Admission) result {
	var w decisionHeap
	for _, a := range list {
		a.next = a.at
		heap.Push(&w, &a)
	}
	var r serialEndpoint
	var out result
	for w.Len() > 0 {
		a := heap.Pop(&w).(*simRequest)
		now := a.next
		t := Timing{Target: target, Patience: patience, Elapsed: now - a.at, Backlog: r.backlog(now), FirstToken: r.backlog(now) + a.takes}
		switch decide(t) {
		case Wait:
			a.next = now + retryInterval
			heap.Push(&w, a)
			continue
		case Refuse:
			if retry && !a.retried {
				out.retries++
				a.retried = true
				a.next = now + min(max(t.Backlog, minRetryDelay), (patience-t.Elapsed)/retryDivisor)
				a.at = a.next
				heap.Push(&w, a)
				continue
			}
			out.refused++
			continue
		}
		r.free = now + t.FirstToken
		first := r.free - a.at
		out.longest = max(out.longest, first)
		if first <= target && !a.retried {
			out.onTime++
		}
		if first <= patience {
			out.served++
		} else {
			out.wasted += a.takes
		}
	}
	return out
}

func always(Timing) Admission { return Send }

// burst returns requests that arrive for some seconds at 1.4 times the rate that the
// endpoint reads, and at half of it before and after. One prompt in ten takes five times as
// long.
func burst() []simRequest {
	var list []simRequest
	at := time.Duration(0)
	for i := range 400 {
		takes := 80 * time.Millisecond
		if i%10 == 9 {
			takes = 400 * time.Millisecond
		}
		gap := 224 * time.Millisecond
		if i >= 40 && i < 160 {
			gap = 80 * time.Millisecond
		}
		list = append(list, simRequest{at: at, takes: takes})
		at += gap
	}
	return list
}

// Guards against a burst, of some ten seconds, that makes every request late. In order of
// arrival the queue grows beyond what callers accept, then beyond their patience, and
// endpoints read prompts whose callers have given up. Delaying late requests, and refusing
// those whose callers would give up, keeps more of the others on time and wastes no work.
func TestBurstKeepsMostRequestsOnTime(t *testing.T) {
	before, after := simulate(burst(), false, always), simulate(burst(), false, Admit)
	t.Logf("on time %d -> %d, served %d -> %d of 400", before.onTime, after.onTime, before.served, after.served)
	if after.onTime < before.onTime+20 {
		t.Errorf("%d on time, %d without waiting", after.onTime, before.onTime)
	}
	if after.served < before.served || after.served+after.refused != 400 {
		t.Errorf("%d served and %d refused, %d served without waiting", after.served, after.refused, before.served)
	}
	if after.wasted > 0 {
		t.Errorf("%v of work wasted on prompts whose callers had given up (%v without waiting)", after.wasted, before.wasted)
	}
}

// Guards against late requests that are kept waiting in a burst whose refused callers retry
// once. Sent late, they make the next ones late, until none is on time; refused at once,
// most of them are served by a retry a moment later, and few are lost.
func TestLateRequestsAreRefusedAtOnceInABurst(t *testing.T) {
	delays := func(t Timing) Admission {
		if decision := Admit(t); decision != Refuse || t.Elapsed+t.FirstToken > t.Patience {
			return decision
		}
		if float64(t.Elapsed) > agingShare*float64(t.Patience) {
			return Send
		}
		return Wait
	}
	before, after := simulate(burst(), true, delays), simulate(burst(), true, Admit)
	t.Logf("on time %d -> %d, refused on retry %d -> %d of 400", before.onTime, after.onTime, before.refused, after.refused)
	if after.onTime < before.onTime+15 {
		t.Errorf("%d on time, %d if late requests wait", after.onTime, before.onTime)
	}
	if after.refused > 400/50 {
		t.Errorf("%d of 400 requests were refused again on retry", after.refused)
	}
	if after.retries == 0 {
		t.Error("no caller retried")
	}
}

// Guards against long prompts, which are late from the start, waiting until their callers
// give up because the pool never idles.
func TestLongPromptsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := Timing{
			Target: target, Patience: patience,
			Elapsed: time.Duration(rapid.Int64Range(int64(agingShare*float64(patience)), int64(patience)).Draw(t, "elapsed")),
			Backlog: time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "backlog")),
		}
		timing.FirstToken = timing.Backlog + 900*time.Millisecond
		if Admit(timing) == Wait {
			t.Fatalf("a request is still delayed after %v of its patience of %v", timing.Elapsed, patience)
		}
	})
}

// Guards against requests that wait or are refused although the endpoint is idle, where a delay
// benefits no other request.
func TestIdleEndpointIsSentAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "takes"))
		elapsed := time.Duration(rapid.Int64Range(0, int64(patience)).Draw(t, "elapsed"))
		if got := Admit(Timing{Target: target, Patience: patience, Elapsed: elapsed, FirstToken: takes}); got != Send {
			t.Fatalf("decision %d at an idle endpoint, want Send", got)
		}
	})
}

// Guards against a request that waits although its caller would give up before the first
// token. Refused at once, the caller can retry while the answer is still of use.
func TestRequestBeyondPatienceIsRefusedAtOnce(t *testing.T) {
	timing := Timing{Target: target, Patience: patience, Backlog: 4 * time.Second, FirstToken: 4100 * time.Millisecond}
	if got := Admit(timing); got != Refuse {
		t.Errorf("decision %d, want Refuse", got)
	}
}

// memoryEndpoint simulates an endpoint whose memory has room for some requests at a time. A
// request sent when it is full preempts the newest, whose prompt is then read a second time.
type memoryEndpoint struct {
	ends []time.Duration
	room int
}

const runTime = 600 * time.Millisecond

func (h *memoryEndpoint) full(now time.Duration) bool {
	running := h.ends[:0]
	for _, end := range h.ends {
		if end > now {
			running = append(running, end)
		}
	}
	h.ends = running
	return len(h.ends) >= h.room
}

func (h *memoryEndpoint) send(now time.Duration) {
	if h.full(now) {
		h.ends[len(h.ends)-1] += runTime
	}
	h.ends = append(h.ends, now+runTime)
}

// simulateMemory simulates requests to a pool limited by memory, and returns how many had
// their first token on time.
func simulateMemory(list []simRequest, decide func(Timing) Admission) (onTime int) {
	var w decisionHeap
	for _, a := range list {
		a.next = a.at
		heap.Push(&w, &a)
	}
	h := memoryEndpoint{room: 8}
	for w.Len() > 0 {
		a := heap.Pop(&w).(*simRequest)
		now := a.next
		t := Timing{Target: target, Patience: patience, Elapsed: now - a.at, FirstToken: a.takes, Full: h.full(now)}
		switch decide(t) {
		case Wait:
			a.next = now + retryInterval
			heap.Push(&w, a)
		case Send:
			h.send(now)
			if now+a.takes-a.at <= target {
				onTime++
			}
		}
	}
	return onTime
}

// Guards against late requests that are sent although there is still no memory, in a burst
// that fills the pool's memory for many seconds. They preempt others, and soon no request
// has its first token on time.
func TestRequestWithoutMemoryIsRefusedWhenLate(t *testing.T) {
	var list []simRequest
	for i := range 400 {
		list = append(list, simRequest{at: time.Duration(i) * 50 * time.Millisecond, takes: 80 * time.Millisecond})
	}
	sendsLate := func(t Timing) Admission {
		if decision := Admit(t); decision != Refuse {
			return decision
		}
		if float64(t.Elapsed) >= agingShare*float64(t.Patience) {
			return Send
		}
		return Wait
	}
	before, after := simulateMemory(list, sendsLate), simulateMemory(list, Admit)
	t.Logf("on time %d -> %d of 400", before, after)
	if after < before+30 {
		t.Errorf("%d of 400 on time, %d if late requests are sent in the end", after, before)
	}
}
