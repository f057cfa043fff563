package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// promptRun is a run in partModel.
type promptRun struct {
	id       int
	parts    [][16]byte
	crashing bool
	endpoint int
	endsAt   time.Time
	retryAt  time.Time
	giveUp   time.Time
}

const (
	partModelEndpoints = 9
	partModelDown      = 3 * time.Second
	partModelPatience  = time.Second
	partModelLength    = 12 * time.Second
)

// partModel replays prompts at endpoints that are down for some seconds after a crash, in virtual time. A third of
// the sound prompts have one of two hundred rare parts.
type partModel struct {
	guard   *CrashGuard
	trials  *Trials
	rng     *rand.Rand
	now     time.Time
	upAt    [partModelEndpoints]time.Time
	lives   [partModelEndpoints]int
	runs    []*promptRun
	waiting []*promptRun
	nextID  int

	crashes, sound, refused, late int
}

// arrive has a request come with the given shared parts.
func (m *partModel) arrive(crashing bool, parts ...[16]byte) {
	m.nextID++
	r := &promptRun{id: m.nextID, parts: parts, crashing: crashing, retryAt: m.now, giveUp: m.now.Add(partModelPatience)}
	if !crashing {
		m.sound++
	}
	m.waiting = append(m.waiting, r)
}

// place starts a request that waits, if there is an endpoint and it is admitted. done is set if it does not wait
// any more.
func (m *partModel) place(r *promptRun) (done bool) {
	if m.now.After(r.giveUp) {
		if !r.crashing {
			m.late++
		}
		return true
	}
	var up []int
	for e, at := range m.upAt {
		if !m.now.Before(at) {
			up = append(up, e)
		}
	}
	if len(up) == 0 || m.now.Before(r.retryAt) {
		return false
	}
	r.endpoint = up[m.rng.IntN(len(up))]
	ok, refused := m.admit(r)
	if refused && !r.crashing {
		m.refused++
	}
	if !ok {
		r.retryAt = m.now.Add(10 * time.Millisecond)
		return refused
	}
	work := time.Duration(30+m.rng.ExpFloat64()*120) * time.Millisecond
	if r.crashing {
		work = time.Duration(80+m.rng.IntN(60)) * time.Millisecond
	}
	r.endsAt = m.now.Add(work)
	m.runs = append(m.runs, r)
	return true
}

// admit reports whether a request may run now, and if not, whether it is refused for good.
func (m *partModel) admit(r *promptRun) (ok, refused bool) {
	content := [16]byte{255, byte(r.id), byte(r.id >> 8), byte(r.id >> 16)}
	a := m.guard.Assess(m.now, CrashSubject{Content: content, Parts: r.parts, Caller: 1})
	switch {
	case a.Verdict == CrashRefused:
		return false, true
	case a.Verdict == CrashClean:
		return true, false
	case m.trials.Running(m.now, content, a.Suspects):
		return false, false
	}
	m.trials.Put(Trial{ID: uint64(r.id), Content: content, Parts: a.Suspects, Endpoint: endpointName(r.endpoint), Until: m.now.Add(time.Minute)})
	return true, false
}

func (m *partModel) crash(endpoint int) {
	m.crashes++
	m.lives[endpoint]++
	m.upAt[endpoint] = m.now.Add(partModelDown)
	var lost []*promptRun
	m.runs = slices.DeleteFunc(m.runs, func(r *promptRun) bool {
		if r.endpoint == endpoint {
			lost = append(lost, r)
		}
		return r.endpoint == endpoint
	})
	incarnation := fmt.Sprint(endpoint, "/", m.lives[endpoint])
	for _, r := range lost {
		m.trials.End(uint64(r.id))
		for _, p := range r.parts {
			m.guard.PartCrashed(m.now, p, Crash{ID: fmt.Sprint(r.id), Endpoint: incarnation, Content: uint64(r.id), Caller: 1})
		}
		if !r.crashing {
			m.waiting = append(m.waiting, r)
		}
	}
}

func (m *partModel) step() {
	m.now = m.now.Add(modelStep)
	m.waiting = slices.DeleteFunc(m.waiting, m.place)
	for _, r := range slices.Clone(m.runs) {
		if r.crashing && !r.endsAt.After(m.now) && slices.Contains(m.runs, r) {
			m.crash(r.endpoint)
		}
	}
	m.runs = slices.DeleteFunc(m.runs, func(r *promptRun) bool {
		if r.endsAt.After(m.now) {
			return false
		}
		m.trials.End(uint64(r.id))
		for _, p := range r.parts {
			m.guard.PartCompleted(m.now, p)
		}
		return true
	})
}

// replayCrashingParts has sound prompts come, from the second second on prompts with one of the crashing parts, and
// endpoints lost without a cause at intervals of lossEvery, if that is not 0.
func replayCrashingParts(seed uint64, crashing int, lossEvery time.Duration) *partModel {
	m := &partModel{guard: NewCrashGuard(time.Hour), trials: NewTrials(), rng: rand.New(rand.NewPCG(seed, 7)), now: start}
	const soundPerSecond, crashingPerSecond = 80, 8
	for at := time.Duration(0); at < partModelLength; at += modelStep {
		popular := [16]byte{1, byte(m.rng.IntN(3))}
		switch p := m.rng.Float64() / modelStep.Seconds(); {
		case p < soundPerSecond/3:
			m.arrive(false, popular, [16]byte{2, byte(m.rng.IntN(200))})
		case p < soundPerSecond:
			m.arrive(false, popular, [16]byte{3, byte(m.rng.IntN(8))})
		case p < soundPerSecond+crashingPerSecond && crashing > 0 && at > time.Second:
			m.arrive(true, popular, [16]byte{4, byte(m.rng.IntN(crashing))}, [16]byte{3, byte(m.rng.IntN(8))})
		}
		if lossEvery > 0 && at > time.Second && at%lossEvery == 0 {
			m.crash(m.rng.IntN(partModelEndpoints))
		}
		m.step()
	}
	return m
}

// Guards against more crashes than five of each part and three more, and against sound requests that are refused,
// while parts of prompts crash endpoints, several together, or endpoints are lost for another reason under popular and
// rare parts.
func TestCrashingPartsUnderLoad(t *testing.T) {
	const seeds, allowed, refusedShare = 10, 8, 0.01
	for _, c := range []struct {
		name      string
		crashing  int
		lossEvery time.Duration
	}{{"one crashing part", 1, 0}, {"five at once", 5, 0}, {"none, endpoints lost", 0, 300 * time.Millisecond}, {"one, and endpoints lost", 1, 500 * time.Millisecond}} {
		var crashes, most, sound, refused, late int
		for seed := range uint64(seeds) {
			m := replayCrashingParts(seed, c.crashing, c.lossEvery)
			crashes, most = crashes+m.crashes, max(most, m.crashes)
			sound, refused, late = sound+m.sound, refused+m.refused, late+m.late
		}
		t.Logf("%-24s crashes %.1f a run, at most %d; sound requests refused %.4f, late %.4f",
			c.name, float64(crashes)/seeds, most, float64(refused)/float64(sound), float64(late)/float64(sound))
		if c.lossEvery == 0 && most > allowed*c.crashing {
			t.Errorf("%s: %d crashes, at most %d may be", c.name, most, allowed*c.crashing)
		}
		if float64(refused) > refusedShare*float64(sound) {
			t.Errorf("%s: %d of %d sound requests refused", c.name, refused, sound)
		}
	}
}

// Guards against decisions whose cost grows with the number of records: after the loss of a third of the endpoints
// there are thousands, each completion changes one, and the fleet would do nothing but decide.
func TestCostOfADecisionDoesNotGrowWithTheRecords(t *testing.T) {
	g := NewCrashGuard(time.Hour)
	for k := range maxFingerprints / 2 {
		c := Crash{ID: fmt.Sprint(k), Endpoint: fmt.Sprint("e-", k%20), Content: uint64(k), Caller: 1}
		g.PartCrashed(start, [16]byte{1, byte(k), byte(k >> 8)}, c)
		g.Crashed(start, [16]byte{2, byte(k), byte(k >> 8)}, c)
	}
	const most = 100
	subject := CrashSubject{Content: [16]byte{2, 7}, Parts: [][16]byte{{1, 7}, {1, 8}}, Caller: 1}
	k := 0
	allocs := testing.AllocsPerRun(100, func() {
		now := start.Add(2 * time.Second)
		g.PartCompleted(now, [16]byte{1, byte(k), 1})
		g.Assess(now, subject)
		k++
	})
	if allocs > most {
		t.Errorf("%.0f allocations for a completion and a decision, at most %d", allocs, most)
	}
}
