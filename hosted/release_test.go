package hosted

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	// releaseEvents is the number of events of a stream of releaseHandler, brokenAfter how many of them the
	// caller or the endpoint gets before it breaks.
	releaseEvents = 6
	brokenAfter   = 2
)

// releaseEvent returns an event that shows which release wrote it.
func releaseEvent(release string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s writes %d\n\n", id, release, id)
}

// releaseFixture returns instances before endpoints of the pool, as many as stated of each release. Their streams begin
// with brokenAfter events, and then do what onBegin says; a resumed stream is written to its end.
func releaseFixture(t *testing.T, instances int, endpoints map[string]int, onBegin func(*platformtest.Exchange) bool) *fixture {
	t.Helper()
	f := newFixture(t, instances)
	total := 0
	for release, n := range endpoints {
		for k := range n {
			f.releaseEndpoint(fmt.Sprintf("%s-%d", release, k), release, onBegin)
			total++
		}
	}
	f.serve(total, nil)
	f.awaitPeers()
	return f
}

// releaseEndpoint adds an endpoint of a release to the pool.
func (f *fixture) releaseEndpoint(id, release string, onBegin func(*platformtest.Exchange) bool) *platformtest.Endpoint {
	f.t.Helper()
	e, err := platformtest.NewEndpoint(id, func(x *platformtest.Exchange) bool {
		from, _ := strconv.Atoi(x.Header("Last-Event-Id"))
		x.StreamHead()
		for id := from + 1; id <= releaseEvents; id++ {
			x.Chunk(releaseEvent(release, id))
			if from == 0 && id == brokenAfter && !onBegin(x) {
				return false
			}
		}
		x.End()
		return true
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Close)
	f.putRelease(e, release, "ready")
	return e
}

// putRelease writes the entry of an endpoint of a release.
func (f *fixture) putRelease(e *platformtest.Endpoint, release, state string) {
	entry := e.Entry("pool", state, map[string]int64{"m": 1})
	entry["version"] = release
	f.store.Put("servers", e.ID, entry)
}

// begin sends a request for a resumable stream to an instance, reads its first brokenAfter events and returns its ID,
// those events and a function that closes the connection.
func (f *fixture) begin(instance int, path string) (id, read string, hangUp func()) {
	f.t.Helper()
	return f.beginWith(instance, prompt(f.request("POST", path, "p")))
}

// beginWith is begin with the given request.
func (f *fixture) beginWith(instance int, req *http.Request) (id, read string, hangUp func()) {
	f.t.Helper()
	req.URL.Host = f.callers[instance]
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	br := bufio.NewReader(resp.Body)
	for range brokenAfter * strings.Count(releaseEvent("", 0), "\n") {
		line, err := br.ReadString('\n')
		if err != nil {
			f.t.Fatal(err)
		}
		read += line
	}
	return req.Header.Get("Sardinedock-Request-Id"), read, func() { _ = resp.Body.Close() }
}

// resumption returns the caller's request that resumes a stream that another one began.
func (f *fixture) resumption(path, resumes string) *http.Request {
	req := prompt(f.request("POST", path, "p"))
	req.Header.Set("Last-Event-Id", strconv.Itoa(brokenAfter))
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
	}
	return req
}

// releasesOf returns the releases that wrote the events of a stream.
func releasesOf(body string) map[string]bool {
	found := map[string]bool{}
	for line := range strings.SplitSeq(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			release, _, _ := strings.Cut(text, " ")
			found[release] = true
		}
	}
	return found
}

// breakOff breaks a stream off.
func breakOff(*platformtest.Exchange) bool { return false }

// holdUntilClosed keeps a stream open until its receiver closes the connection.
func holdUntilClosed(x *platformtest.Exchange) bool {
	x.CallerClosed(wait)
	return false
}

// Guards against an instance that resumes a stream at another release than the one that began it.
func TestStreamIsResumedAtTheReleaseThatBeganIt(t *testing.T) {
	const streams = 12
	f := releaseFixture(t, 1, map[string]int{"v1": 2, "v2": 3, "v3": 2}, breakOff)
	for k := range streams {
		a := f.do(prompt(f.request("POST", fmt.Sprintf("/check/%d", k), "p")))
		if n := len(releasesOf(a.body)); n != 1 || a.truncated || strings.Count(a.body, "data: ") != releaseEvents {
			t.Errorf("stream %d: %d releases, %+v", k, n, a)
		}
	}
}

// crashWhenClosed returns a function that holds a stream open until its receiver closes the connection, and then ends
// the endpoint. Each endpoint that has ended is sent to the channel.
func crashWhenClosed() (onBegin func(*platformtest.Exchange) bool, ended chan string) {
	ended = make(chan string, 1)
	return func(x *platformtest.Exchange) bool {
		x.CallerClosed(wait)
		x.Endpoint.Close()
		ended <- x.Endpoint.ID
		return false
	}, ended
}

// beginAndCrash begins a stream at the only endpoint of release v1, adds two of v2 and then another one of v1, and has
// the endpoint crash once the given function has broken the stream.
func beginAndCrash(t *testing.T, breakStream func(f *fixture, hangUp func())) (f *fixture, id, read string) {
	t.Helper()
	onBegin, ended := crashWhenClosed()
	f = releaseFixture(t, 3, map[string]int{"v1": 1}, onBegin)
	id, read, hangUp := f.begin(0, "/check/1")
	defer hangUp()
	for _, e := range []struct{ id, release string }{{"other-1", "v2"}, {"other-2", "v2"}, {"spare", "v1"}} {
		f.releaseEndpoint(e.id, e.release, holdUntilClosed)
		f.eventually("the endpoint listed", func() bool {
			for _, i := range f.instances {
				if _, ready := i.state.ListedReady(e.id); !ready {
					return false
				}
			}
			return true
		})
	}
	breakStream(f, hangUp)
	<-ended
	return f, id, read
}

// goesOn reports whether an answer is the rest of a stream, written by the release that began it.
func (a answer) goesOn(read string) bool {
	whole := read + a.body
	return a.status == 200 && !a.truncated && len(releasesOf(whole)) == 1 && strings.Count(whole, "data: ") == releaseEvents
}

// Guards against a stream that its caller resumes through another instance, after the endpoint that began it has
// crashed, and that goes on at another release.
func TestCallerResumesAtTheReleaseThatBeganTheStream(t *testing.T) {
	f, id, read := beginAndCrash(t, func(_ *fixture, hangUp func()) { hangUp() })
	if a := f.sendTo(1, f.resumption("/check/1", id)); !a.goesOn(read) {
		t.Errorf("began with %q, goes on with %+v", read, a)
	}
}

// Guards against the same after the instance that began the stream was killed, and a third try that names the request
// of the first.
func TestCallerResumesAfterTheInstanceWasKilled(t *testing.T) {
	f, id, read := beginAndCrash(t, func(f *fixture, _ func()) { f.instances[0].Kill() })
	for _, instance := range []int{1, 2} {
		if a := f.sendTo(instance, f.resumption("/check/1", id)); !a.goesOn(read) {
			t.Errorf("instance %d: began with %q, goes on with %+v", instance, read, a)
		}
	}
}

// Guards against a stream that goes on at another release since no endpoint of its own is left. Nothing runs then, and
// its caller gets the refusal at once.
func TestStreamWhoseReleaseIsGoneDoesNotGoOn(t *testing.T) {
	var served atomic.Int64
	f := releaseFixture(t, 2, map[string]int{"v1": 1}, holdUntilClosed)
	id, _, hangUp := f.begin(0, "/check/1")
	hangUp()
	f.releaseEndpoint("v2-0", "v2", func(*platformtest.Exchange) bool { served.Add(1); return true })
	f.store.Remove("servers", "v1-0")
	f.eventually("only the new release listed", func() bool {
		for _, i := range f.instances {
			list := i.state.Endpoints("pool", time.Now())
			if len(list) != 1 || list[0].Release != "v2" {
				return false
			}
		}
		return true
	})
	began := time.Now()
	a := f.sendTo(1, f.resumption("/check/1", id))
	if a.status != 503 || a.header.Get("Retry-After") != "" || time.Since(began) > 300*time.Millisecond {
		t.Errorf("%+v after %v, want 503 at once without Retry-After", a, time.Since(began))
	}
	if n := served.Load(); n > 0 {
		t.Errorf("%d streams ran at the other release", n)
	}
}

// Guards against a stream of which nobody knows the release, and that goes on at one of several.
func TestStreamOfAnUnknownReleaseDoesNotGoOn(t *testing.T) {
	f := releaseFixture(t, 2, map[string]int{"v1": 1, "v2": 1}, breakOff)
	for _, resumes := range []string{"", "never-sent"} {
		if a := f.do(f.resumption("/check/1", resumes)); a.status != 503 {
			t.Errorf("resumes %q: %+v, want it refused", resumes, a)
		}
	}
}

// Guards against a stream that goes on by what another organisation's request with the same ID began.
func TestStreamsOfOrganisationsAreKeptApart(t *testing.T) {
	const otherKey = "key-two"
	f := newFixture(t, 1)
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.releaseEndpoint("v2-0", "v2", holdUntilClosed)
	f.serve(2, func(records map[string]any) {
		records["tenants"] = append(records["tenants"].([]any), map[string]any{"name": "tamale", "apiKeys": []string{otherKey}, "priority": 0})
	})
	id, _, hangUp := f.begin(0, "/check/1")
	hangUp()
	req := f.resumption("/check/1", id)
	req.Header.Set("Authorization", "Bearer "+otherKey)
	if a := f.do(req); a.status != 503 {
		t.Errorf("%+v, want it refused: the stream is not known to that organisation", a)
	}
	if a := f.do(f.resumption("/check/1", id)); a.status != 200 {
		t.Errorf("%+v, want it served to the organisation that began it", a)
	}
}

// Guards against an instance that has just started and refuses the streams that others know.
func TestInstanceThatHasJustStartedAsksForTheOriginOfAStream(t *testing.T) {
	f := releaseFixture(t, 2, map[string]int{"v1": 1, "v2": 1}, holdUntilClosed)
	id, read, hangUp := f.begin(0, "/check/1")
	hangUp()
	i := f.start("instance-2")
	f.eventually("the new instance ready", func() bool { return i.Ready() && len(i.state.Endpoints("pool", time.Now())) == 2 })
	if a := f.sendTo(2, f.resumption("/check/1", id)); !a.goesOn(read) {
		t.Errorf("began with %q, goes on with %+v", read, a)
	}
}

// Guards against streams that are refused although their service has never had two releases.
func TestUnknownStreamGoesOnAtTheOnlyRelease(t *testing.T) {
	f := newFixture(t, 0)
	f.firstStart = true
	f.start("instance-0")
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.serve(1, nil)
	if a := f.do(f.resumption("/check/1", "")); a.status != 200 || a.truncated {
		t.Errorf("%+v, want it to go on", a)
	}
	f.releaseEndpoint("v2-0", "v2", holdUntilClosed)
	f.eventually("two releases listed", func() bool { return len(f.instances[0].state.Releases("pool")) == 2 })
	if a := f.do(f.resumption("/check/1", "")); a.status != 503 {
		t.Errorf("%+v with two releases, want it refused", a)
	}
}

// Guards against a resumption that is refused while the endpoints of its release are down but listed, although a
// successor comes within the caller's time.
func TestResumptionWaitsForASuccessorOfItsRelease(t *testing.T) {
	const successorAfter = 500 * time.Millisecond
	onBegin, ended := crashWhenClosed()
	f := releaseFixture(t, 1, map[string]int{"v1": 1}, onBegin)
	f.releaseEndpoint("other", "v2", holdUntilClosed)
	f.eventually("both releases listed", func() bool { return len(f.instances[0].state.Releases("pool")) == 2 })
	id, read, hangUp := f.begin(0, "/check/1")
	hangUp()
	<-ended
	time.AfterFunc(successorAfter, func() { f.releaseEndpoint("successor", "v1", holdUntilClosed) })
	if a := f.do(f.resumption("/check/1", id)); !a.goesOn(read) {
		t.Errorf("began with %q, goes on with %+v", read, a)
	}
}

// Guards against a stream that loses its release on the path through another instance: one that is killed while the stream
// comes through it, and a caller who resumes at an instance that reaches no endpoint.
func TestForwardedStreamGoesOnAtTheReleaseThatBeganIt(t *testing.T) {
	const streams = 6
	f := newFixture(t, 3)
	endpoints := partitioned(f.instances[0])
	peers := &partition{conns: map[*cuttableConn]bool{}}
	f.instances[0].peerRelays.dialer = peers.dial
	for _, e := range []struct{ id, release string }{{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}, {"e4", "v2"}} {
		f.releaseEndpoint(e.id, e.release, holdUntilClosed)
	}
	f.serve(4, nil)
	f.awaitPeers()
	endpoints.cut(cutWithReset)
	f.eventually("the loss known", func() bool {
		f.do(prompt(f.request("POST", "/check/probe", "p")).WithContext(soon(t)))
		return len(f.instances[0].paths.LostServices()) > 0
	})
	for k := range streams {
		path := fmt.Sprintf("/check/%d", k)
		id, read, hangUp := f.begin(0, path)
		hangUp()
		if a := f.sendTo(0, f.resumption(path, id)); !a.goesOn(read) {
			t.Errorf("stream %d, resumed by its caller: began with %q, goes on with %+v", k, read, a)
		}
		answers := make(chan answer, 1)
		go func() { answers <- f.do(prompt(f.request("POST", path+"x", "p"))) }()
		time.Sleep(100 * time.Millisecond)
		peers.reset()
		if a := <-answers; !a.goesOn("") {
			t.Errorf("stream %d, resumed by its instance: %+v", k, a)
		}
	}
}

// soon returns a context that ends before a stream that is held open.
func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}
