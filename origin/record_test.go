package origin_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/origin"
)

const life = 4 * time.Second

// day is a plausible time of a record.
var day = time.Date(2026, 2, 10, 0, 0, 0, 0, time.UTC)

// Guards against a record that a fault or a clock that was not set has written, and a time in the future, that vouch for anything.
func TestImplausibleRecordsVouchForNothing(t *testing.T) {
	const format = `{"revision":%d,"written_ms":%d,"services":{"pool":{"releases":["v1"],"since_ms":%d}}}`
	v1, now := []string{"v1"}, day.UnixMilli()
	r, err := origin.DecodeRecord(fmt.Appendf(nil, format, 1, now, now))
	if err != nil {
		t.Fatal(err)
	}
	for after, want := range map[time.Duration]string{
		-time.Hour: "", life + origin.ClockTolerance: "", life + origin.ClockTolerance + time.Millisecond: "v1",
	} {
		if got := r.Certain(day.Add(after), "pool", nil, v1, life); got != want {
			t.Errorf("%q after %v, want %q", got, after, want)
		}
	}
	c := origin.Clock{}
	c.Advance(day.Add(-time.Hour), 0)
	if _, stepped := c.Advance(day, time.Second); !stepped {
		t.Error("a clock that was set forward by an hour is not noticed: what was recorded before seems an hour older")
	}
	for _, text := range []string{
		``, `null`, `{"revision":"1"}`, fmt.Sprintf(format, 0, now, now), fmt.Sprintf(format, 1, 1000, 1000), fmt.Sprintf(format, 1, now, now+1),
	} {
		if r, err := origin.DecodeRecord([]byte(text)); err == nil {
			t.Errorf("%s accepted: %+v", text, r)
		}
	}
}

// Guards against memory that grows with the releases of endpoints, and changes that are dropped without a trace.
func TestDeliveredReleasesAreBounded(t *testing.T) {
	const limit = 4096
	d := &origin.Delivered{}
	for n := range uint64(limit + 1) {
		d.Add("pool", fmt.Sprint(n), n+1)
	}
	_, complete := d.Since(limit - 1)
	if kept, ok := d.Since(limit); complete || !ok || len(kept["pool"]) != 1 {
		t.Errorf("%d releases, complete %v, before the dropped ones %v", len(kept["pool"]), ok, complete)
	}
}

// Guards against a stream that continues at another release, whatever endpoints come and go, whichever of two writers records
// them, one with a clock that differs and one with a clock that jumps, whether changes are lost, and wherever all instances
// are killed.
func TestRecordVouchesOnlyForTheReleaseThatBeganAStream(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		const service, steps = "pool", 40
		differs := rapid.SampledFrom([]time.Duration{-origin.ClockTolerance, 0, origin.ClockTolerance}).Draw(t, "clock")
		jumping, jumped, readAt := origin.Clock{}, time.Duration(0), day
		now, revision := day, uint64(1)
		listed, had := [2]string{}, map[string]time.Time{}
		names := func() (list []string) {
			for _, release := range listed {
				if release != "" {
					list, had[release] = append(list, release), now
				}
			}
			return list
		}
		changes, r := &origin.Delivered{}, origin.Record{}
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			names()
			if rapid.IntRange(0, 4).Draw(t, "step") < 2 {
				revision++
				endpoint, release := rapid.IntRange(0, 1).Draw(t, "endpoint"), rapid.SampledFrom([]string{"v1", "v1", "v1", "v2", "", ""}).Draw(t, "release")
				if listed[endpoint] = release; release != "" {
					changes.Add(service, release, revision)
				}
			} else {
				o := origin.Observation{Now: now.Add(differs), Revision: revision, Listed: map[string][]string{service: names()}}
				stepped := false
				if rapid.Bool().Draw(t, "writer") {
					o.Now, stepped = jumping.Advance(now.Add(jumped), now.Sub(readAt))
					readAt, jumped = now, rapid.SampledFrom([]time.Duration{0, 0, 0, 0, -time.Hour, time.Hour}).Draw(t, "jump")
				}
				if o.Whole = r.Revision > 0 && !stepped && rapid.IntRange(0, 9).Draw(t, "lost") > 0; o.Whole {
					o.Delivered, _ = changes.Since(r.Revision)
				}
				r = r.Next(o)
			}
			delivered, _ := changes.Since(r.Revision)
			release := r.Certain(now, service, delivered[service], names(), life)
			for other, at := range had {
				if release != "" && other != release && now.Sub(at) < life {
					t.Fatalf("%q certain although %q was listed %v ago", release, other, now.Sub(at))
				}
			}
			if release != "" {
				certain++
			}
		}
	})
	if certain == 0 {
		t.Error("never certain")
	}
}
