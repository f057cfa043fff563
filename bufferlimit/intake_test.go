package bufferlimit

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a sum of received answers over the bound, and against an answer that is ended though a larger one is being
// received.
func TestIntakeEndsTheLargestAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Int64Range(1, 1000).Draw(t, "bound")
		i := NewIntake(bound)
		var open []*Collection
		sizes, stopped := map[*Collection]int64{}, map[*Collection]bool{}
		largest := func() int64 {
			var size int64
			for c, n := range sizes {
				if !c.Full() {
					size = max(size, n)
				}
			}
			return size
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			k := rapid.IntRange(0, max(0, len(open)-1)).Draw(t, "answer")
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0 || len(open) == 0:
				var c *Collection
				c = i.Begin(func() { stopped[c] = true })
				open, sizes[c] = append(open, c), 0
			case step == 1:
				open[k].End()
				delete(sizes, open[k])
				open = append(open[:k], open[k+1:]...)
			default:
				c, n := open[k], rapid.Int64Range(0, bound).Draw(t, "bytes")
				ended := c.Full()
				if !ended {
					sizes[c] += n
				}
				others := largest()
				err := c.Grow(start, n)
				if !ended && err != nil && sizes[c] < others {
					t.Fatalf("an answer of %d bytes was ended, the largest has %d", sizes[c], others)
				}
				if (err != nil) != c.Full() {
					t.Fatalf("%v, full: %v", err, c.Full())
				}
			}
			if v := i.View(); v.Held > bound || v.Held < 0 || v.Messages != len(open) {
				t.Fatalf("%+v, %d open", v, len(open))
			}
		}
		for _, c := range open {
			c.End()
			c.End()
		}
		if v := i.View(); v.Held != 0 || v.Messages != 0 {
			t.Fatalf("%+v at the end", v)
		}
	})
}

// The load: ten answers without end beside many small ones, of which as many are open as fit into half of the bound. Guards against
// a small one that is ended.
func TestSmallAnswersAreReceivedBesideEndlessOnes(t *testing.T) {
	const bound, piece, small, endless, rounds = 1 << 20, 32 << 10, 4 << 10, 10, 2000
	i := NewIntake(bound)
	var stopped [endless]bool
	var flood [endless]*Collection
	begin := func(k int) {
		stopped[k] = false
		flood[k] = i.Begin(func() { stopped[k] = true })
	}
	for k := range flood {
		begin(k)
	}
	var answers []*Collection
	for n := range rounds {
		k := n % endless
		if err := flood[k].Grow(start, piece); err != nil {
			flood[k].End()
			begin(k)
		}
		c := i.Begin(func() { t.Errorf("round %d: a small answer was stopped", n) })
		if err := c.Grow(start, small); err != nil {
			t.Fatalf("round %d: %v", n, err)
		}
		if answers = append(answers, c); len(answers) > bound/2/small {
			answers[0].End()
			answers = answers[1:]
		}
		if v := i.View(); v.Held > bound {
			t.Fatalf("%+v", v)
		}
	}
	if v := i.View(); v.Ended == 0 {
		t.Errorf("%+v, no answer without end was ended", v)
	}
}

// requestModel is what a request of TestRequestsYieldToOrdinaryOnes occupies.
type requestModel struct {
	size int64
	// ending is what it occupies after it was given up.
	ending            int64
	complete, stopped bool
}

// Guards against a sum of requests over the bound, against memory that is not released, and against an ordinary request that is given
// up for a larger unfinished one, in any order of events.
func TestRequestsYieldToOrdinaryOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 16 << 20
		i, now := NewRequestIntake(bound), start
		open := map[*Collection]*requestModel{}
		var order []*Collection
		remove := func(k int) {
			order[k].End()
			delete(open, order[k])
			order = append(order[:k], order[k+1:]...)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, max(0, len(order)-1)).Draw(t, "request")
			switch step := rapid.SampledFrom([]string{"head", "bytes", "bytes", "bytes", "shrink", "whole", "end"}).Draw(t, "step"); {
			case step == "head" || len(order) == 0:
				m := &requestModel{}
				c := i.Begin(func() { m.stopped = true })
				open[c], order = m, append(order, c)
			case step == "whole":
				if order[k].Complete() == nil {
					open[order[k]].complete = true
				}
			case step == "end":
				remove(k)
			case step == "shrink":
				m := open[order[k]]
				if n := m.size / 2; !order[k].Full() && m.ending == 0 {
					order[k].Shrink(n)
					m.size -= n
				}
			default:
				growRequest(t, i, now, open, order[k], rapid.SampledFrom([]int64{1, 1 << 10, SmallMessage, 1 << 20, 4 << 20}).Draw(t, "n"))
			}
			var sum, large int64
			for _, m := range open {
				sum += m.size + m.ending
				large += largeSize(m.size) + largeSize(m.ending)
			}
			if v := i.View(); v.Held != sum || sum > bound || large > bound/4*3 {
				t.Fatalf("%+v; held by requests: %d, of which %d by large ones", v, sum, large)
			}
		}
		for len(order) > 0 {
			remove(0)
		}
		if v := i.View(); v.Held != 0 || i.large != 0 || i.ending != 0 || i.endingLarge != 0 {
			t.Fatalf("%+v at the end, %d large", v, i.large)
		}
		alone := i.Begin(func() { t.Fatal("a request that is alone was stopped") })
		for range 4 {
			if err := alone.Grow(now, 1<<20); err != nil {
				t.Fatalf("a request at the limit, alone: %v", err)
			}
		}
	})
}

// growRequest has a request grow, and checks who was given up for it.
func growRequest(t *rapid.T, i *Intake, now time.Time, open map[*Collection]*requestModel, c *Collection, n int64) {
	m := open[c]
	if m.complete || c.Full() {
		return
	}
	m.size += n
	err := c.Grow(now, n)
	if errors.Is(err, ErrIntakeBusy) && i.ending == 0 {
		t.Fatal("growth deferred for nothing")
	}
	var largest int64
	for other, o := range open {
		if !o.complete && (!other.Full() || o.size > 0) {
			largest = max(largest, o.size)
		}
	}
	for other, o := range open {
		if !other.Full() || o.size == 0 {
			continue
		}
		if o.complete || other != c && !o.stopped {
			t.Fatalf("%+v was given up", *o)
		}
		if o.size < largest/2 {
			t.Fatalf("a request with %d bytes was given up for one with %d", o.size, largest)
		}
		if o.size, o.ending = 0, o.size; other == c {
			// The growth was not allocated.
			o.ending -= n
		}
	}
	if errors.Is(err, ErrIntakeBusy) {
		m.size -= n
	}
}
