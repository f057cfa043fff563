package balance

import (
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
)

// CachedPart is a part that an endpoint or a store holds.
type CachedPart struct {
	Key    prefix.PartKey
	Tokens int64
}

// CacheNews is what an endpoint says of its cache of one model, or a store of its
// parts.
type CacheNews struct {
	// Holder is the endpoint's ID or the store's address.
	Holder string
	Model  string
	// Whole says that Added is all there is.
	Whole   bool
	Added   []CachedPart
	Removed []prefix.PartKey
}

// Cached takes in what an endpoint or a store says of its cache. It goes before
// what was inferred from requests.
func (s *State) Cached(n CacheNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.cacheFor(n)
	if cache == nil {
		return
	}
	if e := s.endpoints[n.Holder]; e != nil && n.Whole {
		e.told = true
	}
	for _, key := range n.Removed {
		cache.remove(key)
	}
	// The part used last comes first, and has to be in front at the end.
	for i := len(n.Added) - 1; i >= 0; i-- {
		cache.set(n.Added[i].Key, n.Added[i].Tokens)
	}
}

// Warm reports whether all endpoints of a service have told what they hold, since
// this instance has started.
func (s *State) Warm(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byService[service] {
		if !e.told && !e.Draining {
			return false
		}
	}
	return true
}

func (s *State) cacheFor(n CacheNews) *partCache {
	if k := s.kept[n.Holder]; k != nil {
		if n.Whole {
			k.parts = newPartCache(k.CacheTokens)
		}
		return k.parts
	}
	e := s.endpoints[n.Holder]
	if e == nil {
		return nil
	}
	cache := e.cacheOf(n.Model, max(e.Versions[n.Model], e.cacheVersion(n.Model)))
	if n.Whole {
		keep := newPartCache(e.capacity)
		for _, el := range cache.parts {
			// What is being read is not yet in the endpoint's word.
			if p := el.Value.(*cachedPart); !p.read {
				keep.use(p.key, p.tokens)
			}
		}
		e.caches[n.Model].parts = keep
		return keep
	}
	return cache
}

func (e *endpoint) cacheVersion(model string) int64 {
	if c := e.caches[model]; c != nil {
		return c.version
	}
	return 0
}

// CachedParts returns the parts that an endpoint's cache of a model, or a store, is
// known to hold.
func (s *State) CachedParts(holder, model string) []CachedPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.kept[holder]; k != nil {
		return k.parts.held()
	}
	if e := s.endpoints[holder]; e != nil && e.caches[model] != nil {
		return e.caches[model].parts.held()
	}
	return nil
}

// keptStore is what is known of a store of cached parts.
type keptStore struct {
	KeptStore
	parts *partCache
}

// score ranks the stores for a part: the one with the highest keeps it.
func (k *keptStore) score(key prefix.PartKey) uint64 {
	return xxh3.HashSeed([]byte(k.Address), uint64(key))
}

// SetKept replaces the list of stores that keep cached parts.
func (s *State) SetKept(list []KeptStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*keptStore{}
	for _, k := range list {
		known, ok := s.kept[k.Address]
		if !ok {
			known = &keptStore{parts: newPartCache(k.CacheTokens)}
		}
		known.KeptStore = k
		next[k.Address] = known
	}
	s.kept = next
}
