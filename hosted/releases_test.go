package hosted

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// putRecord writes a record at a revision of the store, of the pool with the release v1 since some time ago.
func putRecord(s *platformtest.Store, revision uint64, ago time.Duration) (sinceMs int64) {
	at := time.Now().Add(-ago).UnixMilli()
	s.Put(kindReleases, releasesName, origin.Record{Revision: revision, WrittenMs: at, Services: map[string]origin.RecordedReleases{
		"pool": {Releases: []string{"v1"}, SinceMs: at},
	}})
	return at
}

// shortLived lists an endpoint of a release for a moment.
func shortLived(s *platformtest.Store, release string) {
	s.Put("servers", "short-lived", map[string]any{
		"service": "pool", "address": "10.0.0.1:1", "zone": "z", "version": release, "slots": 1, "state": "ready", "sequence": 1, "coldRemainingMs": 0,
	})
	s.Remove("servers", "short-lived")
}

// longStreams lets streams last for so long that no instance knows by its own experience which releases there were.
func longStreams(records map[string]any) {
	for _, r := range records["routes"].([]any) {
		r.(map[string]any)["timeoutMs"] = 60_000
	}
}

// restartFixture starts instances before two endpoints of release v1, in whose store an earlier life has left a record.
func restartFixture(t *testing.T, instances int) *fixture {
	f := newFixture(t, 0)
	putRecord(f.store, 1, time.Hour)
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.releaseEndpoint("v1-1", "v1", holdUntilClosed)
	for k := range instances {
		f.start(fmt.Sprintf("instance-%d", k))
	}
	f.serve(2, longStreams)
	f.awaitPeers()
	return f
}

// restart is restartInstances of a restartFixture.
func (f *fixture) restart(meanwhile func()) {
	f.restartInstances(meanwhile)
	f.serve(2, longStreams)
	f.awaitPeers()
}

// restartInstances kills all instances, calls meanwhile and starts as many again.
func (f *fixture) restartInstances(meanwhile func()) {
	killed := f.instances
	for _, i := range killed {
		i.Kill()
	}
	meanwhile()
	f.instances, f.callers, f.ready = nil, nil, nil
	for k := range killed {
		f.start(fmt.Sprintf("instance-%d", k))
	}
}

// Guards against streams that are refused after all instances were killed, although their service has had one release since
// long before, and against calls to the store that grow with time or resumptions.
func TestStreamsContinueAfterAllInstancesWereKilled(t *testing.T) {
	const instances, streams, wantedShare, maxWritesPerSecond = 3, 12, 0.95, 0.3
	began := time.Now()
	f := restartFixture(t, instances)
	var ids, read [streams]string
	for k := range streams {
		var hangUp func()
		ids[k], read[k], hangUp = f.begin(k%instances, fmt.Sprintf("/check/%d", k))
		defer hangUp()
	}
	writes := func() int { return f.store.Calls("PUT", kindReleases) + f.store.Calls("POST", kindReleases) }
	for time.Since(began) < 3*recordInterval && writes() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	reads := f.store.Calls("GET", kindReleases)
	if n := writes(); n == 0 || float64(n) > 1+maxWritesPerSecond*time.Since(began).Seconds() || reads > 1 {
		t.Errorf("%d writes and %d reads of the record in %v, want one read by its first writer", n, reads, time.Since(began))
	}
	f.restart(func() {})
	continued := 0
	for k := range streams {
		if a := f.sendTo(k%instances, f.resumption(fmt.Sprintf("/check/%d", k), ids[k])); a.goesOn(read[k]) {
			continued++
		}
	}
	// Each instance reads once, and a writer may have begun meanwhile.
	if n := f.store.Calls("GET", kindReleases) - reads; float64(continued) < wantedShare*streams || n > instances+1 {
		t.Errorf("%d of %d streams continued, %d reads of the record", continued, streams, n)
	}
}

// Guards against a stream that continues after a restart of all instances although another release may have begun it.
func TestStreamIsRefusedAfterARestartIfItsReleaseIsUncertain(t *testing.T) {
	nothing := func(*platformtest.Store) {}
	for name, c := range map[string]struct {
		before, meanwhile, after func(*platformtest.Store)
		status                   int
	}{
		"one release":                {nothing, func(s *platformtest.Store) { shortLived(s, "v1") }, nothing, 200},
		"another release before":     {func(s *platformtest.Store) { shortLived(s, "v2") }, nothing, nothing, 503},
		"another release meanwhile":  {nothing, func(s *platformtest.Store) { shortLived(s, "v2") }, nothing, 503},
		"history gone":               {nothing, (*platformtest.Store).DropHistory, nothing, 503},
		"record lost":                {nothing, func(s *platformtest.Store) { s.Remove(kindReleases, releasesName) }, nothing, 503},
		"record unreadable":          {nothing, func(s *platformtest.Store) { s.Put(kindReleases, releasesName, []string{"x"}) }, nothing, 503},
		"one release for a moment":   {nothing, func(s *platformtest.Store) { putRecord(s, 1, time.Second) }, nothing, 503},
		"clock of the writer jumped": {nothing, func(s *platformtest.Store) { putRecord(s, 1, -time.Hour) }, nothing, 503},
		"store replaced":             {nothing, func(s *platformtest.Store) { putRecord(s, 1<<40, time.Hour) }, nothing, 503},
		"store away":                 {nothing, nothing, func(s *platformtest.Store) { s.Refuse(503) }, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f := restartFixture(t, 1)
			id, read, hangUp := f.begin(0, "/check/1")
			defer hangUp()
			c.before(f.store)
			f.restart(func() { c.meanwhile(f.store) })
			c.after(f.store)
			if a := f.do(f.resumption("/check/1", id)); a.status != c.status || a.status == 200 && !a.goesOn(read) {
				t.Errorf("%+v, want status %d", a, c.status)
			}
		})
	}
}

// Guards against an instance that continues a stream by what it has read before the stream came back, and against calls for
// each stream.
func TestRecordReaderReadsChangesAfterEachReturn(t *testing.T) {
	const streams = 20
	store, w, _ := newTestRecorder(t)
	r := &recordReader{ctx: t.Context(), store: w.store}
	certain := func() string { return r.certain(t.Context(), "pool", []string{"v1"}, time.Minute) }
	began := time.Now()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			if got := certain(); got != "v1" {
				t.Errorf("%q, want v1", got)
			}
		})
	}
	wg.Wait()
	if n := store.Calls("GET", "servers"); n > 2+int(time.Since(began)/listReadInterval) {
		t.Errorf("%d reads of changes for %d streams in %v", n, streams, time.Since(began))
	}
	shortLived(store, "v2")
	if got := certain(); got != "" || store.Calls("GET", kindReleases) != 1 {
		t.Errorf("%q after another release, want none", got)
	}
}

// newTestRecorder returns a store with a record of an hour, and a writer whose watch has delivered the revisions 1 to 2.
func newTestRecorder(t *testing.T) (*platformtest.Store, *releaseRecorder, int64) {
	store, err := platformtest.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	since := putRecord(store, 1, time.Hour)
	return store, &releaseRecorder{
		store: platform.NewStore(store.Address()), isWriter: func() bool { return true }, services: func() []string { return []string{"pool"} },
		listed: func(string) []string { return []string{"v1"} }, span: func() directory.Span { return directory.Span{From: 1, To: 2} },
	}, since
}

// Guards against a record in which a release that came and went between two writes is missing, one that loses its time for
// nothing, a writer that overwrites what another has recorded or stops for good after a fault, and needless calls.
func TestWriterOfTheRecord(t *testing.T) {
	gap := func(r *releaseRecorder) {
		r.span = func() directory.Span { return directory.Span{From: 3, To: 3} }
	}
	for name, c := range map[string]struct {
		act  func(s *platformtest.Store, r *releaseRecorder)
		kept bool
		// revision, writes and reads of the record are those after three checks.
		revision      uint64
		writes, reads int
	}{
		"nothing new": {func(*platformtest.Store, *releaseRecorder) {}, true, 2, 1, 1},
		"listed": {func(_ *platformtest.Store, r *releaseRecorder) {
			r.listed = func(string) []string { return []string{"v2"} }
		}, false, 2, 1, 1},
		"delivered":          {func(_ *platformtest.Store, r *releaseRecorder) { r.delivered.Add("pool", "v2", 2) }, false, 2, 1, 1},
		"delivered before":   {func(_ *platformtest.Store, r *releaseRecorder) { r.delivered.Add("pool", "v2", 1) }, true, 2, 1, 1},
		"in a gap":           {func(s *platformtest.Store, r *releaseRecorder) { shortLived(s, "v2"); gap(r) }, false, 3, 1, 1},
		"same in a gap":      {func(s *platformtest.Store, r *releaseRecorder) { shortLived(s, "v1"); gap(r) }, true, 3, 1, 1},
		"gap, no history":    {func(s *platformtest.Store, r *releaseRecorder) { shortLived(s, "v1"); s.DropHistory(); gap(r) }, false, 3, 1, 1},
		"reply lost":         {func(s *platformtest.Store, _ *releaseRecorder) { s.LoseWriteReplies(1) }, true, 2, 1, 2},
		"object lost":        {func(s *platformtest.Store, _ *releaseRecorder) { s.Remove(kindReleases, releasesName) }, false, 2, 1, 1},
		"unreadable":         {func(s *platformtest.Store, _ *releaseRecorder) { s.Put(kindReleases, releasesName, []string{"x"}) }, false, 2, 1, 1},
		"store away":         {func(s *platformtest.Store, _ *releaseRecorder) { s.Refuse(503) }, true, 1, 0, 3},
		"another is ahead":   {func(s *platformtest.Store, r *releaseRecorder) { r.load(t.Context()); putRecord(s, 9, time.Minute) }, false, 9, 1, 2},
		"nothing resumable":  {func(_ *platformtest.Store, r *releaseRecorder) { r.services = func() []string { return nil } }, true, 1, 0, 0},
		"another one writes": {func(_ *platformtest.Store, r *releaseRecorder) { r.isWriter = func() bool { return false } }, true, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store, r, since := newTestRecorder(t)
			c.act(store, r)
			for range 3 {
				r.check(t.Context())
			}
			store.Refuse(0)
			writes, reads := store.Calls("PUT", kindReleases)+store.Calls("POST", kindReleases), store.Calls("GET", kindReleases)
			obj, _ := r.store.Get(t.Context(), kindReleases, releasesName)
			got, err := origin.DecodeRecord(obj.Value)
			if err != nil || got.Revision != c.revision || (got.Services["pool"].SinceMs == since) != c.kept || writes != c.writes || reads != c.reads {
				t.Errorf("%+v, %v after %d writes and %d reads", got, err, writes, reads)
			}
		})
	}
}
