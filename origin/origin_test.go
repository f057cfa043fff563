package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/origin"
)

var start = time.Unix(1000, 0)

// Guards against a stream whose release is taken from a later request with the same ID, or is known for ever.
func TestFirstReportOfAStreamCountsUntilItsTimeIsOver(t *testing.T) {
	b := origin.NewBook()
	k := origin.KeyOf("kumasi", "id-1")
	b.Began(start, k, "v1", 10*time.Second)
	b.Began(start.Add(time.Second), k, "v2", 10*time.Second)
	if r := b.Release(start.Add(9*time.Second), k); r != "v1" {
		t.Errorf("%q, want the release of the first report", r)
	}
	if r := b.Release(start.Add(10*time.Second), k); r != "" {
		t.Errorf("%q after the caller's time", r)
	}
	b.Sweep(start.Add(10 * time.Second))
	if n := b.Streams(); n != 0 {
		t.Errorf("%d streams after a sweep", n)
	}
	b.Began(start, k, "v1", 1000*time.Hour)
	if r := b.Release(start.Add(time.Hour), k); r != "" {
		t.Errorf("%q an hour later", r)
	}
}

// Guards against an organisation that learns of another's streams, or changes what is known of them.
func TestKeysOfOrganisationsDiffer(t *testing.T) {
	if origin.KeyOf("a", "bc") == origin.KeyOf("ab", "c") || origin.KeyOf("a", "1") == origin.KeyOf("b", "1") {
		t.Error("two organisations have the same key")
	}
	if origin.KeyOf("a", "") != 0 {
		t.Error("a request that names no other has a key")
	}
}

// Guards against memory that grows with the streams of callers.
func TestStreamsAreBounded(t *testing.T) {
	const sent, limit = 1<<17 + 1000, 1 << 17
	b := origin.NewBook()
	for n := range sent {
		b.Began(start, origin.KeyOf("o", fmt.Sprint(n)), "v1", time.Minute)
	}
	if n := b.Streams(); n != limit {
		t.Errorf("%d streams, want %d", n, limit)
	}
}

// Guards against a release that has just appeared or disappeared and is not considered, and an instance that vouches for a time
// when it did not follow the endpoints.
func TestOnlyReleaseIsKnownAfterTheLifeOfAStream(t *testing.T) {
	const life = 30 * time.Second
	b := origin.NewBook()
	at := func(d time.Duration) origin.Releases { return b.Releases(start.Add(d), "pool", []string{"v1"}, life) }
	b.Seen(start, "pool", "v1")
	if r := at(time.Hour); r.Only != "" {
		t.Errorf("%+v before the endpoints are followed", r)
	}
	b.Follow(start)
	if r := at(life - time.Second); r.Only != "" || r.Several {
		t.Errorf("%+v too early", r)
	}
	if r := at(life); r.Only != "v1" {
		t.Errorf("%+v, want v1 only", r)
	}
	b.Seen(start.Add(time.Minute), "pool", "v0")
	if r := at(time.Minute + life - time.Second); !r.Several {
		t.Errorf("%+v, want several: v0 was there", r)
	}
	if r := at(time.Minute + life); r.Only != "v1" {
		t.Errorf("%+v, want v1 only", r)
	}
	first := origin.NewBook()
	first.Follow(start)
	if r := first.Releases(start, "pool", []string{"v1"}, life); r.Only != "" {
		t.Errorf("%+v before it is known that no stream is older", r)
	}
	first.NoEarlierStreams()
	if r := first.Releases(start, "pool", []string{"v1"}, life); r.Only != "v1" {
		t.Errorf("%+v at the first start of all, want v1 only", r)
	}
	if r := b.Releases(start.Add(time.Hour), "pool", []string{"v1", "v2"}, life); !r.Several {
		t.Errorf("%+v with two listed", r)
	}
}

// Guards against a stream that goes on where instances contradict each other, or nobody knows.
func TestStreamGoesOnOnlyWhereItsReleaseIsCertain(t *testing.T) {
	only := func(r string) origin.Answer { return origin.Answer{Releases: origin.Releases{Only: r}} }
	several := origin.Answer{Releases: origin.Releases{Several: true}}
	for name, c := range map[string]struct {
		answers []origin.Answer
		want    string
		result  origin.Result
	}{
		"nobody answers":          {nil, "", origin.Unknown},
		"nobody knows":            {[]origin.Answer{{}, {}}, "", origin.Unknown},
		"one knows":               {[]origin.Answer{several, {Release: "v1", Instance: "i"}}, "v1", origin.Known},
		"one vouches, one is new": {[]origin.Answer{{}, only("v1")}, "v1", origin.OnlyRelease},
		"one has seen several":    {[]origin.Answer{only("v1"), several}, "", origin.Unknown},
		"they differ":             {[]origin.Answer{only("v1"), only("v2")}, "", origin.Unknown},
	} {
		if release, result, _ := origin.Decide(c.answers); release != c.want || result != c.result {
			t.Errorf("%s: %q, %v", name, release, result)
		}
	}
}
