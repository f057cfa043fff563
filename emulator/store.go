package emulator

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/platform"
)

// Store is the object API's stand-in.
type Store struct {
	srv *fasthttp.Server
	ln  net.Listener

	mu      sync.Mutex
	version platform.Version
	objects map[objectKey]platform.Object
	reads   int
	writes  int
}

type objectKey struct{ kind, name string }

// StartStore listens on addr and serves until Close.
func StartStore(addr string) (*Store, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, objects: map[objectKey]platform.Object{}}
	s.srv = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// Close stops the store.
func (s *Store) Close() error { return s.ln.Close() }

// Calls returns how many reads and writes were asked for.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Set stores a value without a condition, as an operator's tool would.
func (s *Store) Set(kind, name string, value []byte) platform.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(platform.Object{Kind: kind, Name: name, Value: value})
}

func (s *Store) put(obj platform.Object) platform.Version {
	s.version++
	obj.Version = s.version
	s.objects[objectKey{obj.Kind, obj.Name}] = obj
	return obj.Version
}

// handle serves /objects/KIND and /objects/KIND/NAME.
func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if len(parts) < 2 || len(parts) > 3 || parts[0] != "objects" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) == 2 {
		s.list(ctx, parts[1])
		return
	}
	key := objectKey{parts[1], parts[2]}
	if ctx.IsPut() {
		s.conditionalPut(ctx, key)
		return
	}
	s.reads++
	obj, ok := s.objects[key]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, obj)
}

func (s *Store) list(ctx *fasthttp.RequestCtx, kind string) {
	s.reads++
	listing := platform.Listing{Version: s.version, Objects: []platform.Object{}}
	for key, obj := range s.objects {
		if key.kind == kind {
			listing.Objects = append(listing.Objects, obj)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Name < listing.Objects[j].Name })
	writeJSON(ctx, listing)
}

func (s *Store) conditionalPut(ctx *fasthttp.RequestCtx, key objectKey) {
	s.writes++
	expected, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("expected")), 10, 64)
	if err != nil {
		ctx.Error("expected is not a version", fasthttp.StatusBadRequest)
		return
	}
	var obj platform.Object
	if err := json.Unmarshal(ctx.PostBody(), &obj); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	current := s.objects[key]
	if uint64(current.Version) != expected {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	obj.Kind, obj.Name = key.kind, key.name
	obj.Version = s.put(obj)
	writeJSON(ctx, obj)
}
