package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// longAgo is how long before a test a service of an earlier life of the instances has had its only release.
const longAgo = time.Hour

// recordSince returns a record, at the store's first revision, of the pool with the release v1 since a time.
func recordSince(since time.Time) origin.Record {
	return origin.Record{Revision: 1, WrittenMs: since.UnixMilli(), Services: map[string]origin.RecordedReleases{
		"pool": {Releases: []string{"v1"}, SinceMs: since.UnixMilli()},
	}}
}

// restartFixture is a fixture of instances before two endpoints of release v1, in whose store an earlier life has left a
// record. Streams may last for so long that no instance knows in this test by its own experience which releases there were.
func restartFixture(t *testing.T, instances int) *fixture {
	t.Helper()
	const timeoutMs = 60_000
	f := newFixture(t, 0)
	f.store.Put(kindReleases, releasesName, recordSince(time.Now().Add(-longAgo)))
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.releaseEndpoint("v1-1", "v1", holdUntilClosed)
	for k := range instances {
		f.start(fmt.Sprintf("instance-%d", k))
	}
	f.serve(2, func(records map[string]any) {
		for _, r := range records["routes"].([]any) {
			r.(map[string]any)["timeoutMs"] = timeoutMs
		}
	})
	f.awaitPeers()
	return f
}

// restart kills all instances, calls meanwhile, and starts as many again, which list n endpoints.
func (f *fixture) restart(n int, meanwhile func()) {
	f.t.Helper()
	count := len(f.instances)
	for _, i := range f.instances {
		i.Kill()
	}
	meanwhile()
	f.instances, f.callers, f.ready = nil, nil, nil
	for k := range count {
		f.start(fmt.Sprintf("instance-%d", k))
	}
	f.eventually("all instances restarted", func() bool {
		for _, i := range f.instances {
			if !i.Ready() || len(i.state.Endpoints("pool", time.Now())) != n {
				return false
			}
		}
		return true
	})
	f.awaitPeers()
}

// recordedStreams returns how many resumed streams were bound by the record.
func recordedStreams() uint64 {
	return metrics.GetOrCreateCounter(`sardinedock_stream_resumptions_total{origin="recorded"}`).Get()
}

// Guards against streams that are refused after all instances were killed, although their service has had one release since
// long before, and against calls to the store that grow with time or resumptions.
func TestStreamsContinueAfterAllInstancesWereKilled(t *testing.T) {
	const instances, streams, wantedShare, maxWritesPerSecond = 3, 12, 0.95, 0.3
	began := time.Now()
	f := restartFixture(t, instances)
	type stream struct {
		path, id, read string
	}
	var begun []stream
	for k := range streams {
		path := fmt.Sprintf("/check/%d", k)
		id, read, hangUp := f.begin(k%instances, path)
		defer hangUp()
		begun = append(begun, stream{path, id, read})
	}
	writes := func() int { return f.store.Calls("PUT", kindReleases) + f.store.Calls("POST", kindReleases) }
	for until := began.Add(3 * recordInterval); writes() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("no record written within %v", 3*recordInterval)
		}
	}
	if n, took := writes(), time.Since(began); float64(n) > maxWritesPerSecond*took.Seconds()+1 {
		t.Errorf("%d writes of the record in %v", n, took)
	}
	if n := f.store.Calls("GET", kindReleases); n > 1 {
		t.Errorf("%d reads of the record in normal operation, want one by the first writer", n)
	}
	f.restart(2, func() {})
	reads, recorded, continued := f.store.Calls("GET", kindReleases), recordedStreams(), 0
	for k, s := range begun {
		if a := f.sendTo(k%instances, f.resumption(s.path, s.id)); a.goesOn(s.read) {
			continued++
		} else {
			t.Logf("stream %d: %+v", k, a)
		}
	}
	if float64(continued) < wantedShare*streams {
		t.Errorf("%d of %d streams continued", continued, streams)
	}
	if n := recordedStreams() - recorded; int(n) < continued {
		t.Errorf("%d streams continued by the record, want %d", n, continued)
	}
	// Each instance reads once, and a writer may have begun meanwhile.
	if n := f.store.Calls("GET", kindReleases) - reads; n > instances+1 {
		t.Errorf("%d reads of the record for %d streams at %d instances", n, streams, instances)
	}
}

// Guards against a stream that continues after a restart of all instances although another release may have begun it.
func TestStreamIsRefusedAfterARestartIfItsReleaseIsUncertain(t *testing.T) {
	entry := func(f *fixture, release string) map[string]any {
		e, err := platformtest.NewEndpoint("short-lived", holdUntilClosed)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(e.Close)
		entry := e.Entry("pool", "ready", map[string]int64{"m": 1})
		entry["version"] = release
		return entry
	}
	shortLived := func(release string) func(f *fixture) {
		return func(f *fixture) {
			f.store.Put("servers", "short-lived", entry(f, release))
			f.store.Remove("servers", "short-lived")
		}
	}
	for name, c := range map[string]struct {
		before, meanwhile, after func(f *fixture)
		status                   int
	}{
		"one release":                        {status: 200},
		"another endpoint of the release":    {meanwhile: shortLived("v1"), status: 200},
		"another release before the restart": {before: shortLived("v2"), status: 503},
		"another release meanwhile":          {meanwhile: shortLived("v2"), status: 503},
		"history gone":                       {meanwhile: func(f *fixture) { f.store.DropHistory() }, status: 503},
		"record lost":                        {meanwhile: func(f *fixture) { f.store.Remove(kindReleases, releasesName) }, status: 503},
		"record unreadable": {meanwhile: func(f *fixture) {
			f.store.Put(kindReleases, releasesName, map[string]any{"revision": "x"})
		}, status: 503},
		"one release since a moment ago": {meanwhile: func(f *fixture) {
			f.store.Put(kindReleases, releasesName, recordSince(time.Now().Add(-time.Second)))
		}, status: 503},
		"time in the future": {meanwhile: func(f *fixture) {
			f.store.Put(kindReleases, releasesName, recordSince(time.Now().Add(longAgo)))
		}, status: 503},
		"record of a store that was replaced": {meanwhile: func(f *fixture) {
			r := recordSince(time.Now().Add(-longAgo))
			r.Revision = 1 << 40
			f.store.Put(kindReleases, releasesName, r)
		}, status: 503},
		"store away": {after: func(f *fixture) { f.store.Refuse(503) }, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			call := func(fn func(*fixture), f *fixture) {
				if fn != nil {
					fn(f)
				}
			}
			f := restartFixture(t, 1)
			id, read, hangUp := f.begin(0, "/check/1")
			defer hangUp()
			call(c.before, f)
			f.restart(2, func() { call(c.meanwhile, f) })
			call(c.after, f)
			sent := time.Now()
			a := f.do(f.resumption("/check/1", id))
			if a.status != c.status || a.status == 200 && !a.goesOn(read) {
				t.Errorf("%+v after %v, want status %d", a, time.Since(sent), c.status)
			}
		})
	}
}

// Guards against calls to the store in a deployment in which no route's streams may be resumed.
func TestNothingIsRecordedWithoutResumableStreams(t *testing.T) {
	f := newFixture(t, 1)
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.serve(1, func(records map[string]any) {
		for _, r := range records["routes"].([]any) {
			r.(map[string]any)["resumable"] = false
		}
	})
	f.eventually("the watch begun", func() bool { return f.instances[0].recorder.span().To > 0 })
	f.instances[0].recorder.check(t.Context())
	if n := f.store.Calls("GET", kindReleases) + f.store.Calls("POST", kindReleases) + f.store.Calls("PUT", kindReleases); n > 0 {
		t.Errorf("%d calls, want none", n)
	}
}

// testRecorder is a writer whose watch and list of endpoints the test sets.
type testRecorder struct {
	*releaseRecorder
	covered directory.Span
	inUse   []string
}

func newTestRecorder(store *platformtest.Store) *testRecorder {
	r := &testRecorder{releaseRecorder: &releaseRecorder{store: platform.NewStore(store.Address())}, inUse: []string{"v1"}}
	r.isWriter = func() bool { return true }
	r.services = func() []string { return []string{"pool"} }
	r.listed = func(string) []string { return r.inUse }
	r.span = func() directory.Span { return r.covered }
	return r
}

// recorderFixture returns a store with a record of an earlier life, and two writers whose watches have followed since.
func recorderFixture(t *testing.T) (store *platformtest.Store, writers [2]*testRecorder, since int64) {
	t.Helper()
	store, err := platformtest.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	record := recordSince(time.Now().Add(-longAgo))
	store.Put(kindReleases, releasesName, record)
	for k := range writers {
		writers[k] = newTestRecorder(store)
		writers[k].covered = directory.Span{From: 1, To: 2}
	}
	return store, writers, record.WrittenMs
}

// stored returns the record in the store; empty if it can't be read.
func stored(t *testing.T, r *testRecorder) origin.Record {
	t.Helper()
	obj, err := r.store.Get(t.Context(), kindReleases, releasesName)
	if err != nil {
		return origin.Record{}
	}
	record, _ := origin.DecodeRecord(obj.Value)
	return record
}

// Guards against a time that is lost when another instance becomes the writer, and writes without a change.
func TestWriterContinuesTheRecord(t *testing.T) {
	store, writers, since := recorderFixture(t)
	w := writers[0]
	for range 3 {
		w.check(t.Context())
	}
	if r := stored(t, w); r.Revision != 2 || r.Services["pool"].SinceMs != since || store.Calls("PUT", kindReleases) != 1 {
		t.Errorf("%+v after %d writes", r, store.Calls("PUT", kindReleases))
	}
	w.covered.To = 5
	w.check(t.Context())
	if r := stored(t, w); r.Revision != 5 || r.Services["pool"].SinceMs != since {
		t.Errorf("%+v, want the newer revision and the same time", r)
	}
}

// Guards against a record in which a release that came and went between two writes is missing, however the writer learns of it.
func TestWriterRecordsReleasesBetweenWrites(t *testing.T) {
	entry := func(release string) map[string]any {
		return map[string]any{
			"service": "pool", "address": "10.0.0.1:1", "zone": "z", "version": release, "slots": 1, "state": "ready", "sequence": 1, "coldRemainingMs": 0,
		}
	}
	for name, c := range map[string]struct {
		act  func(store *platformtest.Store, w *testRecorder)
		kept bool
	}{
		"none":         {func(*platformtest.Store, *testRecorder) {}, true},
		"in use":       {func(_ *platformtest.Store, w *testRecorder) { w.inUse = []string{"v1", "v2"} }, false},
		"delivered":    {func(_ *platformtest.Store, w *testRecorder) { w.delivered.Add("pool", "v2", 3) }, false},
		"other's":      {func(_ *platformtest.Store, w *testRecorder) { w.delivered.Add("other", "v2", 3) }, true},
		"known before": {func(_ *platformtest.Store, w *testRecorder) { w.delivered.Add("pool", "v2", 1) }, true},
		"in a gap": {func(store *platformtest.Store, w *testRecorder) {
			store.Put("servers", "e", entry("v2"))
			store.Remove("servers", "e")
			w.covered = directory.Span{From: 3, To: 3}
		}, false},
		"same in a gap": {func(store *platformtest.Store, w *testRecorder) {
			store.Put("servers", "e", entry("v1"))
			store.Remove("servers", "e")
			w.covered = directory.Span{From: 3, To: 3}
		}, true},
		"gap without history": {func(store *platformtest.Store, w *testRecorder) {
			store.Put("servers", "e", entry("v1"))
			store.DropHistory()
			w.covered = directory.Span{From: 4, To: 4}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			store, writers, since := recorderFixture(t)
			w := writers[0]
			c.act(store, w)
			w.check(t.Context())
			if r := stored(t, w); r.Revision < 2 || (r.Services["pool"].SinceMs == since) != c.kept {
				t.Errorf("%+v, want the time kept: %v", r, c.kept)
			}
		})
	}
}

// Guards against two writers of which one overwrites what the other has recorded.
func TestOfTwoWritersOneIsRefused(t *testing.T) {
	store, writers, since := recorderFixture(t)
	a, b := writers[0], writers[1]
	a.check(t.Context())
	b.covered.To = 3
	b.check(t.Context())
	a.covered.To, a.inUse = 4, []string{"v2"}
	a.check(t.Context())
	if r := stored(t, a); r.Revision != 3 || r.Services["pool"].SinceMs != since {
		t.Errorf("%+v, want the record of the second writer", r)
	}
	a.check(t.Context())
	if r := stored(t, a); r.Revision != 4 || r.Services["pool"].SinceMs <= since || r.Services["pool"].Releases[0] != "v2" {
		t.Errorf("%+v after another check, want both merged", r)
	}
	// The second writer's watch is behind now: what it lists may be older than the record.
	for range 2 {
		b.check(t.Context())
	}
	if r := stored(t, b); r.Revision != 4 || r.Services["pool"].Releases[0] != "v2" || store.Calls("PUT", kindReleases) > 4 {
		t.Errorf("%+v after %d writes by a writer that is behind", r, store.Calls("PUT", kindReleases))
	}
}

// Guards against a writer that stops for good, or vouches for a time it does not know, after a fault of the store.
func TestWriterRecoversFromFaultsOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		act, end func(store *platformtest.Store)
		kept     bool
	}{
		"reply lost":     {act: func(s *platformtest.Store) { s.LoseWriteReplies(1) }, kept: true},
		"store away":     {act: func(s *platformtest.Store) { s.Refuse(503) }, end: func(s *platformtest.Store) { s.Refuse(0) }, kept: true},
		"object removed": {act: func(s *platformtest.Store) { s.Remove(kindReleases, releasesName) }},
		"object unreadable": {act: func(s *platformtest.Store) {
			s.Put(kindReleases, releasesName, []string{"x"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			store, writers, since := recorderFixture(t)
			w := writers[0]
			w.check(t.Context())
			c.act(store)
			for to := range 4 {
				if to == 2 && c.end != nil {
					c.end(store)
				}
				w.covered.To += 2
				w.check(t.Context())
			}
			r := stored(t, w)
			if r.Revision < uint64(w.covered.To)-2 || (r.Services["pool"].SinceMs == since) != c.kept {
				t.Errorf("%+v, want the time kept: %v", r, c.kept)
			}
		})
	}
}
