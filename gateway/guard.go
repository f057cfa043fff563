package gateway

import (
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

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
	// meanwhile whether its endpoints have crashed, and one that is partitioned from them can't tell.
	convictionDelay = 200 * time.Millisecond
	// freshCrash is how old a reported crash may be for another instance to check it. Later, the endpoint
	// may have started again.
	freshCrash = 500 * time.Millisecond
	// trialAvoidance is how long other requests avoid an endpoint at which a trial begins, if there are
	// others: longer than most requests take to crash an endpoint.
	trialAvoidance = 200 * time.Millisecond
)

var (
	crashesRecorded   = metrics.GetOrCreateCounter("sardinedock_crash_interrupted_requests_total")
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
	// checking is the number of a request's crashes that are being told from broken connections, from
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

// NewCrashGuard returns a guard without records. notify broadcasts a notice.
func NewCrashGuard(notify func(*gossippb.Notice)) *CrashGuard {
	return &CrashGuard{
		notify: notify, crashes: policy.NewCrashGuard(crashMemory), trials: policy.NewTrials(),
		checking: map[[16]byte]int{}, learned: map[[16]byte]time.Time{},
		convicted: map[[16]byte]time.Time{}, refused: map[[16]byte]bool{},
	}
}

// active reports whether there is any record.
func (g *CrashGuard) active() bool { return g.records.Load() > 0 }

// verdict returns how to treat a request; see policy.CrashGuard. A request that would be refused for a
// crash that is being checked, here or by others, is not refused yet, but beginTrial lets none of them run.
func (g *CrashGuard) verdict(now time.Time, content [16]byte) (policy.CrashVerdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict, left := g.checkedVerdict(now, content)
	if verdict == policy.CrashRefused {
		g.logRefusal(content, true, left, "checked")
	}
	return verdict, left
}

// checkedVerdict is verdict without the log line. The caller must hold mu.
func (g *CrashGuard) checkedVerdict(now time.Time, content [16]byte) (policy.CrashVerdict, time.Duration) {
	verdict, left := g.crashes.Verdict(now, content)
	if verdict != policy.CrashRefused {
		return verdict, left
	}
	if g.checking[content] > 0 || now.Sub(g.convicted[content]) < convictionDelay {
		verdict = policy.CrashConfined
	}
	return verdict, left
}

// crashed records that a run of a request was interrupted by the crash of its endpoint. Whether that was a
// crash has to be checked, and the result passed to confirm or disprove.
func (g *CrashGuard) crashed(now time.Time, endpointID string, run interruptedRun) {
	crashesRecorded.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Crashed(now, run.content, policy.Crash{ID: run.crashID, Endpoint: endpointID, Trial: run.alone})
	g.learned[run.content] = now
	g.checking[run.content]++
	g.update(now, run.content, "own request")
}

// alone reports whether a trial is the only run of a suspect at its endpoint.
func (g *CrashGuard) alone(now time.Time, t policy.Trial) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trials.Alone(now, t)
}

// confirm ends the check of a crash that was one, as far as can be told from here, and notifies the other
// instances of it.
func (g *CrashGuard) confirm(now time.Time, content [16]byte) {
	g.mu.Lock()
	g.checked(content)
	g.update(now, content, "own request")
	g.mu.Unlock()
	g.publish(now, [][16]byte{content})
}

// checked records the end of a check. The caller must hold mu.
func (g *CrashGuard) checked(content [16]byte) {
	if g.checking[content]--; g.checking[content] <= 0 {
		delete(g.checking, content)
	}
}

// disprove ends the check of a crash and withdraws it: the endpoint accepts connections.
func (g *CrashGuard) disprove(now time.Time, content [16]byte, crashID string) {
	g.mu.Lock()
	g.checked(content)
	cleared := g.crashes.Disprove(now, content, crashID)
	g.update(now, content, "dial")
	g.mu.Unlock()
	if cleared {
		clearedDialled.Inc()
	}
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

// completed clears a request that has run to its end.
func (g *CrashGuard) completed(now time.Time, content [16]byte) {
	g.mu.Lock()
	cleared := g.crashes.Completed(now, content)
	if cleared {
		g.learned[content] = now
		g.update(now, content, "completion")
	}
	g.mu.Unlock()
	if cleared {
		clearedCompleted.Inc()
		g.publish(now, [][16]byte{content})
	}
}

// answered is called when an endpoint has answered on a connection that was made at the given time: what
// is taken for a crash of that process since then was a broken connection.
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
func (g *CrashGuard) beginTrial(now time.Time, content [16]byte, until time.Time) (t *policy.Trial, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict, _ := g.crashes.Verdict(now, content)
	if verdict == policy.CrashRefused || g.trials.Running(now, content) {
		return nil, false
	}
	t = &policy.Trial{ID: rand.Uint64(), Content: content, Until: until}
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
			g.trials.Put(policy.Trial{ID: m.GetId(), Content: [16]byte(m.GetContent()), Endpoint: n.GetEndpoint(), Until: now.Add(left)})
		} else {
			g.trials.End(m.GetId())
		}
	}
	if m := n.GetCrashes(); len(m.GetContent()) == 16 {
		content := [16]byte(m.GetContent())
		ttl := time.Duration(m.GetTtlMs()) * time.Millisecond
		added := g.crashes.Merge(now, content, crashState(m), ttl)
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
	if verdict, _ := g.crashes.Verdict(now, content); verdict != policy.CrashRefused {
		delete(g.convicted, content)
	} else if g.convicted[content].IsZero() {
		g.convicted[content] = now
	}
	verdict, left := g.checkedVerdict(now, content)
	g.logRefusal(content, verdict == policy.CrashRefused, left, source)
}

// logRefusal logs that a request is refused from now on, for the given time, or that it is not any more.
// The caller must hold mu.
func (g *CrashGuard) logRefusal(content [16]byte, refused bool, left time.Duration, source string) {
	if refused == g.refused[content] {
		return
	}
	entry := log.WithField("content", contentID(content)).WithField("source", source)
	if refused {
		g.refused[content] = true
		crashConvictions.Inc()
		entry.WithField("refused_ms", left.Milliseconds()).Info("request crashes endpoints; it is refused")
		return
	}
	delete(g.refused, content)
	entry.Info("request is not refused any more")
}

// publish broadcasts the records of the given requests.
func (g *CrashGuard) publish(now time.Time, contents [][16]byte) {
	for _, content := range contents {
		g.mu.Lock()
		state, ttl := g.crashes.State(now, content)
		g.mu.Unlock()
		if state != nil {
			g.notify(&gossippb.Notice{Crashes: crashMessage(content, state, ttl)})
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

// SuspectView is one suspected or refused request in the state dump.
type SuspectView struct {
	Content string   `json:"content"`
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
		verdict, left := g.checkedVerdict(now, content)
		state, _ := g.crashes.State(now, content)
		if verdict == policy.CrashClean || state == nil {
			continue
		}
		v := SuspectView{Content: contentID(content), Verdict: verdict.String(), LeftMs: left.Milliseconds()}
		for _, c := range state.Crashes {
			if !c.Cleared {
				v.Crashes = append(v.Crashes, c.Endpoint)
			}
		}
		list = append(list, v)
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

// crashID returns the ID of the crash that interrupted a run.
func crashID(run uint64) string { return strconv.FormatUint(run, 36) }

func trialMessage(now time.Time, t policy.Trial) *gossippb.Trial {
	return &gossippb.Trial{Id: t.ID, Content: t.Content[:], LeftMs: max(1, t.Until.Sub(now).Milliseconds())}
}

func crashMessage(content [16]byte, s *policy.CrashState, ttl time.Duration) *gossippb.CrashRecord {
	m := &gossippb.CrashRecord{Content: content[:], TtlMs: ttl.Milliseconds()}
	for _, c := range s.Crashes {
		m.Crashes = append(m.Crashes, &gossippb.Crash{Id: c.ID, Endpoint: c.Endpoint, Trial: c.Trial, Cleared: c.Cleared})
	}
	return m
}

func crashState(m *gossippb.CrashRecord) *policy.CrashState {
	s := &policy.CrashState{}
	for _, c := range m.GetCrashes() {
		s.Crashes = append(s.Crashes, policy.Crash{ID: c.GetId(), Endpoint: c.GetEndpoint(), Trial: c.GetTrial(), Cleared: c.GetCleared()})
	}
	return s
}
