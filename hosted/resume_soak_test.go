package hosted

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

var (
	resumeSeed  = flag.Uint64("resume-seed", 1, "first seed of TestBrokenAnswersUnderLoad")
	resumeSeeds = flag.Int("resume-seeds", 2, "number of seeds of TestBrokenAnswersUnderLoad")
)

const (
	resumeCallers = 12
	resumeTime    = 3 * time.Second
	// resumeTries is how often a caller resumes a stream.
	resumeTries = 3
	// crashPercent of the runs crash their endpoint, breakPercent break off without that.
	crashPercent = 2
	breakPercent = 30
	// successorDelay is the time until a crashed endpoint's successor starts, with the same release.
	successorDelay = 200 * time.Millisecond
)

// resumeSoak has endpoints of several releases that answer with and without framing, break off anywhere, crash and are
// replaced, and callers that resume their streams.
type resumeSoak struct {
	*fixture
	mu       sync.Mutex
	rng      *rand.Rand
	started  int
	counts   map[string]int
	problems []string
}

func (s *resumeSoak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *resumeSoak) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *resumeSoak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// addEndpoint starts an endpoint of a release; of a plain service if the release is empty.
func (s *resumeSoak) addEndpoint(release string) {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("e%d", s.started)
	s.mu.Unlock()
	e, err := platformtest.NewEndpoint(id, func(x *platformtest.Exchange) bool { return s.serveRequest(x, release) })
	if err != nil {
		s.problem("start %s: %v", id, err)
		return
	}
	s.t.Cleanup(e.Close)
	if release == "" {
		s.store.Put("servers", id, e.Entry("orders", "ready", nil))
		return
	}
	s.putRelease(e, release, "ready")
}

// Endings of an answer.
const (
	endsWhole = iota
	// endsInsideAnEvent: the connection is closed there, and the endpoint lives on.
	endsInsideAnEvent
	// endsWithReset and endsWithCrash: at any byte.
	endsWithReset
	endsWithCrash
)

// serveRequest answers a request, with a random framing and ending.
func (s *resumeSoak) serveRequest(x *platformtest.Exchange, release string) bool {
	framed, ending := s.intN(2) == 0, endsWhole
	switch n := s.intN(100); {
	case n < crashPercent:
		ending = endsWithCrash
	case n < crashPercent+breakPercent:
		ending = endsInsideAnEvent + s.intN(endsWithCrash-endsInsideAnEvent)
	}
	body, contentType := "answer to "+x.ID(), "text/plain"
	if release != "" {
		body, contentType = "", "text/event-stream"
		from, _ := strconv.Atoi(x.Header("Last-Event-Id"))
		for id := from + 1; id <= releaseEvents; id++ {
			body += releaseEvent(release, id)
		}
	} else if ending == endsInsideAnEvent {
		// A plain answer without framing that ends so can not be recognised.
		ending = endsWithReset
	}
	cut := len(body)
	if ending != endsWhole && cut > 0 {
		cut = s.intN(cut)
	}
	if ending == endsInsideAnEvent && (cut == 0 || body[cut-1] == '\n') {
		ending = endsWithReset
	}
	if framed && release != "" {
		x.StreamHead()
	} else if framed {
		x.Head(200, x.Signature(), len(body))
	} else {
		x.UnframedHead(contentType)
	}
	for _, part := range []string{body[:cut/2], body[cut/2 : cut]} {
		if framed && release != "" && part != "" {
			x.Chunk(part)
		} else {
			x.Write("%s", part)
		}
		time.Sleep(time.Duration(1+s.intN(10)) * time.Millisecond)
	}
	switch ending {
	case endsWhole:
		if framed && release != "" {
			x.End()
		}
		return framed
	case endsWithReset:
		x.Reset()
	case endsWithCrash:
		s.count("crashes")
		x.Endpoint.Close()
		time.AfterFunc(successorDelay, func() {
			s.store.Remove("servers", x.Endpoint.ID)
			s.addEndpoint(release)
		})
	}
	return false
}

// call sends requests until the time is over.
func (s *resumeSoak) call(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		switch s.intN(3) {
		case 0:
			s.callPlain("GET", "/stock/")
		case 1:
			s.callPlain("POST", "/confirm/")
		default:
			s.callStream()
		}
	}
}

// live returns an instance that serves.
func (s *resumeSoak) live() int { return s.intN(2) }

func (s *resumeSoak) callPlain(method, path string) {
	req := s.request(method, fmt.Sprintf("%s%d", path, s.intN(1<<30)), "")
	id := req.Header.Get("Sardinedock-Request-Id")
	a := s.sendTo(s.live(), req)
	if a.looksWhole() && a.body != "answer to "+id {
		s.problem("plain answer looks whole: %q", a.body)
	}
	s.count(fmt.Sprintf("plain %d", a.status))
}

// callStream requests a stream and resumes it through other instances until it is whole.
func (s *resumeSoak) callStream() {
	path := fmt.Sprintf("/check/%d", s.intN(1<<30))
	got, first := "", ""
	for try := range resumeTries + 1 {
		req := prompt(s.request("POST", path, "p"))
		if events := strings.Count(got, "\n\n"); events > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(events))
			req.Header.Set("Resumes", first)
		}
		instance := s.live()
		if try == 0 {
			// The third instance is killed in the middle.
			instance = s.intN(len(s.callers))
		}
		body, status, whole := s.read(instance, req)
		if got == "" && body != "" {
			first = req.Header.Get("Sardinedock-Request-Id")
		}
		if try > 0 && got != "" {
			s.count("resumed")
			s.count(fmt.Sprintf("resumed %d", status))
		}
		if status != http.StatusOK {
			continue
		}
		got += body
		if whole {
			break
		}
	}
	s.checkStream(got)
}

// read returns the whole events of a stream's answer, and whether it looks whole.
func (s *resumeSoak) read(instance int, req *http.Request) (body string, status int, whole bool) {
	req.URL.Host = s.callers[instance]
	resp, err := s.client.Do(req)
	if err != nil {
		return "", 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(bufio.NewReader(resp.Body))
	if resp.StatusCode != http.StatusOK {
		return "", resp.StatusCode, false
	}
	body = string(text)
	if err == nil && len(body) > 0 && !strings.HasSuffix(body, fmt.Sprintf("writes %d\n\n", releaseEvents)) {
		s.problem("stream looks whole: %q", body)
	}
	if end := strings.LastIndex(body, "\n\n"); end+2 != len(body) && end >= 0 {
		s.problem("part of an event was passed on: %q", body)
	}
	return body, resp.StatusCode, err == nil
}

// checkStream checks what a caller has put together from its tries.
func (s *resumeSoak) checkStream(got string) {
	if n := len(releasesOf(got)); n > 1 {
		s.problem("a stream of %d releases: %q", n, got)
	}
	for id := range strings.Count(got, "\n\n") {
		if !strings.Contains(got, fmt.Sprintf("id: %d\n", id+1)) {
			s.problem("event %d is missing: %q", id+1, got)
		}
	}
	if strings.Count(got, "\n\n") == releaseEvents {
		s.count("streams whole")
	} else {
		s.count("streams broken")
	}
}

// Guards against answers that look whole and are not, and streams of two releases, while endpoints answer with and
// without framing, break off anywhere and crash, an instance is killed, and callers resume their streams elsewhere.
func TestBrokenAnswersUnderLoad(t *testing.T) {
	for seed := *resumeSeed; seed < *resumeSeed+uint64(*resumeSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const manyRetries = 1000
			s := &resumeSoak{fixture: newFixtureWith(t, 3, manyRetries), rng: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
			for _, release := range []string{"v1", "v2", "v1", "v3", "v2", "", "", ""} {
				s.addEndpoint(release)
			}
			s.serve(8, nil)
			s.awaitPeers()
			until := time.Now().Add(resumeTime)
			var wg sync.WaitGroup
			for range resumeCallers {
				wg.Go(func() { s.call(until) })
			}
			time.Sleep(resumeTime / 2)
			s.instances[2].Kill()
			wg.Wait()
			t.Logf("seed %d: %v", seed, s.counts)
			for _, p := range s.problems {
				t.Error(p)
			}
			if s.counts["streams whole"] == 0 || s.counts["resumed 200"] == 0 || s.counts["plain 200"] == 0 {
				t.Errorf("seed %d shows nothing: %v", seed, s.counts)
			}
			if 2*s.counts["resumed 200"] < s.counts["resumed"] {
				t.Errorf("seed %d: under half of the resumptions go on: %v", seed, s.counts)
			}
		})
	}
}
