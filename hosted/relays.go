package hosted

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
)

const (
	// dialTimeout bounds a connection to an endpoint: several round trips, and
	// one lost packet that is sent again.
	dialTimeout = 400 * time.Millisecond
	// keepIdle is how long an idle connection to an endpoint is kept, unless the
	// endpoint states less.
	keepIdle = 8 * time.Second
)

// relays holds the connections to endpoints by address. Any goroutine may use it.
type relays struct {
	mu   sync.Mutex
	byAt map[string]*endpoint.Relay
}

func newRelays() *relays { return &relays{byAt: map[string]*endpoint.Relay{}} }

// to returns the relay to an address.
func (r *relays) to(address string) *endpoint.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	relay, ok := r.byAt[address]
	if !ok {
		relay = endpoint.NewRelay(address, dialTimeout, keepIdle)
		r.byAt[address] = relay
	}
	return relay
}

// drop closes the idle connections to an address. Kept after the endpoint there has
// ended, the next request that is sent over one breaks, and one that must not run
// twice can't be sent again.
func (r *relays) drop(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay, ok := r.byAt[address]; ok {
		relay.Close()
		delete(r.byAt, address)
	}
}

func (r *relays) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.byAt {
		relay.Close()
	}
}
