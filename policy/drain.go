package policy

import (
	"slices"
	"sync"
	"time"
)

// Drain decides which requests an instance that was told to end still takes.
//
// Load: an instance is stopped while callers go on sending over open connections and,
// until the balancer has noticed, over new ones. Harm prevented: taken near the end, a
// long answer is cut when the time to end is over. It has run by then, so its caller does
// not learn what became of it and may not send it again. Refused at once, it has not run,
// and another instance serves it some milliseconds later.
type Drain struct {
	// CutAt is when answers that are still open are cut.
	CutAt time.Time
}

// Takes reports whether a request that would be sent now is expected to end before the
// cut. It ends by its deadline in any case; known says that usual, the time that answers
// of its route take, is known. The deadline alone would turn away all requests whose
// callers have more patience than the instance has time left, though nearly all of them
// end long before.
func (d Drain) Takes(now, deadline time.Time, usual time.Duration, known bool) bool {
	end := deadline
	if expected := now.Add(usual); known && expected.Before(end) {
		end = expected
	}
	return !end.After(d.CutAt)
}

const (
	// answersKept is how many of the last answers of a route tell what is usual.
	answersKept = 64
	// answersTail is one in how many answers may take longer than what is usual. Such an
	// answer may be cut, and to refuse costs a caller no more than another connection.
	answersTail = 20
	// fewTimes is how many times the longest answer counts where fewer than answersTail
	// are known: the next one may well be longer than all of them. An instance that has
	// just started would else turn away all patient callers while it ends.
	fewTimes = 2
)

// AnswerTimes keeps how long the last answers of one route took from their send to their
// end. Any goroutine may use it.
type AnswerTimes struct {
	mu   sync.Mutex
	last [answersKept]time.Duration
	// count of all answers.
	count int
}

// Took notes an answer.
func (a *AnswerTimes) Took(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[a.count%answersKept] = d
	a.count++
}

// Usual returns the time within which the next answer is expected to end, as all but one
// in answersTail of the last ones did. known is false before the first one.
func (a *AnswerTimes) Usual() (d time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(a.count, answersKept)
	if n == 0 {
		return 0, false
	}
	times := a.last
	slices.Sort(times[:n])
	if n < answersTail {
		return fewTimes * times[n-1], true
	}
	return times[n-1-n/answersTail], true
}
