package gateway

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// crashMemory is how long a request that crashed endpoints is remembered. Its caller retries within
	// seconds; an hour later the endpoints may run another release.
	crashMemory = 10 * time.Minute
	// crashRepeats is how long an instance repeats what it has learned of crashes itself. Notices may
	// be lost.
	crashRepeats = 5 * time.Second
	// maxTrialLeft bounds for how long a trial that another instance has announced counts, if its end
	// is not reported.
	maxTrialLeft = time.Minute
	// convictionDelay is how long a request that is to be refused waits instead: other instances check
	// meanwhile whether its endpoints have crashed, and one that is partitioned from them can't find out.
	convictionDelay = 200 * time.Millisecond
	// freshCrash is how old a reported crash may be for another instance to check it. Later, the endpoint
	// may have started again.
	freshCrash = 500 * time.Millisecond
	// maxCandidates bounds the parts of one request that a crash is held against, and those that its trial
	// announces.
	maxCandidates = 16
	// trialAvoidance is how long other requests avoid an endpoint at which a trial begins, if there are
	// others: longer than most requests take to crash an endpoint.
	trialAvoidance = 200 * time.Millisecond
)

var (
	crashesRecorded   = metrics.GetOrCreateCounter("sardinedock_crash_interrupted_requests_total")
	partsDropped      = metrics.GetOrCreateCounter("sardinedock_crash_parts_dropped_total")
	crashRefusals     = metrics.GetOrCreateCounter("sardinedock_crash_refused_requests_total")
	crashConvictions  = metrics.GetOrCreateCounter("sardinedock_crash_convictions_total")
	trialsBegun       = metrics.GetOrCreateCounter("sardinedock_crash_trials_total")
	clearedCompleted  = metrics.GetOrCreateCounter(`sardinedock_crash_cleared_total{by="completion"}`)
	clearedDialled    = metrics.GetOrCreateCounter(`sardinedock_crash_cleared_total{by="dial"}`)
	clearedOpinion    = metrics.GetOrCreateCounter(`sardinedock_crash_cleared_total{by="second opinion"}`)
	clearedConnection = metrics.GetOrCreateCounter(`sardinedock_crash_cleared_total{by="connection"}`)
)

// CrashGuard keeps requests that crash endpoints from being run again, here and at all other instances.
// It is safe for concurrent use; its methods do not block.
type CrashGuard struct {
	notify func(*gossippb.Notice)
	// records is the number of records, so that requests need not be hashed while there are none.
	records atomic.Int64

	mu      sync.Mutex
	crashes *policy.CrashGuard
	trials  *policy.Trials
	// checking is the number of a request's crashes that are being distinguished from broken connections, from
	// crashed to confirm or disprove.
	checking map[[16]byte]int
	// learned is when this instance learned of a record itself.
	learned map[[16]byte]time.Time
	// convicted is since when the known crashes have a request refused, apart from convictionDelay.
	convicted map[[16]byte]time.Time
	// refused are the requests whose refusal has been logged.
	refused map[[16]byte]bool
}

// ReportedCrash is a crash that another instance has reported.
type ReportedCrash struct {
	// Content is the fingerprint of the request that it interrupted.
	Content [16]byte
	// ID and Endpoint are as in policy.Crash.
	ID, Endpoint string
}

// NewCrashGuard returns a guard without records for the named instance. notify broadcasts a notice.
func NewCrashGuard(instance string, notify func(*gossippb.Notice)) *CrashGuard {
	g := &CrashGuard{
		notify: notify, crashes: policy.NewCrashGuard(crashMemory), trials: policy.NewTrials(),
		checking: map[[16]byte]int{}, learned: map[[16]byte]time.Time{},
		convicted: map[[16]byte]time.Time{}, refused: map[[16]byte]bool{},
	}
	g.crashes.Stagger(xxh3.HashString(instance))
	return g
}

// active reports whether there is any record.
func (g *CrashGuard) active() bool { return g.records.Load() > 0 }

// assess returns how to treat a request; see policy.CrashGuard. A request that would be refused for a
// crash that is being checked, here or by others, is not refused yet, but beginTrial lets none of them run.
func (g *CrashGuard) assess(now time.Time, s policy.CrashSubject) policy.CrashAssessment {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.crashes.Assess(now, s)
	if a.Verdict != policy.CrashRefused {
		return a
	}
	if g.convicted[a.Cause].IsZero() {
		g.convicted[a.Cause] = now
	}
	if g.unchecked(now, a.Cause) {
		a.Verdict = policy.CrashConfined
		return a
	}
	g.logRefusal(now, a.Cause, true, a.Left, "checked")
	return a
}

// unchecked reports whether the crashes for which a request is to be refused are still being checked. The
// caller must hold mu.
func (g *CrashGuard) unchecked(now time.Time, cause [16]byte) bool {
	return g.checking[cause] > 0 || now.Sub(g.convicted[cause]) < convictionDelay
}

// runnable reports whether a request that was placed may be sent. It may not if it is convicted by now, or
// suspected and no trial.
func (g *CrashGuard) runnable(now time.Time, s policy.CrashSubject, trial bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.crashes.Assess(now, s).Verdict
	return verdict == policy.CrashClean || trial && verdict != policy.CrashRefused
}

// crashed records that a run of a request was interrupted by the crash of its endpoint. It returns what
// that is held against: the content and parts of the request. Whether it was a crash has to be checked, and the
// result passed to confirm or disprove.
//
// The other instances are notified at once that the request is a suspect, since its caller may send it to one of them
// some ms later. What would have it refused, another crash, is kept from them until it is confirmed.
func (g *CrashGuard) crashed(now time.Time, endpointID string, run interruptedRun) (held [][16]byte) {
	crashesRecorded.Inc()
	held, verdict := g.hold(now, endpointID, run)
	if verdict == policy.CrashSuspect {
		g.publish(now, held[:1])
	}
	return held
}

// hold is crashed without the notification. It returns the verdict on the request's content too.
func (g *CrashGuard) hold(now time.Time, endpointID string, run interruptedRun) (held [][16]byte, verdict policy.CrashVerdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := policy.Crash{ID: run.crashID, Endpoint: endpointID, Trial: run.alone, Caller: run.subject.Caller}
	g.crashes.Crashed(now, run.subject.Content, c)
	held = append(held, run.subject.Content)
	c.Content = binary.LittleEndian.Uint64(run.subject.Content[:])
	for _, part := range g.candidates(run.subject.Parts) {
		if g.crashes.PartCrashed(now, part, c) {
			held = append(held, part)
		}
	}
	for _, f := range held {
		g.learned[f] = now
		g.checking[f]++
		g.update(now, f, "own request")
	}
	log.WithField("endpoint", endpointID).WithField("content", contentID(run.subject.Content)).
		WithField("parts", contentIDs(run.subject.Parts)).WithField("suspected", contentIDs(held[1:])).WithField("trial", run.alone).
		Info("request interrupted by a crash")
	verdict, _ = g.crashes.Verdict(now, run.subject.Content)
	return held, verdict
}

// candidates returns at most maxCandidates of the parts of a request. Those that were in flight at earlier
// crashes come first, the others in random order: a caller may name many parts before the one that crashes
// endpoints. The caller must hold mu.
func (g *CrashGuard) candidates(parts [][16]byte) [][16]byte {
	if len(parts) <= maxCandidates {
		return parts
	}
	list := slices.Clone(parts)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b [16]byte) int { return cmp.Compare(g.rank(a), g.rank(b)) })
	partsDropped.Add(len(list) - maxCandidates)
	return list[:maxCandidates]
}

// rank is 0 for a part with a record, and 1 for others. The caller must hold mu.
func (g *CrashGuard) rank(part [16]byte) int {
	if g.crashes.Recorded(part) {
		return 0
	}
	return 1
}

// alone reports whether a trial is the only run of a suspect at its endpoint.
func (g *CrashGuard) alone(now time.Time, t policy.Trial) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trials.Alone(now, t)
}

// confirm ends the check of a crash that was one, as far as can be seen from here, and notifies the other
// instances of it.
func (g *CrashGuard) confirm(now time.Time, held [][16]byte) {
	g.mu.Lock()
	for _, f := range held {
		g.checked(f)
		g.update(now, f, "own request")
	}
	g.mu.Unlock()
	g.publish(now, held)
}

// checked records the end of a check. The caller must hold mu.
func (g *CrashGuard) checked(content [16]byte) {
	if g.checking[content]--; g.checking[content] <= 0 {
		delete(g.checking, content)
	}
}

// disprove ends the check of a crash and withdraws it: the endpoint accepts connections.
func (g *CrashGuard) disprove(now time.Time, held [][16]byte, crashID string) {
	g.mu.Lock()
	for _, f := range held {
		g.checked(f)
		if g.crashes.Disprove(now, f, crashID) {
			clearedDialled.Inc()
		}
		g.update(now, f, "dial")
	}
	g.mu.Unlock()
	// The others may have been notified of a suspect.
	g.publish(now, held[:1])
}

// refute withdraws a crash that another instance has reported: the endpoint accepts connections from here.
func (g *CrashGuard) refute(now time.Time, c ReportedCrash) {
	g.mu.Lock()
	cleared := g.crashes.Disprove(now, c.Content, c.ID)
	if cleared {
		g.learned[c.Content] = now
		g.update(now, c.Content, "second opinion")
	}
	g.mu.Unlock()
	if cleared {
		clearedOpinion.Inc()
		g.publish(now, [][16]byte{c.Content})
	}
}

// completed clears a request that has run to its end, and, if whole is set, the parts of its prompt: its whole
// answer, a success, was received.
func (g *CrashGuard) completed(now time.Time, s policy.CrashSubject, whole bool) {
	g.mu.Lock()
	var cleared [][16]byte
	if g.crashes.Completed(now, s.Content) {
		cleared = append(cleared, s.Content)
	}
	if whole {
		for _, part := range s.Parts {
			if g.crashes.PartCompleted(now, part) {
				cleared = append(cleared, part)
			}
		}
	}
	for _, f := range cleared {
		g.learned[f] = now
		g.update(now, f, "completion")
	}
	g.mu.Unlock()
	clearedCompleted.Add(len(cleared))
	g.publish(now, cleared)
}

// answered is called when an endpoint has answered on a connection that was made at the given time: what
// is treated as a crash of that process since then was a broken connection.
func (g *CrashGuard) answered(now time.Time, endpointID string, connected time.Time) {
	g.mu.Lock()
	cleared := g.crashes.Alive(now, endpointID, connected)
	for _, content := range cleared {
		g.learned[content] = now
		g.update(now, content, "connection")
	}
	g.mu.Unlock()
	clearedConnection.Add(len(cleared))
	g.publish(now, cleared)
}

// beginTrial reserves a trial of a suspected request. ok is false while the same request runs elsewhere,
// or is about to be refused.
func (g *CrashGuard) beginTrial(now time.Time, s policy.CrashSubject, until time.Time) (t *policy.Trial, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.crashes.Assess(now, s)
	if a.Verdict == policy.CrashRefused || g.trials.Running(now, s.Content, a.Suspects) {
		return nil, false
	}
	// The announcement has to fit into a datagram.
	parts := a.Suspects[:min(len(a.Suspects), maxCandidates)]
	t = &policy.Trial{ID: rand.Uint64(), Content: s.Content, Parts: parts, Until: until}
	g.trials.Put(*t)
	return t, true
}

// occupied returns the endpoints at which other suspects run.
func (g *CrashGuard) occupied(now time.Time, content [16]byte) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trials.Occupied(now, content)
}

// announce records the endpoint of a trial and notifies the other instances, which keep other requests
// away from it for a moment.
func (g *CrashGuard) announce(now time.Time, t *policy.Trial, endpointID string) {
	trialsBegun.Inc()
	g.mu.Lock()
	t.Endpoint = endpointID
	g.trials.Put(*t)
	g.mu.Unlock()
	g.notify(&gossippb.Notice{Endpoint: endpointID, AvoidMs: trialAvoidance.Milliseconds(), Trial: trialMessage(now, *t)})
}

// yields reports whether a trial has to leave its endpoint to another suspect.
func (g *CrashGuard) yields(now time.Time, t *policy.Trial) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trials.Yields(now, *t)
}

// endTrial ends a trial.
func (g *CrashGuard) endTrial(t *policy.Trial) {
	g.mu.Lock()
	g.trials.End(t.ID)
	g.mu.Unlock()
	if t.Endpoint != "" {
		g.notify(&gossippb.Notice{Endpoint: t.Endpoint, Trial: &gossippb.Trial{Id: t.ID, Content: t.Content[:]}})
	}
}

// ApplyNotice applies a peer's notice. It returns the crashes in it that were not known here and have just
// happened.
func (g *CrashGuard) ApplyNotice(now time.Time, from string, n *gossippb.Notice) (reported []ReportedCrash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := n.GetTrial(); len(m.GetContent()) == 16 {
		if m.GetLeftMs() > 0 {
			left := min(time.Duration(m.GetLeftMs())*time.Millisecond, maxTrialLeft)
			g.trials.Put(policy.Trial{ID: m.GetId(), Content: [16]byte(m.GetContent()), Parts: fingerprints(m.GetParts()), Endpoint: n.GetEndpoint(), Until: now.Add(left)})
		} else {
			g.trials.End(m.GetId())
		}
	}
	if m := n.GetCrashes(); len(m.GetContent()) == 16 {
		content := [16]byte(m.GetContent())
		ttl := time.Duration(m.GetTtlMs()) * time.Millisecond
		added := g.crashes.Merge(now, content, crashState(now, m), ttl)
		g.update(now, content, from)
		for _, c := range added {
			if crashMemory-ttl < freshCrash {
				reported = append(reported, ReportedCrash{Content: content, ID: c.ID, Endpoint: c.Endpoint})
			}
		}
	} else if len(n.GetCrashed()) == 16 {
		// An instance of an earlier version.
		content := [16]byte(n.GetCrashed())
		g.crashes.Crashed(now, content, policy.Crash{ID: n.GetEndpoint(), Endpoint: n.GetEndpoint()})
		g.update(now, content, from)
	}
	return reported
}

// update counts the records, and notes since when a request is to be refused. The caller must hold mu.
func (g *CrashGuard) update(now time.Time, content [16]byte, source string) {
	g.records.Store(int64(g.crashes.Len()))
	verdict, left := g.crashes.Verdict(now, content)
	refused := verdict == policy.CrashRefused
	if !refused {
		delete(g.convicted, content)
	} else if g.convicted[content].IsZero() {
		g.convicted[content] = now
	}
	g.logRefusal(now, content, refused && !g.unchecked(now, content), left, source)
}

// logRefusal logs that a request is refused from now on, for the given time, or that it is not any more.
// The caller must hold mu.
func (g *CrashGuard) logRefusal(now time.Time, content [16]byte, refused bool, left time.Duration, source string) {
	if refused == g.refused[content] {
		return
	}
	entry := log.WithField("content", contentID(content)).WithField("source", source)
	what := "request"
	if state, _ := g.crashes.State(now, content); state != nil && state.Part {
		what = "part of prompts"
		crashed := slices.Compact(slices.Sorted(slices.Values(crashedEndpoints(state))))
		entry = entry.WithField("crashed", strings.Join(crashed, ","))
	}
	if refused {
		g.refused[content] = true
		crashConvictions.Inc()
		entry.WithField("refused_ms", left.Milliseconds()).Info(what + " crashes endpoints; it is refused")
		return
	}
	delete(g.refused, content)
	entry.Info(what + " is not refused any more")
}

// crashedEndpoints returns the endpoint of each crash that counts.
func crashedEndpoints(s *policy.CrashState) (list []string) {
	for _, c := range s.Crashes {
		if !c.Cleared {
			list = append(list, c.Endpoint)
		}
	}
	return list
}

// publish broadcasts the records of the given requests.
func (g *CrashGuard) publish(now time.Time, contents [][16]byte) {
	for _, content := range contents {
		g.mu.Lock()
		state, ttl := g.crashes.State(now, content)
		g.mu.Unlock()
		if state != nil {
			g.notify(&gossippb.Notice{Crashes: crashMessage(now, content, state, ttl)})
		}
	}
}

// Repeat broadcasts the records that this instance has learned of itself within crashRepeats, once they
// are checked, and those of other refused requests for which isRepeater is true. It drops what has
// expired.
func (g *CrashGuard) Repeat(now time.Time, isRepeater func(content string) bool) {
	g.mu.Lock()
	g.crashes.Tick(now)
	g.trials.Tick(now)
	g.crashes.Changed()
	var list [][16]byte
	for _, content := range g.crashes.Fingerprints() {
		verdict, _ := g.crashes.Verdict(now, content)
		own := now.Sub(g.learned[content]) < crashRepeats && g.checking[content] == 0
		if own || verdict == policy.CrashRefused && isRepeater(contentID(content)) {
			list = append(list, content)
		}
	}
	for content := range g.convicted {
		// The delay may have ended, or the record expired.
		g.update(now, content, "checked")
	}
	for content, at := range g.learned {
		if now.Sub(at) >= crashRepeats {
			delete(g.learned, content)
		}
	}
	g.records.Store(int64(g.crashes.Len()))
	g.mu.Unlock()
	g.publish(now, list)
}

// RepeatAll broadcasts all records for which isRepeater is true, for an instance that has just started.
func (g *CrashGuard) RepeatAll(now time.Time, isRepeater func(content string) bool) {
	g.mu.Lock()
	list := g.crashes.Fingerprints()
	g.mu.Unlock()
	for _, content := range list {
		if isRepeater(contentID(content)) {
			g.publish(now, [][16]byte{content})
		}
	}
}

// SuspectView is one suspected or refused request, or part of prompts, in the state dump.
type SuspectView struct {
	Content string   `json:"content"`
	Part    bool     `json:"part,omitempty"`
	Verdict string   `json:"verdict"`
	LeftMs  int64    `json:"left_ms"`
	Crashes []string `json:"crashes"`
}

// Views returns the requests that are suspected or refused.
func (g *CrashGuard) Views(now time.Time) []SuspectView {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []SuspectView
	for _, content := range g.crashes.Fingerprints() {
		verdict, left := g.crashes.Verdict(now, content)
		if verdict == policy.CrashRefused && g.unchecked(now, content) {
			verdict = policy.CrashConfined
		}
		state, _ := g.crashes.State(now, content)
		if verdict == policy.CrashClean || state == nil {
			continue
		}
		list = append(list, SuspectView{Content: contentID(content), Part: state.Part, Verdict: verdict.String(), LeftMs: left.Milliseconds(), Crashes: crashedEndpoints(state)})
	}
	return list
}

// contentIDBytes is the length of the prefix of a fingerprint that identifies a request's content in
// log lines.
const contentIDBytes = 8

// contentID identifies a request's content in log lines without revealing it.
func contentID(content [16]byte) string { return hex.EncodeToString(content[:contentIDBytes]) }

// contentIDs returns the IDs of several fingerprints, separated by commas.
func contentIDs(fingerprints [][16]byte) string {
	list := make([]string, len(fingerprints))
	for k, f := range fingerprints {
		list[k] = contentID(f)
	}
	return strings.Join(list, ",")
}

// crashID returns the ID of the crash that interrupted a run. By the time in front, IDs of later crashes compare
// greater.
func crashID(now time.Time, run uint64) string {
	return fmt.Sprintf("%012x-%s", max(now.UnixMilli(), 0), strconv.FormatUint(run, 36))
}

func trialMessage(now time.Time, t policy.Trial) *gossippb.Trial {
	m := &gossippb.Trial{Id: t.ID, Content: t.Content[:], LeftMs: max(1, t.Until.Sub(now).Milliseconds())}
	for _, part := range t.Parts {
		m.Parts = append(m.Parts, part[:])
	}
	return m
}

// fingerprints decodes at most maxCandidates fingerprints.
func fingerprints(list [][]byte) (decoded [][16]byte) {
	for _, f := range list[:min(len(list), maxCandidates)] {
		if len(f) == 16 {
			decoded = append(decoded, [16]byte(f))
		}
	}
	return decoded
}

func crashMessage(now time.Time, content [16]byte, s *policy.CrashState, ttl time.Duration) *gossippb.CrashRecord {
	m := &gossippb.CrashRecord{Content: content[:], Part: s.Part, Proven: s.Proven(), TtlMs: ttl.Milliseconds()}
	for _, c := range s.Crashes {
		m.Crashes = append(m.Crashes, &gossippb.Crash{
			Id: c.ID, Endpoint: c.Endpoint, Trial: c.Trial, Cleared: c.Cleared, Content: c.Content, Caller: c.Caller,
			Proven: c.Proven, MsAgo: max(0, now.Sub(c.At).Milliseconds()),
		})
	}
	return m
}

func crashState(now time.Time, m *gossippb.CrashRecord) *policy.CrashState {
	s := &policy.CrashState{Part: m.GetPart()}
	for _, c := range m.GetCrashes() {
		s.Crashes = append(s.Crashes, policy.Crash{
			ID: c.GetId(), Endpoint: c.GetEndpoint(), Trial: c.GetTrial(), Cleared: c.GetCleared(), Content: c.GetContent(), Caller: c.GetCaller(),
			Proven: c.GetProven(), At: now.Add(-time.Duration(max(0, c.GetMsAgo())) * time.Millisecond),
		})
	}
	return s
}
