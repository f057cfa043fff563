package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
)

const (
	// progressEvery is the interval between progress lines.
	progressEvery = time.Second
	// defaultBackoff is how long a caller waits before it sends again if the answer has no
	// Retry-After.
	defaultBackoff = 200 * time.Millisecond
	// unknownResends is how often a caller sends a request again whose outcome is unknown, to learn
	// the outcome.
	unknownResends = 3
	// maxUnreachable is how long a caller that sends again keeps trying while it reaches no
	// instance at all.
	maxUnreachable = 15 * time.Second
	// maxBackoff bounds the wait that a caller takes from Retry-After.
	maxBackoff = 3 * time.Second
)

// balancer is the load balancer in front of the instances. It selects the instance that a caller
// connects to.
type balancer interface {
	// choose returns the address of an instance, preferably one that is not in tried.
	choose(rng *rand.Rand, tried []string) string
	// killedSince reports whether the instance was killed after the time since or is not running.
	killedSince(target string, since time.Time) bool
}

// driver sends a workload on schedule, whether or not earlier requests have been answered, and
// counts the answers that callers got.
type driver struct {
	workload *workload
	balancer balancer
	// runs holds the endpoints' counts; nil if the endpoints are not emulated by this process.
	runs *emulator.Ledger
	// resends is how often a caller sends again after an answer that is not complete.
	resends int

	mu       sync.Mutex
	classes  map[string]*Counts
	open     int
	findings []string
	keys     map[string]*keyedRequest
	refusals []refusal
}

// refusal records an answer "not run", which must still be true at the end of the run.
type refusal struct {
	class, marker, key string
	runs               int
	// attempt is the id of the refused attempt if only the runs of that attempt count, otherwise
	// empty.
	attempt string
	// detail describes the refusal in a finding: for which attempt, when and why.
	detail string
}

func newDriver(w *workload, b balancer, runs *emulator.Ledger) *driver {
	d := &driver{workload: w, balancer: b, runs: runs, classes: map[string]*Counts{}, keys: map[string]*keyedRequest{}}
	for _, work := range w.load.GetWork() {
		d.classes[work.GetName()] = newCounts()
	}
	return d
}

// run sends requests until the load or ctx ends, and waits for the answers.
func (d *driver) run(ctx context.Context, progress io.Writer) {
	stop := d.showProgress(progress)
	defer stop()
	start := time.Now()
	var wg sync.WaitGroup
	for _, a := range d.workload.arrivals() {
		due := a.due
		if !sleepUntil(ctx, start.Add(due)) {
			break
		}
		r := d.workload.drawArrival(a)
		if !d.admit(r) {
			continue
		}
		wg.Go(func() {
			d.perform(ctx, r, start.Add(due))
			d.release()
		})
	}
	wg.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit bounds the number of open requests, so that the driver does not accumulate all requests
// that are due when a target has stopped answering. It reports whether to send the request.
func (d *driver) admit(r *request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[r.work.GetName()]
	if d.open >= int(d.workload.load.GetMaxInFlight()) {
		c.NotSent++
		return false
	}
	d.open++
	c.Sent++
	if r.key != "" {
		d.keys[r.key] = &keyedRequest{class: r.work.GetName(), marker: r.markerName(d.workload.load.GetSeed(), 0)}
	}
	return true
}

func (d *driver) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// perform sends one request until the answer is complete or the caller has used up its resends.
func (d *driver) perform(ctx context.Context, r *request, due time.Time) {
	var second sync.WaitGroup
	if r.resend == resendAtOnce {
		second.Go(func() { d.attempt(r, d.rng(r, 1), 0, nil) })
	}
	rng := d.rng(r, 0)
	var tried []string
	var last verdict
	reached := time.Now()
	for n := 0; ; n++ {
		var a answer
		var target string
		last, target, a = d.attempt(r, rng, n, tried)
		if last == verdictComplete && !a.stopped {
			d.observe(r, a, due)
		}
		if last == verdictComplete || last == verdictStopped || ctx.Err() != nil {
			break
		}
		if last != verdictNotReached {
			reached = time.Now()
		}
		// Nothing was sent, so the attempt does not count.
		notReached := last == verdictNotReached && d.resends > 0 && time.Since(reached) < maxUnreachable
		if notReached {
			n--
		}
		if !notReached && n >= d.resendsAfter(r, last) {
			break
		}
		tried = append(tried, target)
		wait := min(max(a.retryAfter, defaultBackoff), maxBackoff)
		sleepUntil(ctx, time.Now().Add(wait/2+rand.N(wait)))
	}
	if r.resend == resendAfterwards && last == verdictComplete {
		d.attempt(r, rng, 0, nil)
	}
	second.Wait()
	d.countOutcome(r, last)
}

// resendsAfter returns how often the caller sends again after an answer with the verdict. A caller
// whose request has an unknown outcome sends it again with the same key, as the API's error
// advises.
func (d *driver) resendsAfter(r *request, v verdict) int {
	if v == verdictHungUp {
		return max(d.resends, 1)
	}
	if r.key != "" && v == verdictUnknown {
		return max(d.resends, unknownResends)
	}
	return d.resends
}

// rng returns the random generator for the sends of a request: stream 0 is for the first send and
// its resends, stream 1 for a second send that is concurrent with the first.
func (d *driver) rng(r *request, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(d.workload.load.GetSeed())<<8+stream, uint64(r.number)))
}

// attempt sends a request once and checks the answer against the endpoints' counts.
func (d *driver) attempt(r *request, rng *rand.Rand, n int, tried []string) (verdict, string, answer) {
	marker := r.markerName(d.workload.load.GetSeed(), n)
	c, err := r.build(marker)
	if err != nil {
		return verdictFailed, "", answer{}
	}
	target := d.balancer.choose(rng, tried)
	begun := time.Now()
	before := d.runsOf(r, marker)
	timeout := time.Duration(d.workload.load.GetTimeoutMs()) * time.Millisecond
	if n == 0 && r.hangUp > 0 {
		timeout = r.hangUp
	}
	if n == 0 {
		c.stop = r.stop
	}
	a := do(target, &c, timeout)
	v := classify(&a, &c, d.workload.load.GetCheckAnswers())
	if v == verdictIncomplete && a.stopped {
		v = verdictStopped
	}
	if v == verdictIncomplete && a.ending == endTimeout && timeout == r.hangUp {
		v = verdictHungUp
	}
	if v == verdictIncomplete && a.ending != endTimeout && a.ending != endTruncated && d.balancer.killedSince(target, begun) {
		v = verdictCutByKill
	}
	d.check(r, v, a, c, marker, target, begun, before)
	return v, target, a
}

// observe records the time from the due time to the first token.
func (d *driver) observe(r *request, a answer, due time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	micros := min(max(a.first.Sub(due).Microseconds(), lowestMicros), highestMicros)
	_ = d.classes[r.work.GetName()].hist.RecordValue(micros)
}

// countOutcome counts a request by the verdict on its last answer.
func (d *driver) countOutcome(r *request, v verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[r.work.GetName()]
	switch v {
	case verdictComplete:
		c.Complete++
	case verdictNotReached:
		c.NotReached++
	case verdictNotRun:
		c.RefusedNotRun++
		// A second attempt that was open concurrently may still run.
		if r.key != "" && r.resend == resendNever {
			marker := r.markerName(d.workload.load.GetSeed(), 0)
			d.addKeyRefusal(r, marker, d.runsOf(r, marker))
		}
	case verdictUnknown:
		c.UnknownOutcome++
		if d.runsOf(r, r.markerName(d.workload.load.GetSeed(), 0)) > 0 {
			c.UnknownRan++
		}
	case verdictFailed:
		c.Failed++
	case verdictCutByKill:
		c.CutByKill++
	case verdictStopped:
		c.StoppedReading++
	}
}

// showProgress writes a progress line every second if w is a terminal.
func (d *driver) showProgress(w io.Writer) (stop func()) {
	if !isTerminal(w) {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(progressEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprint(w, "\r"+strings.Repeat(" ", 78)+"\r")
				return
			case <-tick.C:
				fmt.Fprint(w, d.progressLine())
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (d *driver) progressLine() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum Counts
	for _, c := range d.classes {
		sum.Sent += c.Sent
		sum.Complete += c.Complete
		sum.RefusedNotRun += c.RefusedNotRun
	}
	return fmt.Sprintf("\rsent %6d  open %5d  complete %6d  not run %5d", sum.Sent, d.open, sum.Complete, sum.RefusedNotRun)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
