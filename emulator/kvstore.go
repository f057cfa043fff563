package emulator

import (
	"sync"

	"github.com/sardinedock/sardinedock/prefix"
)

// maxPrefixes bounds the stored prefixes; the oldest is dropped first.
const maxPrefixes = 4096

// KVStore stores exported KV cache by handle. It is safe for concurrent use.
type KVStore struct {
	mu       sync.Mutex
	prefixes map[string]storedPrefix
	order    []string
}

// storedPrefix is one exported prefix with the salt, model and version that it was computed under.
type storedPrefix struct {
	origin cachedBlock
	blocks []prefix.Hash
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore { return &KVStore{prefixes: map[string]storedPrefix{}} }

func (s *KVStore) put(handle string, p storedPrefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.prefixes[handle]; !ok {
		s.order = append(s.order, handle)
	}
	s.prefixes[handle] = p
	if len(s.order) > maxPrefixes {
		delete(s.prefixes, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *KVStore) get(handle string) (storedPrefix, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.prefixes[handle]
	return p, ok
}

// Len returns the number of stored prefixes.
func (s *KVStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.prefixes)
}
