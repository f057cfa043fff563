package outcome_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
)

// world is what really happened to a request, kept apart from its account.
type world struct {
	request *outcome.Request
	once    bool
	open    []*liveSend
	// mayHaveRun counts sends that reached an endpoint which did not refuse.
	mayHaveRun int
	// keyed is set while nobody knows of earlier attempts.
	keyed bool
	whole bool
	ended bool
}

type liveSend struct {
	send *outcome.Send
	// refused is what the endpoint said, if it said anything.
	refused bool
	began   bool
}

func (w *world) pick(t *rapid.T) *liveSend {
	if len(w.open) == 0 {
		t.Skip("no send is open")
	}
	return w.open[rapid.IntRange(0, len(w.open)-1).Draw(t, "send")]
}

// A request is sent, refused, sent again, breaks, answers, in any order. A
// caller who reads "not-run" orders the pallets again, so that word must never
// stand beside a send that may have run, whatever the order of events.
func TestNotRunIsNeverFalse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{once: rapid.Bool().Draw(t, "once")}
		w.request = outcome.New(w.once)
		w.request.Admit()
		t.Repeat(map[string]func(*rapid.T){
			"send":    w.sendOne,
			"fail":    w.fail,
			"refuse":  w.refuse,
			"answer":  w.answer,
			"done":    w.done,
			"finish":  w.finish,
			"":        w.verify,
			"readmit": w.admitAgain,
			"keyed":   func(*rapid.T) { w.request.Keyed(); w.keyed = true },
			"free":    func(*rapid.T) { w.request.KeyFree(); w.keyed = false },
		})
	})
}

func (w *world) admitAgain(t *rapid.T) {
	if !w.request.MaySend() || w.mayHaveRun > 0 {
		t.Skip("not admitted again")
	}
	w.request.Admit()
}

func (w *world) sendOne(t *rapid.T) {
	if !w.request.MaySend() {
		t.Skip("may not be sent")
	}
	if w.once && w.mayHaveRun > 0 {
		t.Fatal("a non-idempotent request may be sent although it may have run")
	}
	w.open = append(w.open, &liveSend{send: w.request.Send()})
	w.mayHaveRun++
}

func (w *world) fail(t *rapid.T) {
	s := w.pick(t)
	kind := rapid.SampledFrom([]fault.Kind{fault.Broken, fault.Unknown, fault.NotFound, fault.Internal}).Draw(t, "kind")
	s.send.Failed(fault.New(kind, "none", "the connection broke"))
}

func (w *world) refuse(t *rapid.T) {
	s := w.pick(t)
	if s.refused || s.began || w.ended {
		t.Skip("has spoken before")
	}
	kind := rapid.SampledFrom([]fault.Kind{fault.Unavailable, fault.Overloaded}).Draw(t, "kind")
	s.send.Failed(fault.New(kind, "none", "not started"))
	s.refused = true
	w.mayHaveRun--
}

func (w *world) answer(t *rapid.T) {
	s := w.pick(t)
	if s.refused || w.ended {
		t.Skip("refused")
	}
	s.send.Answering()
	s.began = true
}

func (w *world) done(t *rapid.T) {
	s := w.pick(t)
	if !s.began || w.ended {
		t.Skip("has not begun")
	}
	s.send.Done()
	w.whole, w.ended = true, true
}

func (w *world) finish(*rapid.T) {
	w.request.Finish()
	w.ended = true
}

func (w *world) verify(t *rapid.T) {
	v := w.request.Verdict()
	if v.NotRun() && (w.mayHaveRun > 0 || w.keyed) {
		t.Fatalf("said not-run with %d sends that may have run, keyed %v", w.mayHaveRun, w.keyed)
	}
	if v.Complete() != w.whole {
		t.Fatalf("said %s, whole answer: %v", v, w.whole)
	}
	if w.mayHaveRun == 0 && !w.keyed && !v.NotRun() {
		t.Fatalf("said %s of a request that certainly did not run", v)
	}
}

func TestZeroVerdictIsUnknown(t *testing.T) {
	if got := (outcome.Verdict{}).String(); got != "unknown" {
		t.Fatalf("zero verdict says %q", got)
	}
}

// An answer has begun and a late error of an earlier attempt is booked on the
// wrong send. The account must not be talked out of what it has seen.
func TestBegunSendCannotBeTakenBack(t *testing.T) {
	r := outcome.New(false)
	r.Admit()
	s := r.Send()
	s.Answering()
	func() {
		defer func() { _ = recover() }()
		s.NotStarted()
	}()
	if r.Verdict().NotRun() {
		t.Fatal("a request that answered is said not to have run")
	}
}

// A caller sends its key a second time while the first request may still run
// at another instance. That this instance sent nothing does not make it true
// that nothing ran.
func TestKeyHeldElsewhereIsNeverNotRun(t *testing.T) {
	for answered, want := range map[bool]string{false: "unknown", true: "complete"} {
		r := outcome.New(true)
		r.Admit()
		r.Recorded(answered)
		if got := r.Finish().String(); got != want || r.MaySend() {
			t.Fatalf("answered %v: said %s, may send %v", answered, got, r.MaySend())
		}
	}
}
