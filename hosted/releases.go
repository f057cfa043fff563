package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/platform"
)

const (
	// kindReleases and releasesName are the kind and the name of the object that holds the origin.Record.
	kindReleases = "releases"
	releasesName = "endpoints"
	// recordInterval is the time between two writes of the record: 0.2 writes a second. The record stays valid between
	// two of them, since its readers get the changes after its revision from the store's history.
	recordInterval = 5 * time.Second
	// maxLagChecks is after how many checks a record whose revision this instance's watch has not reached is treated as one
	// of a store that was replaced. An idle watch reports its progress every 25 s.
	maxLagChecks = 12
	// recordWait bounds how long a resumed stream waits for the record, and recordRetry is the time between two reads while
	// the store does not answer.
	recordWait  = 300 * time.Millisecond
	recordRetry = 2 * time.Second
	// maxLoggedServices bounds the services in one log line.
	maxLoggedServices = 5
)

func recordWrites(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_release_record_writes_total{outcome="` + outcome + `"}`)
}

func recordReads(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_release_record_reads_total{outcome="` + outcome + `"}`)
}

// releaseRecorder writes the record of releases while this instance is the first of those that watch the endpoints, so
// that it needs no watch of its own. It runs in one goroutine; Delivered and view are safe for concurrent use.
type releaseRecorder struct {
	store *platform.Store
	// isWriter reports whether this instance writes the record.
	isWriter func() bool
	// services returns the services with streams that may be resumed; listed the releases of a service's endpoints in use.
	services func() []string
	listed   func(service string) []string
	span     func() directory.Span

	delivered origin.Delivered
	// lags counts the checks in which the watch was behind the record's revision.
	lags int
	// checkedAt is when clock was read last.
	checkedAt time.Time
	clock     origin.Clock

	mu sync.Mutex
	// loaded is set while record and version are those of the stored object, as far as known here.
	loaded  bool
	version objectapi.Version
	record  origin.Record
}

// addDelivered records a change of an endpoint's entry that the watch has delivered. Entries that can't be decoded are
// used by no instance.
func (r *releaseRecorder) addDelivered(obj objectapi.Object) {
	if e, err := platform.Endpoint(obj); err == nil {
		r.delivered.Add(e.Service, e.Release, uint64(obj.Version))
	}
}

// run writes the record until ctx ends.
func (r *releaseRecorder) run(ctx context.Context) {
	for clock.Sleep(ctx, recordInterval) == nil {
		r.check(ctx)
	}
}

// check writes the record if this instance is the writer and the record has changed.
func (r *releaseRecorder) check(ctx context.Context) {
	services := r.services()
	if len(services) == 0 || !r.isWriter() {
		r.unload()
		return
	}
	// The span comes first: all changes up to its end are in what is read after it.
	span := r.span()
	if span.To == 0 || !r.loaded && !r.load(ctx) {
		return
	}
	o := origin.Observation{Revision: uint64(span.To), Whole: true, Listed: map[string][]string{}}
	record := r.record
	if uint64(span.To) < record.Revision {
		if r.lags++; r.lags < maxLagChecks {
			return
		}
		log.WithField("revision", record.Revision).WithField("watched", uint64(span.To)).Warn("the store is behind the record of releases: begun anew")
		record = origin.Record{WrittenMs: record.WrittenMs}
	}
	r.lags = 0
	if !r.observe(ctx, record.Revision, span, &o) {
		return
	}
	for _, service := range services {
		o.Listed[service] = r.listed(service)
	}
	now, stepped := time.Now(), false
	// Without Round, the time of the wall clock would be compared by the monotonic one.
	o.Now, stepped = r.clock.Advance(now.Round(0), now.Sub(r.checkedAt))
	r.checkedAt = now
	if stepped {
		log.Warn("clock set forward: the times since when services have one release start anew")
		o.Whole = false
	}
	if next := record.Next(o); !next.Same(r.record) {
		r.write(ctx, next)
	}
}

// observe sets what the watch has delivered since the record's revision. What it has not delivered, after a watch broke or
// another instance wrote the record, is read from the store's history. It returns false if the store does not answer.
func (r *releaseRecorder) observe(ctx context.Context, since uint64, span directory.Span, o *origin.Observation) bool {
	if since >= uint64(span.From) {
		o.Delivered, o.Whole = r.delivered.Since(since)
		return true
	}
	if since == 0 {
		o.Whole = false
		return true
	}
	changes, err := readChanges(ctx, r.store, since)
	switch {
	case fault.Is(err, fault.Expired):
		o.Whole = false
	case err != nil || changes.asOf < uint64(span.To):
		recordWrites("failed").Inc()
		return false
	}
	o.Delivered = changes.releases
	return true
}

// load reads the stored object, and reports whether the store answered. An object that is missing or unreadable is written
// anew.
func (r *releaseRecorder) load(ctx context.Context) bool {
	obj, err := r.store.Get(ctx, kindReleases, releasesName)
	if err != nil && !fault.Is(err, fault.NotFound) {
		recordWrites("failed").Inc()
		return false
	}
	record := origin.Record{}
	if err == nil {
		if record, err = origin.DecodeRecord(obj.Value); err != nil {
			log.WithError(err).Error("record of releases is unreadable: begun anew")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.version, r.record = true, obj.Version, record
	log.WithField("revision", record.Revision).WithField("services", len(record.Services)).Info("this instance records the releases of services")
	return true
}

// unload makes the next check read the stored object again.
func (r *releaseRecorder) unload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.lags = false, 0
}

func (r *releaseRecorder) write(ctx context.Context, next origin.Record) {
	value, err := next.Encode()
	if err == nil {
		var version objectapi.Version
		if version, err = r.store.Put(ctx, objectapi.Object{Kind: kindReleases, Name: releasesName, Value: value}, r.version); err == nil {
			recordWrites("written").Inc()
			r.logChanged(next)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.version, r.record = version, next
			return
		}
	}
	// Another instance has written it, it was removed, or the reply was lost: the next check reads it.
	outcome := "failed"
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		outcome = "conflict"
	}
	recordWrites(outcome).Inc()
	log.WithError(err).Warn("record of releases not written")
	r.unload()
}

// logChanged logs the services whose releases differ from those of the record before.
func (r *releaseRecorder) logChanged(next origin.Record) {
	if next.SameReleases(r.record) {
		return
	}
	changed := map[string][]string{}
	count := 0
	for _, service := range slices.Sorted(maps.Keys(next.Services)) {
		s := next.Services[service]
		if old, known := r.record.Services[service]; known && old.SinceMs == s.SinceMs && slices.Equal(old.Releases, s.Releases) {
			continue
		}
		if count++; count <= maxLoggedServices {
			changed[service] = s.Releases
		}
	}
	log.WithFields(log.Fields{"revision": next.Revision, "releases": changed, "services": count}).Info("releases recorded")
}

// endpointChanges are the releases in the changes of the endpoints' list up to a revision.
type endpointChanges struct {
	releases map[string][]string
	asOf     uint64
}

// readChanges reads the changes of the endpoints' list since a revision. The error has kind fault.Expired if the store's
// history does not reach back to it.
func readChanges(ctx context.Context, store *platform.Store, since uint64) (endpointChanges, error) {
	d, asOf, err := readDelivered(ctx, store, since)
	if err != nil {
		return endpointChanges{}, err
	}
	releases, ok := d.Since(since)
	if !ok {
		return endpointChanges{}, fault.New(fault.Expired, "none: nothing is certain for the life of a stream", "too many releases since revision %d", since)
	}
	return endpointChanges{releases, asOf}, nil
}

// readDelivered reads the changes of the endpoints' list after a revision, and the revision up to which there are no others.
func readDelivered(ctx context.Context, store *platform.Store, since uint64) (*origin.Delivered, uint64, error) {
	list, asOf, err := store.Changes(ctx, platform.KindEndpoints, objectapi.Version(since))
	if err != nil {
		return nil, 0, err
	}
	d := &origin.Delivered{}
	for _, obj := range list {
		if e, err := platform.Endpoint(obj); err == nil {
			d.Add(e.Service, e.Release, uint64(obj.Version))
		}
	}
	return d, uint64(asOf), nil
}

// recordReader reads the record of releases for an instance that was restarted with all others: once, and the changes since
// again for streams that come back later.
type recordReader struct {
	ctx   context.Context
	store *platform.Store

	mu sync.Mutex
	// pending is closed at the end of the read in progress; nil if there is none.
	pending chan struct{}
	// done is set once the store has answered; outcome is that of the last read, which began at readAt. The last one that
	// failed ended at failedAt.
	done             bool
	outcome          string
	readAt, failedAt time.Time
	record           origin.Record
	changes          endpointChanges
}

// certain returns the release that began every stream of a service which has lasted for at most the given life, by the
// record and the changes since; empty if that is not certain, or not known within recordWait. known are the releases that
// this instance knows.
func (r *recordReader) certain(ctx context.Context, service string, known []string, life time.Duration) string {
	if !r.await(ctx, time.Now()) {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Certain(time.Now(), service, r.changes.releases[service], known, life)
}

// isCurrent reports whether what was read can be used for a stream that came back at the given time. Without a record
// nothing is certain, and nothing is read again. The caller must hold r.mu.
func (r *recordReader) isCurrent(resumed time.Time) bool {
	return r.done && (r.record.Revision == 0 || !r.readAt.Before(resumed))
}

// await reads what is missing, and reports whether all is there. A read in progress may have begun before the stream came
// back, so that another one is needed after it.
func (r *recordReader) await(ctx context.Context, resumed time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	for {
		r.mu.Lock()
		if current := r.isCurrent(resumed); current || !r.failedAt.IsZero() && time.Since(r.failedAt) < recordRetry || ctx.Err() != nil {
			defer r.mu.Unlock()
			return current
		}
		if r.pending == nil {
			r.pending = make(chan struct{})
			go r.read(max(0, listReadInterval-time.Since(r.readAt)))
		}
		pending := r.pending
		r.mu.Unlock()
		select {
		case <-pending:
		case <-ctx.Done():
		}
	}
}

// read waits for d and reads the record, unless that was done, and the changes since the last read. Each call to the store
// has its own timeout.
func (r *recordReader) read(d time.Duration) {
	_ = clock.Sleep(r.ctx, d)
	began := time.Now()
	r.mu.Lock()
	record, changes := r.record, r.changes
	r.mu.Unlock()
	record, changes, err := readRecord(r.ctx, r.store, record, changes)
	outcome := readOutcome(err)
	recordReads(outcome).Inc()
	line := log.WithFields(log.Fields{
		"outcome": outcome, "revision": record.Revision, "as_of": changes.asOf, "services": len(record.Services), "ms": time.Since(began).Milliseconds(),
	})
	if err != nil {
		line = line.WithField("why", err.Error())
	}
	line.Info("record of releases read, for a stream that no instance knows")
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == readFailed {
		r.failedAt = time.Now()
	} else {
		r.done, r.readAt, r.record, r.changes = true, began, record, changes
	}
	r.outcome = outcome
	close(r.pending)
	r.pending = nil
}

// readFailed is the outcome of a read that the store did not answer.
const readFailed = "failed"

// readOutcome classifies the error of a read. After any other outcome than readFailed, reading the object again would bring
// nothing new: it is written anew with the current time.
func readOutcome(err error) string {
	switch {
	case err == nil:
		return "read"
	case fault.Is(err, fault.NotFound):
		return "missing"
	case fault.Is(err, fault.Invalid):
		return "unreadable"
	case fault.Is(err, fault.Expired):
		return "history gone"
	}
	return readFailed
}

// readRecord reads the record, unless an earlier read has brought one, and adds the changes since its revision or since the
// earlier read. On an error the record is empty.
func readRecord(ctx context.Context, store *platform.Store, record origin.Record, before endpointChanges) (origin.Record, endpointChanges, error) {
	if record.Revision == 0 {
		obj, err := store.Get(ctx, kindReleases, releasesName)
		if err != nil {
			return origin.Record{}, endpointChanges{}, err
		}
		if record, err = origin.DecodeRecord(obj.Value); err != nil {
			return origin.Record{}, endpointChanges{}, err
		}
		before.asOf = record.Revision
	}
	changes, err := readChanges(ctx, store, before.asOf)
	if err == nil && changes.asOf < before.asOf {
		err = fault.New(fault.Invalid, "none: it is written anew", "releases are known up to revision %d, the store is at %d", before.asOf, changes.asOf)
	}
	if err != nil {
		return origin.Record{}, endpointChanges{}, err
	}
	for service, releases := range before.releases {
		all := slices.Concat(changes.releases[service], releases)
		slices.Sort(all)
		changes.releases[service] = slices.Compact(all)
	}
	return record, changes, nil
}

// releasesView is the part of the state dump about the record of releases.
type releasesView struct {
	// Writer reports whether this instance writes the record; Record is the one that it wrote or loaded last, or the one that
	// it read for a stream.
	Writer bool           `json:"writer"`
	Record *origin.Record `json:"record,omitempty"`
	// Read is the outcome of the last read for a stream that no instance knew; empty if there was none.
	Read string `json:"read"`
}

func viewReleases(w *releaseRecorder, r *recordReader) releasesView {
	r.mu.Lock()
	v := releasesView{Read: r.outcome}
	if r.done {
		record := r.record
		v.Record = &record
	}
	r.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded {
		record := w.record
		v.Writer, v.Record = true, &record
	}
	return v
}
