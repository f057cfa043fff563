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
	// progressEvery is the time between two lines of progress.
	progressEvery = time.Second
	// defaultBackoff is how long a caller waits before it sends again, where
	// the answer does not say.
	defaultBackoff = 200 * time.Millisecond
	// unknownResends is how often a caller asks again what became of a request
	// of which nobody knew.
	unknownResends = 3
	// reachBound is how long a caller that sends again goes on trying when it
	// reaches no instance at all.
	reachBound = 15 * time.Second
	// maxBackoff bounds what a caller takes from Retry-After.
	maxBackoff = 3 * time.Second
)

// targets is the balancer: it names the instances that callers reach.
type targets interface {
	// choose returns an instance, if it can be one that is not in tried.
	choose(rng *rand.Rand, tried []string) string
	// killedSince reports whether the instance was killed after the time.
	killedSince(target string, since time.Time) bool
}

// driver sends a workload on schedule, whether or not earlier answers have
// come, and counts what the callers got.
type driver struct {
	workload *workload
	targets  targets
	// runs is what the endpoints counted; nil where they are not ours.
	runs *emulator.Ledger
	// resends is how often a caller sends again after an answer that is not
	// complete.
	resends int

	mu       sync.Mutex
	classes  map[string]*Counts
	open     int
	findings []string
	keys     map[string]*keyed
	refusals []refusal
}

// refusal is a word of "not run" that has to be true to the end.
type refusal struct {
	class, marker, key string
	runs               int
	// attempt is the id of the attempt that was refused, where only its own runs count;
	// else empty.
	attempt string
	// said tells of the refusal in a finding: to whom, when and why.
	said string
}

func newDriver(w *workload, t targets, runs *emulator.Ledger) *driver {
	d := &driver{workload: w, targets: t, runs: runs, classes: map[string]*Counts{}, keys: map[string]*keyed{}}
	for _, work := range w.load.GetWork() {
		d.classes[work.GetName()] = newCounts()
	}
	return d
}

// run sends until the load or ctx ends, and waits for the answers.
func (d *driver) run(ctx context.Context, progress io.Writer) {
	stop := d.showProgress(progress)
	defer stop()
	start := time.Now()
	var wg sync.WaitGroup
	for n, due := range d.workload.dueTimes() {
		if !sleepUntil(ctx, start.Add(due)) {
			break
		}
		r := d.workload.draw(n, due)
		if !d.admit(r) {
			continue
		}
		wg.Go(func() {
			d.perform(ctx, r, start.Add(due))
			d.leave()
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

// admit keeps the number of open requests bounded, so that a target that has
// stopped answering cannot make the driver hold everything that is due.
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
		d.keys[r.key] = &keyed{class: r.work.GetName(), marker: r.markerName(d.workload.load.GetSeed(), 0)}
	}
	return true
}

func (d *driver) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// perform sends one request until it is complete or the caller gives up.
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
		if last == verdictComplete {
			d.observe(r, a, due)
		}
		if last == verdictComplete || ctx.Err() != nil {
			break
		}
		if last != verdictUnsent {
			reached = time.Now()
		}
		// Nothing was sent, so the attempt does not count.
		unreached := last == verdictUnsent && d.resends > 0 && time.Since(reached) < reachBound
		if unreached {
			n--
		}
		if !unreached && n >= d.resendsAfter(r, last) {
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
	d.settle(r, last)
}

// resendsAfter is how often the caller sends again after such an answer. One
// that is told that nobody knows asks with the same key, as it is advised to.
func (d *driver) resendsAfter(r *request, v verdict) int {
	if v == verdictHungUp {
		return max(d.resends, 1)
	}
	if r.key != "" && v == verdictUnknown {
		return max(d.resends, unknownResends)
	}
	return d.resends
}

func (d *driver) rng(r *request, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(d.workload.load.GetSeed())<<8+stream, uint64(r.number)))
}

// attempt sends a request once and checks the answer against what the
// endpoints counted.
func (d *driver) attempt(r *request, rng *rand.Rand, n int, tried []string) (verdict, string, answer) {
	marker := r.markerName(d.workload.load.GetSeed(), n)
	c, err := r.build(marker)
	if err != nil {
		return verdictFailed, "", answer{}
	}
	target := d.targets.choose(rng, tried)
	begun := time.Now()
	before := d.runsOf(r, marker)
	timeout := time.Duration(d.workload.load.GetTimeoutMs()) * time.Millisecond
	if n == 0 && r.hangUp > 0 {
		timeout = r.hangUp
	}
	a := do(target, &c, timeout)
	v := judge(&a, &c, d.workload.load.GetCheckAnswers())
	if v == verdictIncomplete && a.ending == endTimeout && timeout == r.hangUp {
		v = verdictHungUp
	}
	if v == verdictIncomplete && a.ending != endTimeout && a.ending != endShort && d.targets.killedSince(target, begun) {
		v = verdictCut
	}
	d.check(r, v, a, c, marker, target, begun, before)
	return v, target, a
}

// observe records the time to the first token, from the due time on.
func (d *driver) observe(r *request, a answer, due time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	micros := min(max(a.first.Sub(due).Microseconds(), lowestMicros), highestMicros)
	_ = d.classes[r.work.GetName()].hist.RecordValue(micros)
}

// settle counts the last word that the caller got.
func (d *driver) settle(r *request, v verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[r.work.GetName()]
	switch v {
	case verdictComplete:
		c.Complete++
	case verdictUnsent:
		c.NotReached++
	case verdictNotRun:
		c.RefusedNotRun++
		// A second attempt that was open beside this one may still run.
		if r.key != "" && r.resend == resendNever {
			marker := r.markerName(d.workload.load.GetSeed(), 0)
			d.refuse(r, marker, d.runsOf(r, marker))
		}
	case verdictUnknown:
		c.UnknownOutcome++
		if d.runsOf(r, r.markerName(d.workload.load.GetSeed(), 0)) > 0 {
			c.UnknownRan++
		}
	case verdictFailed:
		c.Failed++
	case verdictCut:
		c.CutByKill++
	}
}

// showProgress writes a line a second where a person watches.
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
