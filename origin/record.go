package origin

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
)

const (
	// ClockTolerance bounds how much the clocks of two instances may differ: the one that recorded a release and the one
	// that continues a stream by the record.
	ClockTolerance = 6 * time.Second
	// maxRecordedServices bounds the services in a record. 256 with 8 releases of up to 256 bytes are at most 0.6 MB, below
	// objectapi.MaxValueBytes.
	maxRecordedServices = 256
	// maxRecordedReleases bounds the releases of one service in a record. More than one are information for operators only.
	maxRecordedReleases = 8
	// maxReleaseBytes bounds the length of a recorded release. A service with a longer one is not recorded.
	maxReleaseBytes = 256
	// earliestRecord is the earliest plausible time in a record, in Unix ms (2024-01-01). A machine whose clock has not been
	// set yet starts in 1970, and a record with that time would vouch for decades.
	earliestRecord = 1704067200000
	// maxDelivered bounds the releases of all services that Delivered holds.
	maxDelivered = 4096
)

// Record states which releases the endpoints of services have had, over the lives of all instances. It is kept in the
// platform's store and encoded as JSON.
type Record struct {
	// Revision is the store's revision up to which the record takes every change of the list of endpoints into account.
	Revision uint64 `json:"revision"`
	// WrittenMs is when the record was written, in Unix ms. It never decreases from one record to the next.
	WrittenMs int64 `json:"written_ms"`
	// Services are the services with streams that may be resumed, by name.
	Services map[string]RecordedReleases `json:"services"`
}

// RecordedReleases is the part of a Record about one service.
type RecordedReleases struct {
	// Releases are those that any endpoint has had since SinceMs, sorted.
	Releases []string `json:"releases"`
	// SinceMs is in Unix ms.
	SinceMs int64 `json:"since_ms"`
}

// DecodeRecord decodes a record. One that is not plausible is an error, and nothing is certain by it.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, badRecord("%v", err)
	}
	if r.Revision == 0 || r.WrittenMs < earliestRecord || len(r.Services) > maxRecordedServices {
		return Record{}, badRecord("revision %d, written at %d ms, %d services", r.Revision, r.WrittenMs, len(r.Services))
	}
	for service, s := range r.Services {
		if s.SinceMs < earliestRecord || s.SinceMs > r.WrittenMs || len(s.Releases) > maxRecordedReleases {
			return Record{}, badRecord("service %q: %d releases since %d ms", service, len(s.Releases), s.SinceMs)
		}
	}
	return r, nil
}

func badRecord(format string, args ...any) error {
	return fault.New(fault.Invalid, "remove the object; it is written anew", "record of releases: "+format, args...)
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, fault.Wrap(err, fault.Internal, "report it", "encode the record of releases")
}

// Observation is what an instance knows of the list of endpoints when it writes the next record.
type Observation struct {
	// Now is later than the time at which Listed was read.
	Now time.Time
	// Revision is the one up to which every change of the list was delivered before Listed was read.
	Revision uint64
	// Whole is set if Delivered has all changes after the previous record's revision, up to Revision.
	Whole bool
	// Listed are the releases of the endpoints in use now, by service, and Delivered those in the changes. Listed has a key
	// for each service to record.
	Listed, Delivered map[string][]string
}

// Next returns the record that follows r.
//
// A service's time restarts when it has, or had meanwhile, another release, and when that is not known. It never
// precedes the previous record's, so that a clock that was set back shortens no time.
func (r Record) Next(o Observation) Record {
	written := max(o.Now.UnixMilli(), r.WrittenMs)
	next := Record{Revision: max(o.Revision, r.Revision), WrittenMs: written, Services: map[string]RecordedReleases{}}
	for _, service := range slices.Sorted(maps.Keys(o.Listed)) {
		if len(next.Services) >= maxRecordedServices {
			break
		}
		listed := union(o.Listed[service])
		had := union(listed, o.Delivered[service])
		if slices.ContainsFunc(had, func(release string) bool { return len(release) > maxReleaseBytes }) {
			continue
		}
		prev, known := r.Services[service]
		if known && o.Whole && (len(had) == 0 || slices.Equal(truncate(had), prev.Releases)) {
			next.Services[service] = prev
			continue
		}
		if len(listed) == 0 {
			listed = union(had, prev.Releases)
		}
		next.Services[service] = RecordedReleases{Releases: truncate(listed), SinceMs: written}
	}
	return next
}

// Same reports whether two records differ at most in the time at which they were written.
func (r Record) Same(other Record) bool { return r.Revision == other.Revision && r.SameReleases(other) }

// SameReleases reports whether two records state the same about all services.
func (r Record) SameReleases(other Record) bool {
	return maps.EqualFunc(r.Services, other.Services, func(a, b RecordedReleases) bool {
		return a.SinceMs == b.SinceMs && slices.Equal(a.Releases, b.Releases)
	})
}

// Certain returns the release that began every stream of a service which has lasted for at most the given life; empty
// if that is not certain. delivered are the releases in all changes of the list of endpoints since the record's
// revision, listed those of the endpoints that are listed now.
func (r Record) Certain(now time.Time, service string, delivered, listed []string, life time.Duration) string {
	s, known := r.Services[service]
	if !known || len(s.Releases) != 1 || s.Releases[0] == "" || len(listed) == 0 {
		return ""
	}
	only := s.Releases[0]
	if !slices.Equal(union(delivered, listed), []string{only}) {
		return ""
	}
	if life < 0 || s.SinceMs < earliestRecord || now.Sub(time.UnixMilli(s.SinceMs)) <= life+ClockTolerance {
		return ""
	}
	return only
}

// Clock gives a writer the times of its records while the wall clock may be set. Its zero value is ready to use.
type Clock struct{ last time.Time }

// Advance returns the time by the wall clock, when a monotonic one has advanced by elapsed since the call before. It never
// falls behind the monotonic clock: a wall clock that was set back would make a release seem older than it is. stepped is
// set if the wall clock was set forward, so that times recorded before may be too early.
func (c *Clock) Advance(wall time.Time, elapsed time.Duration) (now time.Time, stepped bool) {
	now = wall
	if expected := c.last.Add(elapsed); !c.last.IsZero() {
		stepped = wall.Sub(expected) > ClockTolerance
		if wall.Before(expected) {
			now = expected
		}
	}
	c.last = now
	return now, stepped
}

// union returns the elements of all lists, sorted, each once.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

func truncate(releases []string) []string { return releases[:min(len(releases), maxRecordedReleases)] }

// Delivered collects the releases of endpoints in the changes that a watch delivers, including those of endpoints that
// came and went between two records. It is safe for concurrent use.
type Delivered struct {
	mu sync.Mutex
	// newest is the newest revision of a change with a release, by service and release.
	newest map[delivered]uint64
	// complete is the revision after which no change was dropped for lack of room.
	complete uint64
}

type delivered struct{ service, release string }

// Add records a change of an endpoint's entry at a revision.
func (d *Delivered) Add(service, release string, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := delivered{service, release}
	if _, known := d.newest[k]; !known && len(d.newest) >= maxDelivered {
		for _, at := range d.newest {
			d.complete = max(d.complete, at)
		}
		d.newest = nil
	}
	if d.newest == nil {
		d.newest = map[delivered]uint64{}
	}
	d.newest[k] = max(d.newest[k], revision)
}

// Since returns the releases in the changes after a revision, by service; ok is false if some were dropped.
func (d *Delivered) Since(revision uint64) (releases map[string][]string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	releases = map[string][]string{}
	for k, at := range d.newest {
		if at > revision {
			releases[k.service] = append(releases[k.service], k.release)
		}
	}
	return releases, revision >= d.complete
}
