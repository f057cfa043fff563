package origin_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/origin"
)

// day is a plausible time of a record.
var day = time.Date(2026, 2, 10, 0, 0, 0, 0, time.UTC)

const life = 4 * time.Second

// recorded returns a record of the service "pool" with one release since day.
func recorded(releases ...string) origin.Record {
	return origin.Record{Revision: 10, WrittenMs: day.UnixMilli(), Services: map[string]origin.RecordedReleases{
		"pool": {Releases: releases, SinceMs: day.UnixMilli()},
	}}
}

// Guards against a stream that continues although its release is uncertain, and one that is refused although it is certain.
func TestRecordedReleaseIsCertainOnlyIfNothingContradictsIt(t *testing.T) {
	late := day.Add(life + origin.ClockTolerance + time.Second)
	v1 := []string{"v1"}
	for name, c := range map[string]struct {
		record            origin.Record
		now               time.Time
		delivered, listed []string
		want              string
	}{
		"one release for long enough":      {recorded("v1"), late, nil, v1, "v1"},
		"changes of the same release":      {recorded("v1"), late, v1, v1, "v1"},
		"another came and went":            {recorded("v1"), late, []string{"v2", "v1"}, v1, ""},
		"another listed":                   {recorded("v1"), late, nil, []string{"v1", "v2"}, ""},
		"only another listed":              {recorded("v1"), late, nil, []string{"v2"}, ""},
		"none listed":                      {recorded("v1"), late, v1, nil, ""},
		"two recorded":                     {recorded("v1", "v2"), late, nil, v1, ""},
		"none recorded":                    {recorded(), late, nil, v1, ""},
		"not within the clocks' tolerance": {recorded("v1"), day.Add(life + origin.ClockTolerance), nil, v1, ""},
		"time in the future":               {recorded("v1"), day.Add(-time.Hour), nil, v1, ""},
		"service unknown":                  {origin.Record{}, late, nil, v1, ""},
	} {
		if got := c.record.Certain(c.now, "pool", c.delivered, c.listed, life); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a record that another writer, a fault or a clock that was not set has written and that vouches for anything.
func TestImplausibleRecordsAreRefused(t *testing.T) {
	good, err := recorded("v1").Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := origin.DecodeRecord(good); err != nil || !r.Same(recorded("v1")) {
		t.Errorf("%+v, %v", r, err)
	}
	for _, text := range []string{
		``, `null`, `{}`, `[]`, `{"revision":-1}`, `{"revision":"1"}`, `{"revision":1,"written_ms":5}`,
		`{"revision":1,"written_ms":1770681600000,"services":{"pool":{"releases":["v1"]}}}`,
		`{"revision":1,"written_ms":1770681600000,"services":{"pool":{"releases":["v1"],"since_ms":1000}}}`,
		`{"revision":1,"written_ms":1770681600000,"services":{"pool":{"releases":["v1"],"since_ms":1770681600001}}}`,
		`{"revision":1,"written_ms":1770681600000,"services":{"pool":{"releases":"v1","since_ms":1770681600000}}}`,
	} {
		if r, err := origin.DecodeRecord([]byte(text)); err == nil {
			t.Errorf("%s accepted: %+v", text, r)
		}
	}
}

// Guards against a time that does not restart when a release changes, or is unknown, and one that restarts for nothing.
func TestTimeOfTheOnlyReleaseRestarts(t *testing.T) {
	now := day.Add(time.Hour)
	type lists = map[string][]string
	v1 := lists{"pool": {"v1"}}
	for name, c := range map[string]struct {
		o        origin.Observation
		restarts bool
	}{
		"nothing changed":            {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: v1}, false},
		"no endpoint left":           {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: lists{"pool": nil}}, false},
		"endpoint of the same":       {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: v1, Delivered: v1}, false},
		"another came and went":      {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: v1, Delivered: lists{"pool": {"v2"}}}, true},
		"another came, none is left": {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: lists{"pool": nil}, Delivered: lists{"pool": {"v2"}}}, true},
		"another only":               {origin.Observation{Now: now, Revision: 12, Whole: true, Listed: lists{"pool": {"v2"}}}, true},
		"changes not known":          {origin.Observation{Now: now, Revision: 12, Listed: v1}, true},
	} {
		next := recorded("v1").Next(c.o)
		if restarts := next.Services["pool"].SinceMs == now.UnixMilli(); restarts != c.restarts || next.Revision != 12 {
			t.Errorf("%s: %+v", name, next)
		}
	}
	back := recorded("v1").Next(origin.Observation{Now: day.Add(-time.Hour), Revision: 12, Whole: true, Listed: lists{"pool": {"v2"}}})
	if back.Services["pool"].SinceMs != day.UnixMilli() || back.WrittenMs != day.UnixMilli() {
		t.Errorf("%+v by a clock that was set back, want no time before the previous record's", back)
	}
	if next := recorded("v1").Next(origin.Observation{Now: now, Revision: 12, Whole: true, Listed: lists{}}); len(next.Services) != 0 {
		t.Errorf("%+v, want no service whose streams can't be resumed", next)
	}
}

// Guards against memory that grows with the releases of endpoints, and changes that are dropped without a trace.
func TestDeliveredReleasesAreBounded(t *testing.T) {
	const limit = 4096
	d := &origin.Delivered{}
	for n := range uint64(limit + 1) {
		d.Add("pool", string(rune('a'+n)), n+1)
	}
	if _, ok := d.Since(limit - 1); ok {
		t.Error("dropped changes not reported")
	}
	if got, ok := d.Since(limit); !ok || len(got["pool"]) != 1 {
		t.Errorf("%d releases, complete %v", len(got["pool"]), ok)
	}
}

// Guards against a stream that continues at another release, whatever endpoints come and go, whichever of two writers with
// clocks that differ records them, whether changes are lost, and wherever all instances are killed.
func TestRecordVouchesOnlyForTheReleaseThatBeganAStream(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		const service, steps = "pool", 40
		releases := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"})
		clocks := []time.Duration{0, rapid.SampledFrom([]time.Duration{-origin.ClockTolerance, 0, origin.ClockTolerance}).Draw(t, "clock")}
		now, revision := day, uint64(1)
		listed := map[int]string{}
		names := func() []string {
			list := []string{}
			for _, release := range listed {
				list = append(list, release)
			}
			return list
		}
		// had is when a release was last listed.
		had := map[string]time.Time{}
		changes := &origin.Delivered{}
		var r origin.Record
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			for _, release := range listed {
				had[release] = now
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				revision++
				endpoint, release := rapid.IntRange(0, 1).Draw(t, "endpoint"), releases.Draw(t, "release")
				listed[endpoint], had[release] = release, now
				changes.Add(service, release, revision)
			case 1:
				revision++
				delete(listed, rapid.IntRange(0, 1).Draw(t, "endpoint"))
			default:
				writer := rapid.IntRange(0, 1).Draw(t, "writer")
				delivered, _ := changes.Since(r.Revision)
				o := origin.Observation{
					Now: now.Add(clocks[writer]), Revision: revision, Whole: true, Listed: map[string][]string{service: names()}, Delivered: delivered,
				}
				if r.Revision == 0 || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					o.Whole, o.Delivered = false, nil
				}
				r = r.Next(o)
			}
			delivered, _ := changes.Since(r.Revision)
			release := r.Certain(now, service, delivered[service], names(), life)
			if release == "" {
				continue
			}
			certain++
			for other, at := range had {
				if other != release && now.Sub(at) < life {
					t.Fatalf("%q certain although %q was listed %v ago", release, other, now.Sub(at))
				}
			}
		}
	})
	if certain == 0 {
		t.Error("never certain")
	}
}
