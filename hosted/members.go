package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/rendezvous"
)

const (
	// kindInstances holds one object for each instance, by which they find each
	// other.
	kindInstances = "instances"
	// instancesEvery is the time between two reads of the instances by the whole
	// fleet; a new one is also seen by the watches.
	instancesEvery = 3 * time.Second
	// registerRetry is the pause after a failed registration, registerTimeout
	// the bound on one.
	registerRetry   = 300 * time.Millisecond
	registerTimeout = 3 * time.Second
)

// member is what an instance says of itself in the store.
type member struct {
	Gossip     string `json:"gossip"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of its network link; 0 where that is not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// register writes this instance's entry, once; it changes only with the address.
func (i *Instance) register(ctx context.Context) {
	value, err := json.Marshal(member{Gossip: i.settings.GetListen().GetGossip(), DataCentre: i.settings.GetDataCentre(), LinkMbps: i.settings.GetLinkMbps()})
	if err != nil {
		log.WithError(err).Error("encode the instance's entry")
		return
	}
	for ctx.Err() == nil {
		if err := i.putEntry(ctx, value); err == nil {
			return
		}
		_ = clock.Sleep(ctx, registerRetry)
	}
}

func (i *Instance) putEntry(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	name := i.settings.GetInstance()
	old, err := i.store.Get(ctx, kindInstances, name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	if err == nil && string(old.Value) == string(value) {
		return nil
	}
	_, err = i.store.Put(ctx, objectapi.Object{Kind: kindInstances, Name: name, Value: value}, old.Version)
	return err
}

// takeInstances replaces the peers that are told.
func (i *Instance) takeInstances(changes []objectapi.Object) {
	for _, obj := range changes {
		i.peers.take(obj, decodePeer)
	}
	peers := i.peers.all()
	i.node.SetPeers(peers)
	log.WithField("peers", len(peers)).Info("instances listed")
}

func decodePeer(obj objectapi.Object) (gossip.Peer, error) {
	var m member
	if err := json.Unmarshal(obj.Value, &m); err != nil {
		return gossip.Peer{}, fault.Wrap(err, fault.Broken, "look at the entry of the instance", "decode it")
	}
	address, err := netip.ParseAddrPort(m.Gossip)
	if err != nil {
		return gossip.Peer{}, fault.Wrap(err, fault.Broken, "look at the entry of the instance", "decode its address")
	}
	return gossip.Peer{Name: obj.Name, Address: address, DataCentre: m.DataCentre, LinkMbps: m.LinkMbps}, nil
}

// isCandidate reports whether this instance is among those that try for the lease: the
// first schedulers that reach the store, by a hash of the names that all agree on.
func (i *Instance) isCandidate() bool {
	return !i.leaving.Load() && i.isAmongFirst(leaseName, leaseCandidates)
}

// watches reports whether this instance watches a kind for all.
//
// Load: all instances start in the same moment, and each knows of no other yet. Harm
// prevented: each takes itself for the first and watches every kind, and each is told
// by the store of every other one that registers: 29 calls an instance.
func (i *Instance) watches(kind string) bool {
	return time.Since(i.placer.started) > settleTime && i.isAmongFirst(kind, watchers)
}

// settleTime is how long an instance that has started listens for others before it
// watches for them. What changes meanwhile is found by the first watch.
const settleTime = 400 * time.Millisecond

// isAmongFirst reports whether this instance is among the first n schedulers that reach
// the store.
func (i *Instance) isAmongFirst(what string, n int) bool {
	return i.node.IsScheduler() && i.rank(what) < n
}

// rank is how many of the schedulers that reach the store come before this instance, in
// an order by hash that all instances agree on.
func (i *Instance) rank(what string) int {
	return rendezvous.Rank(what, i.settings.GetInstance(), i.node.SchedulersWithStore())
}

// turnOf is this instance's place among those that read a kind in turn: schedulers that
// reach the store first, then all others, which read only while no scheduler can. One
// that hears of no scheduler reads by itself.
func (i *Instance) turnOf(kind string) int {
	schedulers := i.node.Schedulers()
	if i.node.IsScheduler() || len(schedulers) == 0 {
		return i.rank(kind)
	}
	return len(schedulers) + i.node.Position()
}
