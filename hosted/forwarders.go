package hosted

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/gossip"
)

const (
	// forwarderAvoidance is how long an instance to which no connection could be made gets no forwarded
	// requests.
	forwarderAvoidance = time.Second
	// minLocalForwarders is how many instances of the own data centre have to be available for requests to
	// be forwarded within it only. A single one would have to serve all of them beside its own.
	minLocalForwarders = 2
)

// forwarders chooses the instances to which requests are forwarded. It is safe for concurrent use.
type forwarders struct {
	dataCentre string

	mu sync.Mutex
	// open counts the requests that this instance has forwarded, by instance.
	open map[string]int
	// avoidUntil is until when an instance gets none.
	avoidUntil map[string]time.Time
}

func newForwarders(dataCentre string) *forwarders {
	return &forwarders{dataCentre: dataCentre, open: map[string]int{}, avoidUntil: map[string]time.Time{}}
}

// choose returns one of the candidates, and counts a request there: of two drawn at random, that with fewer
// requests of this instance. Those of the own data centre come first.
func (f *forwarders) choose(now time.Time, candidates []gossip.Peer, tried []string) (gossip.Peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(p gossip.Peer) bool {
		return slices.Contains(tried, p.Name) || now.Before(f.avoidUntil[p.Name])
	})
	local := slices.DeleteFunc(slices.Clone(candidates), func(p gossip.Peer) bool { return p.DataCentre != f.dataCentre })
	if len(local) >= minLocalForwarders {
		candidates = local
	}
	if len(candidates) == 0 {
		return gossip.Peer{}, false
	}
	best := candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; f.open[other.Name] < f.open[best.Name] {
		best = other
	}
	f.open[best.Name]++
	return best, true
}

func (f *forwarders) ended(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[name]--; f.open[name] <= 0 {
		delete(f.open, name)
	}
}

func (f *forwarders) failed(now time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, until := range f.avoidUntil {
		if now.After(until) {
			delete(f.avoidUntil, n)
		}
	}
	f.avoidUntil[name] = now.Add(forwarderAvoidance)
}

// Forwarder implements gateway.Peers.
func (i *Instance) Forwarder(service string, tried []string) (gateway.Forwarder, bool) {
	p, ok := i.forwarders.choose(time.Now(), i.node.Forwarders(service), tried)
	return gateway.Forwarder{Name: p.Name, Address: p.Address.String()}, ok
}

// ForwardEnded implements gateway.Peers.
func (i *Instance) ForwardEnded(name string) { i.forwarders.ended(name) }

// ForwarderFailed implements gateway.Peers.
func (i *Instance) ForwarderFailed(name string) { i.forwarders.failed(time.Now(), name) }

// IsInstance implements gateway.Peers.
func (i *Instance) IsInstance(ip netip.Addr) bool { return i.node.IsInstance(ip) }
