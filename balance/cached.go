package balance

import (
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
)

// CachedPart is a part cached by an endpoint or a cache store.
type CachedPart struct {
	Key    prefix.PartKey
	Tokens int64
}

// CacheNews is a report of an endpoint on its cache of one model, or of a cache store on its
// parts.
type CacheNews struct {
	// Holder is the endpoint's ID or the store's address.
	Holder string
	Model  string
	// Whole reports whether Added is the complete contents, and not a difference.
	Whole   bool
	Added   []CachedPart
	Removed []prefix.PartKey
}

// UpdateCache applies a cache report of an endpoint or a store. Reports take precedence over
// what was inferred from requests.
func (s *State) UpdateCache(n CacheNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.cacheFor(n)
	if cache == nil {
		return
	}
	if e := s.endpoints[n.Holder]; e != nil && n.Whole {
		e.cacheReported = true
	}
	for _, key := range n.Removed {
		cache.remove(key)
	}
	// Added starts with the most recently used part, which has to end up at the front.
	for i := len(n.Added) - 1; i >= 0; i-- {
		cache.set(n.Added[i].Key, n.Added[i].Tokens)
	}
}

// Warm reports whether every endpoint of a service that is not draining has reported its
// complete cache since this instance started.
func (s *State) Warm(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byService[service] {
		if !e.cacheReported && s.accepts(e) {
			return false
		}
	}
	return true
}

func (s *State) cacheFor(n CacheNews) *partCache {
	if k := s.stores[n.Holder]; k != nil {
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
			// Parts that are being read are not in the endpoint's report yet.
			if p := el.Value.(*cachedPart); !p.read {
				keep.touch(p.key, p.tokens)
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

// CachedParts returns the parts that are known to be cached by an endpoint for a model, or
// by a store.
func (s *State) CachedParts(holder, model string) []CachedPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.stores[holder]; k != nil {
		return k.parts.cached()
	}
	if e := s.endpoints[holder]; e != nil && e.caches[model] != nil {
		return e.caches[model].parts.cached()
	}
	return nil
}

// cacheStore is the state of one store of cached parts.
type cacheStore struct {
	CacheStore
	parts *partCache
}

// score ranks the stores for a part; the one with the highest score keeps it.
func (k *cacheStore) score(key prefix.PartKey) uint64 {
	return xxh3.HashSeed([]byte(k.Address), uint64(key))
}

// SetCacheStores replaces the list of cache stores. The contents known of stores that stay
// in the list are retained.
func (s *State) SetCacheStores(list []CacheStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*cacheStore{}
	for _, k := range list {
		known, ok := s.stores[k.Address]
		if !ok {
			known = &cacheStore{parts: newPartCache(k.CacheTokens)}
		}
		known.CacheStore = k
		next[k.Address] = known
	}
	s.stores = next
}
