package balance

import (
	"testing"
	"time"
)

// newReleases returns a state with as many endpoints of releases v1 and v2.
func newReleases(v1, v2 int) *State {
	s := newPool(0, 1)
	for i, e := range endpoints(v1+v2, 1) {
		if e.Release = "v2"; i < v1 {
			e.Release = "v1"
		}
		s.PutEndpoint(e)
	}
	return s
}

// bound returns a request that only a release may run.
func bound(n int, release string) Ask {
	a := prompt(n, n)
	a.Release = release
	return a
}

// Guards against a resumed stream that is placed at another release, however much cheaper that is.
func TestBoundRequestIsPlacedAtItsRelease(t *testing.T) {
	s := newReleases(1, 4)
	for n := range 20 {
		if _, p := send(t, s, start, bound(n, "v1")); p.Endpoint.Release != "v1" {
			t.Fatalf("request %d placed at %s of %s", n, p.Endpoint.ID, p.Endpoint.Release)
		}
	}
}

// Guards against requests that wait for a release of which no endpoint is left, and against ones that are refused
// while its only endpoint is unreachable for a moment.
func TestRequestForAReleaseThatIsGoneIsRefusedAtOnce(t *testing.T) {
	s := newReleases(1, 2)
	decide := func() Admission { return s.Decide(start, Query{Ask: bound(1, "v1"), Run: 1}).Admission }
	s.Suspect("e0", start.Add(time.Second))
	s.Loading("e0", start.Add(time.Second))
	if a := decide(); a != Wait {
		t.Errorf("%v while its endpoint loads weights, want Wait", a)
	}
	s.RemoveEndpoint("e0")
	if a := decide(); a != NoRelease {
		t.Errorf("%v without an endpoint, want NoRelease", a)
	}
}

// Guards against an endpoint whose entry has stated two releases, and that counts as one of the second: it is not
// certain which of them runs.
func TestEndpointThatStatesTwoReleasesHasNone(t *testing.T) {
	s := newReleases(1, 1)
	e, _ := s.Listed("e0")
	e.Release = "v2"
	s.PutEndpoint(e)
	if r := s.ReleaseOf("e0"); r != "" {
		t.Errorf("release %q", r)
	}
	for n := range 8 {
		if _, p := send(t, s, start, bound(n, "v2")); p.Endpoint.ID != "e1" {
			t.Errorf("bound request placed at %s", p.Endpoint.ID)
		}
	}
}

// Guards against streams that find no room at the only endpoint left of their release: in a rollout in a busy pool, one of
// the last two crashes, and all its streams return at once to the other one.
func TestLastEndpointsOfAReleaseKeepRoomForItsStreams(t *testing.T) {
	const oldOnes, newOnes, load, slots = 2, 7, 58, 8
	s := newReleases(oldOnes, newOnes)
	for n := range load {
		send(t, s, start, prompt(n, n))
	}
	streams := 0
	for _, v := range s.Endpoints("pool", start) {
		if v.Release == "v1" {
			streams += v.Running
		}
	}
	if streams > slots {
		t.Errorf("%d streams at the last two endpoints of a release, the other one has %d slots", streams, slots)
	}
	if streams == 0 {
		t.Error("the last endpoints of a release get no work at all")
	}
}
