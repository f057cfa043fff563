package hosted

import (
	"math"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/endpoint"
)

const (
	// dialTimeout bounds the connection setup to an endpoint: several round trips and the
	// retransmission of one lost packet.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to an endpoint is kept, unless the endpoint states
	// less.
	idleTimeout = 8 * time.Second
	// idleConnectionsShare is the fraction, 1/idleConnectionsShare, of the connections that an endpoint
	// accepts from all instances together which these keep idle. The rest is for requests in progress.
	idleConnectionsShare = 2
)

// relays holds the connections to endpoints by address. It is safe for concurrent use.
type relays struct {
	// maxIdle returns how many idle connections are kept to an endpoint of a service.
	maxIdle func(service string) int
	// intake bounds the answers that are read whole; nil for the bound that all processes have.
	intake *bufferlimit.Intake
	// dialer replaces the dial of connections to endpoints, if set; tests use it to cut them.
	dialer endpoint.Dialer

	mu        sync.Mutex
	byAddress map[string]*endpoint.Relay
	// services are the services of the endpoints by address.
	services map[string]string
}

func newRelays(maxIdle func(service string) int, intake *bufferlimit.Intake) *relays {
	return &relays{maxIdle: maxIdle, intake: intake, byAddress: map[string]*endpoint.Relay{}, services: map[string]string{}}
}

// setService sets the service of the endpoint at an address.
func (r *relays) setService(address, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[address] = service
}

func (r *relays) serviceAt(address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.services[address]
}

// to returns the relay for an address and creates it if necessary.
func (r *relays) to(address string) *endpoint.Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	relay, ok := r.byAddress[address]
	if !ok {
		relay = endpoint.NewRelay(address, dialTimeout, idleTimeout)
		relay.SetDialer(r.dialer)
		relay.SetIntake(r.intake)
		relay.LimitIdle(func() int { return r.maxIdle(r.serviceAt(address)) })
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
	delete(r.services, address)
	if relay, ok := r.byAddress[address]; ok {
		relay.Close()
		delete(r.byAddress, address)
	}
}

// maxIdleConnections returns how many idle connections this instance keeps to an endpoint of a
// service. An endpoint resets the connections over what it accepts from all instances together, and a
// request that breaks with one may have run.
func (i *Instance) maxIdleConnections(service string) int {
	t := i.table.Load()
	if t == nil {
		return 1
	}
	s := t.Service(service)
	if s == nil || s.MaxConnections == 0 {
		return math.MaxInt
	}
	return max(1, s.MaxConnections/(idleConnectionsShare*i.node.Live()))
}

func (r *relays) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.byAddress {
		relay.Close()
	}
}
