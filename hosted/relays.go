package hosted

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/balance"
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

// keep closes idle connections to addresses that are not listed any more.
func (r *relays) keep(list []balance.Endpoint) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Address] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, relay := range r.byAt {
		if !listed[address] {
			relay.Close()
			delete(r.byAt, address)
		}
	}
}

func (r *relays) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.byAt {
		relay.Close()
	}
}
