package endpoint

import (
	"sync"
	"time"
)

// maxClients bounds the number of cached clients. A fleet has some hundreds of endpoints; the
// clients of replaced ones stay in the cache.
const maxClients = 4096

// Clients caches one client per address, so that requests share its idle connections. It is safe
// for concurrent use.
type Clients struct {
	dialTimeout, readTimeout time.Duration

	mu       sync.Mutex
	engines  map[string]*Client
	services map[string]*Service
}

// NewClients returns an empty cache. The time-outs apply to each client.
func NewClients(dialTimeout, readTimeout time.Duration) *Clients {
	return &Clients{
		dialTimeout: dialTimeout,
		readTimeout: readTimeout,
		engines:     map[string]*Client{},
		services:    map[string]*Service{},
	}
}

// Engine returns the client of the engine at addr.
func (c *Clients) Engine(addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[addr]; ok {
		return e
	}
	e := NewClient(addr, c.dialTimeout, c.readTimeout)
	if len(c.engines) >= maxClients {
		return e
	}
	c.engines[addr] = e
	return e
}

// Service returns the client of the plain service at addr.
func (c *Clients) Service(addr string) *Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[addr]; ok {
		return s
	}
	s := NewService(addr, c.dialTimeout)
	if len(c.services) >= maxClients {
		return s
	}
	c.services[addr] = s
	return s
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
}
