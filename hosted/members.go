package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/objectapi"
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
	// lostAfter is after how long without a message an instance's entry is removed, and
	// lostEvery how often that is looked for.
	lostAfter = 10 * time.Minute
	lostEvery = time.Minute
)

// member is what an instance says of itself in the store.
type member struct {
	Gossip     string `json:"gossip"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of its network link; 0 where that is not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// join registers this instance, follows who else is there, and registers again where its
// entry was removed.
//
// Load: all machines of a fleet are started for the first time, within 0.3 s. Harm
// prevented: each reads the list while hardly anybody is on it, takes itself for one of
// a few and watches every kind, and is told by the store of each of the others: 29 calls
// an instance. One that was registered before finds the others listed.
func (i *Instance) join(ctx context.Context) {
	created := i.register(ctx)
	if created {
		_ = clock.Sleep(ctx, joinTime)
	}
	go i.followers[kindInstances].Run(ctx)
	if created {
		_ = clock.Sleep(ctx, settleTime-joinTime)
	}
	i.settled.Store(true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.unlisted:
			i.register(ctx)
		}
	}
}

// register writes this instance's entry, once; it changes only with the address. It
// reports whether there was none before.
func (i *Instance) register(ctx context.Context) (created bool) {
	value, err := json.Marshal(member{Gossip: i.settings.GetListen().GetGossip(), DataCentre: i.settings.GetDataCentre(), LinkMbps: i.settings.GetLinkMbps()})
	if err != nil {
		log.WithError(err).Error("encode the instance's entry")
		return false
	}
	for ctx.Err() == nil {
		if created, err := i.putEntry(ctx, value); err == nil {
			return created
		}
		_ = clock.Sleep(ctx, registerRetry)
	}
	return false
}

func (i *Instance) putEntry(ctx context.Context, value []byte) (created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	name := i.settings.GetInstance()
	// Most instances that start are new, or have their entry; so it is created first.
	_, err = i.store.Put(ctx, objectapi.Object{Kind: kindInstances, Name: name, Value: value}, 0)
	if !fault.Is(err, fault.Conflict) {
		return true, err
	}
	old, err := i.store.Get(ctx, kindInstances, name)
	if err != nil || string(old.Value) == string(value) {
		return false, err
	}
	_, err = i.store.Put(ctx, objectapi.Object{Kind: kindInstances, Name: name, Value: value}, old.Version)
	return false, err
}

// removeLost removes the entries of instances that are gone for good, while this instance
// holds the lease.
//
// Failure: instances are replaced under new names, day after day. Each entry that stays
// holds back its part of every quota, and what all instances know of the fleet grows.
func (i *Instance) removeLost(ctx context.Context) {
	for clock.Sleep(ctx, lostEvery) == nil {
		if _, held := i.lease.Held(); !held {
			continue
		}
		for _, name := range i.node.Lost(time.Now(), lostAfter) {
			err := i.removeEntry(ctx, name)
			log.WithField("lost", name).WithField("removed", err == nil).Info("instance lost for good")
		}
	}
}

func (i *Instance) removeEntry(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	entry, err := i.store.Get(ctx, kindInstances, name)
	if err != nil {
		return err
	}
	return i.store.Delete(ctx, kindInstances, name, entry.Version)
}

// takeInstances replaces the peers that messages are sent to. An instance whose own entry
// was removed, since it was out of reach for long, registers again.
func (i *Instance) takeInstances(changes []directory.Change) {
	for _, c := range changes {
		i.peers.take(c.Object, decodePeer)
		if c.Deleted && c.Name == i.settings.GetInstance() && !i.leaving.Load() {
			select {
			case i.unlisted <- struct{}{}:
			default:
				// It is asked for already.
			}
		}
	}
	before, peers := i.listedPeers, i.peers.all()
	i.listedPeers = len(peers)
	i.node.SetPeers(peers)
	if len(peers) > before {
		i.repeatRates()
	}
	i.quotas.SetReach(time.Now(), i.reach())
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
	return i.settled.Load() && !i.leaving.Load() && i.isAmongFirst(leaseName, leaseCandidates)
}

// watches reports whether this instance watches a kind for all.
func (i *Instance) watches(kind string) bool {
	return i.settled.Load() && i.isAmongFirst(kind, watchers)
}

const (
	// joinTime is how long after it has registered for the first time an instance reads
	// who else is there: machines that are started together are so within 0.3 s.
	joinTime = 350 * time.Millisecond
	// settleTime is how long after it has registered for the first time an instance
	// watches for others too. What changes meanwhile is found by the first watch.
	settleTime = 800 * time.Millisecond
)

// isAmongFirst reports whether this instance is among the first n schedulers that reach
// the store.
func (i *Instance) isAmongFirst(what string, n int) bool {
	s := i.standing()
	return s.Scheduler && s.Rank(what) < n
}

// standing is what this instance knows of those that read and watch the store for all.
func (i *Instance) standing() directory.FleetView {
	return directory.FleetView{
		Self: i.settings.GetInstance(), Scheduler: i.node.IsScheduler(),
		Schedulers: i.node.Schedulers(), Reaching: i.node.SchedulersWithStore(), Reaches: i.node.ReachesStore(), Position: i.node.Position(),
	}
}
