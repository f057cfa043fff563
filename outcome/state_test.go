package outcome_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/fault"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/outcome"
)

// model tracks independently what actually happened to a request.
type model struct {
	request       *outcome.Request
	nonIdempotent bool
	sends         []*liveSend
	// mayHaveRun counts the sends that reached an endpoint which did not refuse them.
	mayHaveRun int
	// keyed is set while earlier attempts under the key may have run.
	keyed    bool
	complete bool
	ended    bool
}

type liveSend struct {
	send *outcome.Send
	// refused is set once the endpoint has refused the send.
	refused   bool
	answering bool
}

func (m *model) pick(t *rapid.T) *liveSend {
	if len(m.sends) == 0 {
		t.Skip("no send yet")
	}
	return m.sends[rapid.IntRange(0, len(m.sends)-1).Draw(t, "send")]
}

// Guards against reporting "not-run" for a request of which any send may have run, whatever the
// order of sends, refusals, failures and answers: a caller who reads "not-run" places the same
// order again.
func TestNotRunIsNotReportedIfSendMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{nonIdempotent: rapid.Bool().Draw(t, "once")}
		m.request = outcome.New(m.nonIdempotent)
		m.request.Admit()
		t.Repeat(map[string]func(*rapid.T){
			"send":    m.sendOne,
			"fail":    m.fail,
			"refuse":  m.refuse,
			"answer":  m.answer,
			"done":    m.done,
			"finish":  m.finish,
			"":        m.verify,
			"readmit": m.admitAgain,
			"keyed":   func(*rapid.T) { m.request.Keyed(); m.keyed = true },
			"free":    func(*rapid.T) { m.request.KeyFree(); m.keyed = false },
		})
	})
}

func (m *model) admitAgain(t *rapid.T) {
	if !m.request.MaySend() || m.mayHaveRun > 0 {
		t.Skip("may not be admitted again")
	}
	m.request.Admit()
}

func (m *model) sendOne(t *rapid.T) {
	if !m.request.MaySend() {
		t.Skip("may not be sent")
	}
	if m.nonIdempotent && m.mayHaveRun > 0 {
		t.Fatal("a non-idempotent request may be sent although it may have run")
	}
	m.sends = append(m.sends, &liveSend{send: m.request.Send()})
	m.mayHaveRun++
}

func (m *model) fail(t *rapid.T) {
	s := m.pick(t)
	kind := rapid.SampledFrom([]fault.Kind{fault.Broken, fault.Unknown, fault.NotFound, fault.Internal}).Draw(t, "kind")
	s.send.Failed(fault.New(kind, "none", "the connection broke"))
}

func (m *model) refuse(t *rapid.T) {
	s := m.pick(t)
	if s.refused || s.answering || m.ended {
		t.Skip("already refused, answered or ended")
	}
	kind := rapid.SampledFrom([]fault.Kind{fault.Unavailable, fault.Overloaded}).Draw(t, "kind")
	s.send.Failed(fault.New(kind, "none", "not started"))
	s.refused = true
	m.mayHaveRun--
}

func (m *model) answer(t *rapid.T) {
	s := m.pick(t)
	if s.refused || m.ended {
		t.Skip("refused or ended")
	}
	s.send.Answering()
	s.answering = true
}

func (m *model) done(t *rapid.T) {
	s := m.pick(t)
	if !s.answering || m.ended {
		t.Skip("no answer has begun")
	}
	s.send.Done()
	m.complete, m.ended = true, true
}

func (m *model) finish(*rapid.T) {
	m.request.Finish()
	m.ended = true
}

func (m *model) verify(t *rapid.T) {
	v := m.request.Verdict()
	if v.NotRun() && (m.mayHaveRun > 0 || m.keyed) {
		t.Fatalf("verdict is not-run with %d sends that may have run, keyed %v", m.mayHaveRun, m.keyed)
	}
	if v.Complete() != m.complete {
		t.Fatalf("verdict is %s, complete answer received: %v", v, m.complete)
	}
	if m.mayHaveRun == 0 && !m.keyed && !v.NotRun() {
		t.Fatalf("verdict is %s for a request that certainly did not run", v)
	}
}

func TestZeroVerdictIsUnknown(t *testing.T) {
	if got := (outcome.Verdict{}).String(); got != "unknown" {
		t.Fatalf("zero verdict is %q, want unknown", got)
	}
}

// Guards against a late error of an earlier attempt that is applied to the wrong send, whose
// answer has already begun. The request must not be reported as not run.
func TestAnsweredSendCannotBecomeNotStarted(t *testing.T) {
	r := outcome.New(false)
	r.Admit()
	s := r.Send()
	s.Answering()
	func() {
		defer func() { _ = recover() }()
		s.NotStarted()
	}()
	if r.Verdict().NotRun() {
		t.Fatal("the verdict of a request whose answer has begun is not-run")
	}
}

// Guards against reporting "not-run" for a resent key while the first request may still run at
// another instance: that this instance sent nothing does not mean that nothing ran.
func TestKeyHeldByOtherAttemptIsNeverNotRun(t *testing.T) {
	for answered, want := range map[bool]string{false: "unknown", true: "complete"} {
		r := outcome.New(true)
		r.Admit()
		r.Recorded(answered)
		if got := r.Finish().String(); got != want || r.MaySend() {
			t.Fatalf("answered %v: verdict %s, may send %v", answered, got, r.MaySend())
		}
	}
}
