package balance

import (
	"container/heap"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reader is one endpoint that reads prompts one after the other, in the order in
// which they are sent to it.
type reader struct{ free time.Duration }

func (r *reader) backlog(now time.Duration) time.Duration { return max(r.free-now, 0) }

// ask is one request of the replay: when it comes, and how long its prompt takes.
type ask struct {
	at, takes time.Duration
	next      time.Duration
	// back says that it was told to come back, and has; it can't be on time any more.
	back bool
}

// waiting orders requests by the moment of their next look.
type waiting []*ask

func (w waiting) Len() int           { return len(w) }
func (w waiting) Less(i, j int) bool { return w[i].next < w[j].next }
func (w waiting) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waiting) Push(x any)        { *w = append(*w, x.(*ask)) }
func (w *waiting) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

const (
	target   = 800 * time.Millisecond
	patience = 3200 * time.Millisecond
	look     = 18 * time.Millisecond
)

// result of a replay: how many were on time, how many were read before their
// callers gave up, how many were told to come back, and the longest time to a first
// token. wasted is the work on prompts whose callers had given up.
type result struct {
	onTime, served, refused, cameBack int
	longest, wasted                   time.Duration
}

// Callers that are told to come back do so after the backlog, at least after
// returnLeast and at most after a part of their time.
const (
	returnLeast = 250 * time.Millisecond
	returnShare = 4
)

// replay plays the requests. With comeBack, callers that are refused come once more;
// they cannot be on time then.
func replay(list []ask, comeBack bool, decide func(Timing) Admission) result {
	var w waiting
	for _, a := range list {
		a.next = a.at
		heap.Push(&w, &a)
	}
	var r reader
	var out result
	for w.Len() > 0 {
		a := heap.Pop(&w).(*ask)
		now := a.next
		t := Timing{Target: target, Patience: patience, Elapsed: now - a.at, Backlog: r.backlog(now), First: r.backlog(now) + a.takes}
		switch decide(t) {
		case Wait:
			a.next = now + look
			heap.Push(&w, a)
			continue
		case Refuse:
			if comeBack && !a.back {
				out.cameBack++
				a.back = true
				a.next = now + min(max(t.Backlog, returnLeast), (patience-t.Elapsed)/returnShare)
				a.at = a.next
				heap.Push(&w, a)
				continue
			}
			out.refused++
			continue
		}
		r.free = now + t.First
		first := r.free - a.at
		out.longest = max(out.longest, first)
		if first <= target && !a.back {
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

// burst comes at 1.4 times what the endpoint reads for some seconds, between
// calmer times at half of it; one prompt in ten takes five times as long.
func burst() []ask {
	var list []ask
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
		list = append(list, ask{at: at, takes: takes})
		at += gap
	}
	return list
}

// Every branch opens at the hour, and for ten seconds more comes than the pool
// reads. In order of arrival the queue grows beyond what callers are content with,
// then beyond their patience, and endpoints read for nobody. Letting the late ones
// wait, and telling those who would give up to come back, keeps more of the others
// on time and wastes nothing.
func TestBurstLeavesMostOnTime(t *testing.T) {
	before, after := replay(burst(), false, always), replay(burst(), false, Admit)
	t.Logf("on time %d -> %d, served %d -> %d of 400", before.onTime, after.onTime, before.served, after.served)
	if after.onTime < before.onTime+20 {
		t.Errorf("%d on time, %d without waiting", after.onTime, before.onTime)
	}
	if after.served < before.served || after.served+after.refused != 400 {
		t.Errorf("%d served and %d refused, %d served without waiting", after.served, after.refused, before.served)
	}
	if after.wasted > 0 {
		t.Errorf("%v of work on prompts whose callers had given up (%v without waiting)", after.wasted, before.wasted)
	}
}

// The same burst, with callers who come back once when they are told to. Kept waiting
// until they are sent late, they make the next ones late too, until nobody is on time;
// told at once, most of them are served a moment later, and nearly nobody is lost.
func TestLateInABurstIsToldAtOnce(t *testing.T) {
	waits := func(t Timing) Admission {
		if decision := Admit(t); decision != Refuse || t.Elapsed+t.First > t.Patience {
			return decision
		}
		if float64(t.Elapsed) > agingShare*float64(t.Patience) {
			return Send
		}
		return Wait
	}
	before, after := replay(burst(), true, waits), replay(burst(), true, Admit)
	t.Logf("on time %d -> %d, refused for good %d -> %d of 400", before.onTime, after.onTime, before.refused, after.refused)
	if after.onTime < before.onTime+15 {
		t.Errorf("%d on time, %d where they wait", after.onTime, before.onTime)
	}
	if after.refused > 400/50 {
		t.Errorf("%d of 400 were refused for good", after.refused)
	}
	if after.cameBack == 0 {
		t.Error("nobody was told to come back")
	}
}

// Long prompts are late from the start. If the pool never idles, they must not
// wait here until their callers give up.
func TestLatePromptsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := Timing{
			Target: target, Patience: patience,
			Elapsed: time.Duration(rapid.Int64Range(int64(agingShare*float64(patience)), int64(patience)).Draw(t, "elapsed")),
			Backlog: time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "backlog")),
		}
		timing.First = timing.Backlog + 900*time.Millisecond
		if Admit(timing) == Wait {
			t.Fatalf("a request still waits after %v of %v", timing.Elapsed, patience)
		}
	})
}

// Nothing waits here and nobody is refused while the endpoint idles: it would gain
// nobody anything.
func TestIdleEndpointTakesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "takes"))
		elapsed := time.Duration(rapid.Int64Range(0, int64(patience)).Draw(t, "elapsed"))
		if got := Admit(Timing{Target: target, Patience: patience, Elapsed: elapsed, First: takes}); got != Send {
			t.Fatalf("decision %d for an idle endpoint", got)
		}
	})
}

// A caller who would give up before the first token is told at once, not after it
// has waited: only then can it come back while its answer is still of use.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	timing := Timing{Target: target, Patience: patience, Backlog: 4 * time.Second, First: 4100 * time.Millisecond}
	if got := Admit(timing); got != Refuse {
		t.Errorf("decision %d", got)
	}
}

// holder is one endpoint whose memory holds some requests at a time. One that is sent
// all the same drives out the newest, whose prompt is then read a second time.
type holder struct {
	ends []time.Duration
	room int
}

const heldFor = 600 * time.Millisecond

func (h *holder) full(now time.Duration) bool {
	running := h.ends[:0]
	for _, end := range h.ends {
		if end > now {
			running = append(running, end)
		}
	}
	h.ends = running
	return len(h.ends) >= h.room
}

func (h *holder) send(now time.Duration) {
	if h.full(now) {
		h.ends[len(h.ends)-1] += heldFor
	}
	h.ends = append(h.ends, now+heldFor)
}

// replayMemory plays requests on a pool bound by memory, and returns how many had
// their first token on time.
func replayMemory(list []ask, decide func(Timing) Admission) (onTime int) {
	var w waiting
	for _, a := range list {
		a.next = a.at
		heap.Push(&w, &a)
	}
	h := holder{room: 8}
	for w.Len() > 0 {
		a := heap.Pop(&w).(*ask)
		now := a.next
		t := Timing{Target: target, Patience: patience, Elapsed: now - a.at, First: a.takes, Full: h.full(now)}
		switch decide(t) {
		case Wait:
			a.next = now + look
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

// A burst fills the memory of a pool for many seconds. Requests that have become late
// while they waited for room are sent in the end though there is none; they drive out
// others, and soon nobody has a first token in time.
func TestLateForMemoryLeavesRoomToOthers(t *testing.T) {
	var list []ask
	for i := range 400 {
		list = append(list, ask{at: time.Duration(i) * 50 * time.Millisecond, takes: 80 * time.Millisecond})
	}
	sendsInTheEnd := func(t Timing) Admission {
		if decision := Admit(t); decision != Refuse {
			return decision
		}
		if float64(t.Elapsed) >= agingShare*float64(t.Patience) {
			return Send
		}
		return Wait
	}
	before, after := replayMemory(list, sendsInTheEnd), replayMemory(list, Admit)
	t.Logf("on time %d -> %d of 400", before, after)
	if after < before+30 {
		t.Errorf("%d of 400 on time, %d where the late ones are sent in the end", after, before)
	}
}
