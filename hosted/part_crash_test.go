package hosted

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// partPlay is one play of endpoints that crash as they begin an answer to a prompt with one of some parts.
// Requests with these parts come at any instance, no two alike, beside sound ones that share the caller and
// all other parts with them.
type partPlay struct {
	// deadly are the prompts of the requests that crash endpoints, less their own part.
	deadly []string
	// sound are the other prompts, less their own part.
	sound []string
	// events is the number of events of a sound answer, pause the time between two.
	events int
	pause  time.Duration
	// unframed has answers end with their connections.
	unframed bool
}

const (
	partInstances, partEndpoints = 3, 12
	// partWork is how long an endpoint reads a prompt, partReplaced the time until a crashed one is replaced.
	partWork, partReplaced = 30 * time.Millisecond, 700 * time.Millisecond
	deadlyInterval         = 125 * time.Millisecond
	soundInterval          = 25 * time.Millisecond
	// partContact is the time in which messages reach all instances. Within it after the fifth crash of a part
	// everybody has to know the part; three requests with it may reach endpoints later.
	partContact       = 3 * time.Second
	partCrashes       = 5
	partRequestsLater = 3
	// partServed is the least share of sound requests that are served at the first attempt from twice
	// partContact after that crash on.
	partServed = 0.95
	partLength = 9 * time.Second
)

// partRun is the state of one play.
type partRun struct {
	*fixture
	partPlay
	mu sync.Mutex
	// crashes are the times of the crashes by deadly part, arrivals those at which endpoints received
	// requests with it.
	crashes, arrivals map[string][]time.Time
	sent              []soundRequest
	endpoints         int
	ended             bool
}

// soundRequest is a sound request that was sent, and whether it was served at the first attempt.
type soundRequest struct {
	at     time.Time
	served bool
}

// deadlyPart returns the part of a prompt that crashes endpoints; empty for a sound one.
func deadlyPart(prompt string) string {
	for entry := range strings.SplitSeq(prompt, ",") {
		if strings.HasPrefix(entry, "bad") {
			return entry
		}
	}
	return ""
}

// addEndpoint starts another endpoint.
func (p *partRun) addEndpoint() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.endpoints++
	p.endpoint(fmt.Sprintf("part-%d", p.endpoints), "pool", p.handle)
}

// handle is the handler of all endpoints.
func (p *partRun) handle(x *platformtest.Exchange) bool {
	part := deadlyPart(x.Header("Sardinedock-Prompt-Prefix"))
	if part != "" {
		p.mu.Lock()
		p.arrivals[part] = append(p.arrivals[part], time.Now())
		p.mu.Unlock()
	}
	time.Sleep(partWork)
	if p.unframed {
		x.UnframedHead("text/event-stream")
	} else {
		x.StreamHead()
	}
	if part != "" {
		p.crash(x.Endpoint, part)
		return false
	}
	for k := range p.events {
		if k > 0 {
			time.Sleep(p.pause)
		}
		if p.unframed {
			x.Write("%s", platformtest.EventText(k+1))
		} else {
			x.Event(k + 1)
		}
	}
	if !p.unframed {
		x.End()
	}
	return !p.unframed
}

// crash ends an endpoint, which is replaced at another address.
func (p *partRun) crash(e *platformtest.Endpoint, part string) {
	p.mu.Lock()
	p.crashes[part] = append(p.crashes[part], time.Now())
	p.mu.Unlock()
	e.Close()
	time.AfterFunc(partReplaced, func() {
		p.store.Remove("servers", e.ID)
		p.addEndpoint()
	})
}

// ask sends a prompt through an instance and reports whether it was served.
func (p *partRun) ask(instance int, parts string, own int) bool {
	req := prompt(p.request("POST", fmt.Sprintf("/check/%d", own), "x"))
	req.Header.Set("Sardinedock-Prompt-Prefix", fmt.Sprintf("%s,own-%d:100", parts, own))
	a := p.sendTo(instance, req)
	return a.status == http.StatusOK && !a.truncated
}

// play sends sound and deadly requests for a time.
func (p *partRun) play(length time.Duration) {
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	began := time.Now()
	for own := 1; time.Since(began) < length; own++ {
		instance := rng.IntN(len(p.instances))
		at := time.Now()
		wg.Go(func() {
			served := p.ask(instance, p.sound[own%len(p.sound)], own)
			p.mu.Lock()
			p.sent = append(p.sent, soundRequest{at, served})
			p.mu.Unlock()
		})
		if every := int(deadlyInterval / soundInterval); own%every == 0 {
			k := own / every
			instance := rng.IntN(len(p.instances))
			wg.Go(func() { p.ask(instance, p.deadly[k%len(p.deadly)], own) })
		}
		time.Sleep(soundInterval)
	}
	wg.Wait()
}

// startPartPlay starts the instances and endpoints of a play, which has passed sound requests for a second.
func startPartPlay(t *testing.T, play partPlay) *partRun {
	p := &partRun{fixture: newFixture(t, partInstances), partPlay: play, crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{}}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = true
	})
	for range partEndpoints {
		p.addEndpoint()
	}
	p.serve(partEndpoints, nil)
	p.awaitPeers()
	var wg sync.WaitGroup
	for k := range 40 {
		wg.Go(func() { p.ask(k%partInstances, p.sound[k%len(p.sound)], -k) })
		time.Sleep(soundInterval)
	}
	wg.Wait()
	return p
}

// check fails the test if too many requests with a deadly part reached endpoints, or too few sound ones were
// served. It returns the time of the last part's fifth crash.
func (p *partRun) check() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var known time.Time
	for part, crashes := range p.crashes {
		at := crashes[min(len(crashes), partCrashes)-1]
		if at.After(known) {
			known = at
		}
		later := 0
		for _, arrival := range p.arrivals[part] {
			if arrival.After(at.Add(partContact)) {
				later++
			}
		}
		p.t.Logf("part %s: %d endpoints crashed, %d requests with it reached endpoints later than %v after the fifth", part, len(crashes), later, partContact)
		if later > partRequestsLater {
			p.t.Errorf("part %s: %d requests with it reached endpoints later, at most %d may", part, later, partRequestsLater)
		}
	}
	sent, served := 0, 0
	for _, s := range p.sent {
		if s.at.After(known.Add(2 * partContact)) {
			sent++
			if s.served {
				served++
			}
		}
	}
	share := float64(served) / float64(max(sent, 1))
	p.t.Logf("%d sound requests, %.2f of them served at the first attempt", sent, share)
	if sent < 20 || share < partServed {
		p.t.Errorf("%d sound requests, %.2f of them served, want at least %.2f", sent, share, partServed)
	}
}

// Guards against endpoints that crash one after the other under requests that share a part of their prompts
// and are not alike otherwise.
func TestPartThatCrashesEndpointsIsNotRunAgain(t *testing.T) {
	sound := []string{"company:300,catalogue:600", "company:300,sheet:500"}
	const few, many = 2, 30
	for name, play := range map[string]partPlay{
		"in the middle":  {deadly: []string{"company:300,bad:200,catalogue:600"}, sound: sound, events: few},
		"in first place": {deadly: []string{"bad:200,company:300,catalogue:600"}, sound: sound, events: few},
		"no framing":     {deadly: []string{"company:300,bad:200,catalogue:600"}, sound: sound, events: few, unframed: true},
		"two such parts": {deadly: []string{"company:300,bad-1:200", "company:300,catalogue:600,bad-2:200"}, sound: sound, events: few},
		"long answers":   {deadly: []string{"company:300,bad:200,catalogue:600"}, sound: sound, events: many, pause: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPartPlay(t, play)
			p.play(partLength)
			p.check()
		})
	}
}

// Guards against an instance that starts and has not heard which parts of prompts crash endpoints.
func TestInstanceThatStartsKnowsTheDeadlyParts(t *testing.T) {
	p := startPartPlay(t, partPlay{deadly: []string{"company:300,bad:200,catalogue:600"}, sound: []string{"company:300,catalogue:600"}, events: 2})
	p.play(4 * time.Second)
	i := p.start("instance-new")
	p.eventually("records and endpoints at the new instance", func() bool { return i.Ready() && len(i.state.Endpoints("pool", time.Now())) > 0 })
	time.Sleep(2 * sweepInterval)
	p.mu.Lock()
	before := len(p.crashes["bad:200"])
	p.mu.Unlock()
	for k := range 12 {
		p.ask(partInstances, p.deadly[0], 10000+k)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.crashes["bad:200"]) - before; n > 0 {
		t.Errorf("%d endpoints crashed by requests through an instance that has just started", n)
	}
}
