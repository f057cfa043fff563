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
	patience = 15 * time.Second
	look     = 18 * time.Millisecond
)

// replay plays the requests and returns how many were on time, how many were
// read within their patience, and the longest time to a first token.
func replay(list []ask, decide func(Timing) bool) (onTime, served int, longest time.Duration) {
	var w waiting
	for _, a := range list {
		a.next = a.at
		heap.Push(&w, &a)
	}
	var r reader
	for w.Len() > 0 {
		a := heap.Pop(&w).(*ask)
		now := a.next
		t := Timing{Target: target, Patience: patience, Elapsed: now - a.at, Backlog: r.backlog(now), First: r.backlog(now) + a.takes}
		if !decide(t) {
			a.next = now + look
			heap.Push(&w, a)
			continue
		}
		r.free = now + t.First
		first := r.free - a.at
		longest = max(longest, first)
		if first <= target {
			onTime++
		}
		if first <= patience {
			served++
		}
	}
	return onTime, served, longest
}

func always(Timing) bool { return true }

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
// reads. In order of arrival the queue grows beyond what callers are content with
// and stays there, so that all of them wait, also those who come after the burst.
// Letting the late ones wait keeps most of the others on time, and all are served.
func TestBurstLeavesMostOnTime(t *testing.T) {
	before, servedBefore, _ := replay(burst(), always)
	after, served, longest := replay(burst(), SendNow)
	if served != 400 || servedBefore != 400 {
		t.Fatalf("%d of 400 served, %d without waiting", served, servedBefore)
	}
	if after < before+40 {
		t.Errorf("%d on time, %d without waiting", after, before)
	}
	if bound := time.Duration(agingShare*float64(patience)) + 2*time.Second; longest > bound {
		t.Errorf("a request waited %v, want at most %v", longest, bound)
	}
}

// Long prompts are late from the start. If the pool never idles, they must not
// wait until their callers give up.
func TestLatePromptsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := Timing{
			Target: target, Patience: patience,
			Elapsed: time.Duration(rapid.Int64Range(int64(agingShare*float64(patience)), int64(patience)).Draw(t, "elapsed")),
			Backlog: time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "backlog")),
		}
		timing.First = timing.Backlog + 900*time.Millisecond
		if !SendNow(timing) {
			t.Fatalf("a request still waits after %v of %v", timing.Elapsed, patience)
		}
	})
}

// Nothing waits here while the endpoint idles: a pause would gain nobody anything.
func TestIdleEndpointTakesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		takes := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "takes"))
		elapsed := time.Duration(rapid.Int64Range(0, int64(patience)).Draw(t, "elapsed"))
		if !SendNow(Timing{Target: target, Patience: patience, Elapsed: elapsed, First: takes}) {
			t.Fatal("a request waits for an idle endpoint")
		}
	})
}
