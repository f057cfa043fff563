// Package origin knows which release of the endpoints' software began each stream that may be resumed, and which
// releases a service has had. It does no I/O and takes the time as an argument.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/xxh3"
)

const (
	// maxStreams bounds the streams that are known. 5,000 a second that may be resumed for 15 s are 75,000.
	maxStreams = 1 << 17
	// maxLife bounds for how long a stream is known, and a release after its last endpoint was listed: as long as
	// a caller may come back for a stream.
	maxLife = 2 * time.Minute
	// maxReleases bounds the releases that are known of a service.
	maxReleases = 64
)

var droppedStreams = metrics.GetOrCreateCounter("sardinedock_streams_dropped_total")

// Key identifies a stream: a hash of the organisation and the ID of the request that brought its first event. 0 is no
// stream.
type Key uint64

// KeyOf returns the key of the stream that a request of an organisation began; 0 if requestID is empty.
func KeyOf(organisation, requestID string) Key {
	if requestID == "" {
		return 0
	}
	return Key(max(1, xxh3.HashString(organisation+"\x00"+requestID)))
}

// stream is what is known of one stream.
type stream struct {
	release string
	until   time.Time
}

// Book keeps streams and releases. It is safe for concurrent use; its methods do not block.
type Book struct {
	mu      sync.Mutex
	streams map[Key]stream
	// seen is when an endpoint of a release was last known to be listed, by service and release. Those that are
	// listed now need not be up to date.
	seen map[string]map[string]time.Time
	// followed is since when the list of endpoints is followed; zero before.
	followed time.Time
	// first is set if no stream has begun before this instance started.
	first bool
}

// NewBook returns a Book that knows nothing.
func NewBook() *Book {
	return &Book{streams: map[Key]stream{}, seen: map[string]map[string]time.Time{}}
}

// NoEarlierStreams states that no stream has begun before this instance started.
func (b *Book) NoEarlierStreams() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first = true
}

// Began records which release wrote the first event of a stream that may be resumed for the given time. The first
// report counts: a later one is of another request with the same ID, or of the stream's resumption.
func (b *Book) Began(now time.Time, k Key, release string, life time.Duration) {
	if k == 0 || release == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, known := b.streams[k]; known && now.Before(s.until) {
		return
	}
	if len(b.streams) >= maxStreams {
		droppedStreams.Inc()
		return
	}
	b.streams[k] = stream{release, now.Add(min(life, maxLife))}
}

// Release returns the release that began a stream; empty if it is unknown.
func (b *Book) Release(now time.Time, k Key) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.streams[k]; ok && now.Before(s.until) {
		return s.release
	}
	return ""
}

// Follow records that the list of endpoints is known from now on.
func (b *Book) Follow(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.followed.IsZero() {
		b.followed = now
	}
}

// Seen records that an endpoint of a release is listed, or was until now.
func (b *Book) Seen(now time.Time, service, release string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	releases := b.seen[service]
	if releases == nil {
		releases = map[string]time.Time{}
		b.seen[service] = releases
	}
	if _, known := releases[release]; known || len(releases) < maxReleases {
		releases[release] = now
	}
}

// Releases is what an instance knows of the releases that may have begun a service's streams.
type Releases struct {
	// Only is the one release that the service has had for as long as a stream lasts; empty if there were several,
	// or if that is not known.
	Only string
	// Several is set if there were several.
	Several bool
}

// Known returns all releases that a service is known to have or to have had lately, each once; listed are those of its
// endpoints that are listed now.
func (b *Book) Known(service string, listed []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return union(listed, slices.Collect(maps.Keys(b.seen[service])))
}

// Releases returns what is known of the releases that may have begun a stream of a service which has lasted for at
// most the given life. listed are those of its endpoints that are listed now.
func (b *Book) Releases(now time.Time, service string, listed []string, life time.Duration) Releases {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Clone(listed)
	for release, at := range b.seen[service] {
		if now.Sub(at) < life {
			all = append(all, release)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	switch {
	case len(all) > 1:
		return Releases{Several: true}
	case len(all) == 0 || b.followed.IsZero() || !b.first && now.Sub(b.followed) < life:
		return Releases{}
	}
	return Releases{Only: all[0]}
}

// Sweep removes what has expired.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, s := range b.streams {
		if !now.Before(s.until) {
			delete(b.streams, k)
		}
	}
	for service, releases := range b.seen {
		for release, at := range releases {
			if now.Sub(at) >= maxLife {
				delete(releases, release)
			}
		}
		if len(releases) == 0 {
			delete(b.seen, service)
		}
	}
}

// Streams returns the number of streams that are known.
func (b *Book) Streams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.streams)
}

// Answer is what one instance, this one or another, knows of a stream and its service.
type Answer struct {
	// Instance is the name of the one that answered; empty for this one.
	Instance string
	// Release that began the stream; empty if it is unknown.
	Release string
	Releases
	// Revision is the store's up to which Releases takes every change of the list of endpoints into account; 0 if that is
	// not known.
	Revision uint64
}

// Result is how the release was found, or why it was not.
type Result int

// The results.
const (
	// Unknown: several releases may have begun the stream.
	Unknown Result = iota
	// Known: an instance knows the stream.
	Known
	// OnlyRelease: the service has had one release only.
	OnlyRelease
	// Recorded: the same by the record in the platform's store, since no instance has run for long enough to know it.
	Recorded
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"unknown", "known", "only release", "recorded"}[r]
}

// Uninformed reports whether no instance knows anything of a stream, nor of the releases that may have begun it.
func Uninformed(answers []Answer) bool {
	return !slices.ContainsFunc(answers, func(a Answer) bool { return a.Release != "" || a.Only != "" || a.Several })
}

// NewestRevision returns the newest revision of the store up to which an instance that states an only release knows the list
// of endpoints; 0 if there is none.
func NewestRevision(answers []Answer) uint64 {
	newest := uint64(0)
	for _, a := range answers {
		if a.Only != "" {
			newest = max(newest, a.Revision)
		}
	}
	return newest
}

// Decide returns the release that a stream may go on at, by what several instances know; empty if it must not. from is
// the instance that knew, empty for this one.
//
// Streams that break together in a crash come back at all instances within a second, some of which have just started.
func Decide(answers []Answer) (release string, result Result, from string) {
	for _, a := range answers {
		if a.Release != "" {
			return a.Release, Known, a.Instance
		}
	}
	only := ""
	for _, a := range answers {
		if a.Several || a.Only != "" && only != "" && a.Only != only {
			return "", Unknown, ""
		}
		if a.Only != "" && only == "" {
			only, from = a.Only, a.Instance
		}
	}
	if only == "" {
		return "", Unknown, ""
	}
	return only, OnlyRelease, from
}
