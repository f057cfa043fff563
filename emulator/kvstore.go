package emulator

import (
	"sync"

	"github.com/sardinedock/sardinedock/prefix"
)

// kvLimit bounds the kept prefixes; the oldest goes first.
const kvLimit = 4096

// KVStore keeps exported KV cache. Any goroutine may use it.
type KVStore struct {
	mu    sync.Mutex
	kept  map[string]keptPrefix
	order []string
}

// keptPrefix is one exported prefix, with what it was computed under.
type keptPrefix struct {
	like   cachedBlock
	blocks []prefix.Hash
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore { return &KVStore{kept: map[string]keptPrefix{}} }

func (s *KVStore) put(handle string, p keptPrefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kept[handle]; !ok {
		s.order = append(s.order, handle)
	}
	s.kept[handle] = p
	if len(s.order) > kvLimit {
		delete(s.kept, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *KVStore) get(handle string) (keptPrefix, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.kept[handle]
	return p, ok
}

// Len returns how many prefixes are kept.
func (s *KVStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kept)
}
