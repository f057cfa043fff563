package hosted

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
)

const (
	// dialTimeout bounds the connection setup to an endpoint: several round trips and the
	// retransmission of one lost packet.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to an endpoint is kept, unless the endpoint states
	// less.
	idleTimeout = 8 * time.Second
)

// relays holds the connections to endpoints by address. It is safe for concurrent use.
type relays struct {
	mu        sync.Mutex
	byAddress map[string]*endpoint.Relay
}

func newRelays() *relays { return &relays{byAddress: map[string]*endpoint.Relay{}} }

// to returns the relay for an address and creates it if necessary.
func (r *relays) to(address string) *endpoint.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	relay, ok := r.byAddress[address]
	if !ok {
		relay = endpoint.NewRelay(address, dialTimeout, idleTimeout)
		r.byAddress[address] = relay
	}
	return relay
}

// drop closes the idle connections to an address. If they were kept after the endpoint there has
// ended, the next request sent on one would break, and one that must not run twice could not be
// retried.
func (r *relays) drop(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay, ok := r.byAddress[address]; ok {
		relay.Close()
		delete(r.byAddress, address)
	}
}

func (r *relays) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.byAddress {
		relay.Close()
	}
}
