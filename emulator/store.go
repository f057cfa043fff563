package emulator

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/objectapi"
)

// headerInstance names the calling instance, so that faults can be injected for single callers.
const headerInstance = "X-Instance"

const (
	defaultHistory   = 4096
	defaultHeartbeat = time.Second
)

// StoreConfig configures the emulated object API.
type StoreConfig struct {
	// ReadsPerSecond and WritesPerSecond are the rates above which calls get status 429; 0 sets no
	// limit. Opening a watch counts as a read.
	ReadsPerSecond, WritesPerSecond float64
	// History is the number of past changes that a watch can start from; 0 means 4096.
	History int
	// Heartbeat is the interval between a watch's empty lines; 0 means one second.
	Heartbeat time.Duration
	// ListLag is the delay after which a change of the instance list becomes visible.
	ListLag time.Duration
	// Pace scales all durations.
	Pace Pace
	// Seed seeds the faults that occur with a probability.
	Seed int64
}

// Store emulates the platform's object API.
type Store struct {
	cfg      StoreConfig
	listener *listener
	done     chan struct{}

	mu      sync.Mutex
	version objectapi.Version
	objects map[objectKey]objectapi.Object
	history []objectapi.Object
	// compacted is the newest version that has been dropped from the history. A watch cannot start
	// from an older one.
	compacted objectapi.Version
	changed   chan struct{}
	lists     []instanceList
	counts    StoreCounts
	reads     bucket
	writes    bucket
	faults    storeFaults
}

type objectKey struct{ kind, name string }

// instanceList is the list of instances from a point in time on.
type instanceList struct {
	from    time.Time
	entries []objectapi.InstanceEntry
}

// StoreCounts counts the calls to the object API.
type StoreCounts struct {
	// Reads include opened watches.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches is the number of watches that are open now.
	Watches int `json:"watches"`
	// RateLimited, Refused and Lost calls are included in Reads and Writes.
	RateLimited int `json:"rate_limited"`
	Refused     int `json:"refused"`
	Lost        int `json:"lost"`
}

// StartStore listens on addr and serves until Close.
func StartStore(addr string) (*Store, error) { return StartStoreWith(addr, StoreConfig{}) }

// StartStoreWith is StartStore with a configuration.
func StartStoreWith(addr string, cfg StoreConfig) (*Store, error) {
	if cfg.History == 0 {
		cfg.History = defaultHistory
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	s := &Store{
		cfg:     cfg,
		done:    make(chan struct{}),
		objects: map[objectKey]objectapi.Object{},
		changed: make(chan struct{}),
		reads:   newBucket(cfg.ReadsPerSecond),
		writes:  newBucket(cfg.WritesPerSecond),
		faults:  newStoreFaults(cfg.Seed),
	}
	listener, err := listenHTTP(addr, 0, s.handle)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Store) Addr() string { return s.listener.addr }

// Close stops the store and closes its connections.
func (s *Store) Close() error {
	s.mu.Lock()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.mu.Unlock()
	s.listener.close()
	return nil
}

// Calls returns the numbers of reads and writes received.
func (s *Store) Calls() (reads, writes int) {
	c := s.Counts()
	return c.Reads, c.Writes
}

// Counts returns the call counters.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Set stores a value without a condition, as an operator's tool would.
func (s *Store) Set(kind, name string, value []byte) objectapi.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(objectapi.Object{Kind: kind, Name: name, Value: value})
}

// Object returns a stored object directly, without faults and counting.
func (s *Store) Object(kind, name string) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[objectKey{kind, name}]
	return obj, ok
}

// SetInstances replaces the list of instances. Readers see the new one after ListLag.
func (s *Store) SetInstances(entries []objectapi.InstanceEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, instanceList{time.Now(), append([]objectapi.InstanceEntry(nil), entries...)})
}

func (s *Store) instances() []objectapi.InstanceEntry {
	asOf := time.Now().Add(-s.cfg.Pace.Scale(s.cfg.ListLag))
	for len(s.lists) > 1 && !s.lists[1].from.After(asOf) {
		s.lists = s.lists[1:]
	}
	if len(s.lists) == 0 || s.lists[0].from.After(asOf) {
		return []objectapi.InstanceEntry{}
	}
	return s.lists[0].entries
}

func (s *Store) put(obj objectapi.Object) objectapi.Version {
	s.version++
	obj.Version = s.version
	s.objects[objectKey{obj.Kind, obj.Name}] = obj
	s.record(obj)
	return obj.Version
}

func (s *Store) remove(key objectKey) {
	s.version++
	delete(s.objects, key)
	s.record(objectapi.Object{Kind: key.kind, Name: key.name, Version: s.version, Deleted: true})
}

// record appends a change to the history and wakes the watches.
func (s *Store) record(obj objectapi.Object) {
	s.history = append(s.history, obj)
	if over := len(s.history) - s.cfg.History; over > 0 {
		s.compacted = s.history[over-1].Version
		s.history = s.history[over:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handle serves one HTTP request.
func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.URI().PathOriginal()), "/"), "/")
	if parts[0] == "control" {
		s.control(ctx, parts[1:])
		return
	}
	write := ctx.IsPut() || ctx.IsDelete()
	if !s.admit(ctx, write) {
		return
	}
	s.route(ctx, parts)
	if write && ctx.Response.StatusCode() == fasthttp.StatusOK {
		s.loseReply(ctx)
	}
}

func (s *Store) route(ctx *fasthttp.RequestCtx, parts []string) {
	for i, p := range parts {
		if text, err := url.PathUnescape(p); err == nil {
			parts[i] = text
		}
	}
	switch {
	case len(parts) == 1 && parts[0] == "instances":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.instances())
	case len(parts) == 2 && parts[0] == "watch":
		s.watch(ctx, parts[1])
	case len(parts) == 2 && parts[0] == "objects":
		s.list(ctx, parts[1])
	case len(parts) == 3 && parts[0] == "objects":
		s.object(ctx, objectKey{parts[1], parts[2]})
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Store) list(ctx *fasthttp.RequestCtx, kind string) {
	s.mu.Lock()
	listing := objectapi.Listing{Version: s.version, Objects: []objectapi.Object{}}
	for key, obj := range s.objects {
		if key.kind == kind {
			listing.Objects = append(listing.Objects, obj)
		}
	}
	s.mu.Unlock()
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Name < listing.Objects[j].Name })
	writeJSON(ctx, listing)
}

func (s *Store) object(ctx *fasthttp.RequestCtx, key objectKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if ctx.IsPut() || ctx.IsDelete() {
		s.change(ctx, key, obj.Version)
		return
	}
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, obj)
}

func (s *Store) change(ctx *fasthttp.RequestCtx, key objectKey, current objectapi.Version) {
	expected, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("expected")), 10, 64)
	if err != nil {
		ctx.Error("expected is not a version", fasthttp.StatusBadRequest)
		return
	}
	var obj objectapi.Object
	if ctx.IsPut() {
		if err := json.Unmarshal(ctx.PostBody(), &obj); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	if len(obj.Value) > objectapi.MaxValueBytes {
		ctx.Error("value over the limit", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if ctx.IsDelete() && current == 0 {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	if current != objectapi.Version(expected) {
		ctx.Error("version changed", fasthttp.StatusConflict)
		return
	}
	obj.Kind, obj.Name, obj.Deleted = key.kind, key.name, false
	if ctx.IsDelete() {
		s.remove(key)
		obj.Version = s.version
	} else {
		obj.Version = s.put(obj)
	}
	writeJSON(ctx, obj)
}
