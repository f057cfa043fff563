package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// kindInstances is the kind of the objects, one for each instance, by which instances discover
	// each other.
	kindInstances = "instances"
	// instancesReadInterval is the time between two reads of the instances by the whole fleet; a
	// new one is also reported by the watches.
	instancesReadInterval = 3 * time.Second
	// registerRetry is the delay after a failed registration, registerTimeout the timeout of one.
	registerRetry   = 300 * time.Millisecond
	registerTimeout = 3 * time.Second
	// lostAfter is the time without a message after which an instance's entry is removed, and
	// lostCheckInterval the time between two checks for such instances.
	lostAfter         = 10 * time.Minute
	lostCheckInterval = time.Minute
)

// member is an instance's entry in the store.
type member struct {
	Gossip     string `json:"gossip"`
	DataCentre string `json:"data_centre"`
	// LinkMbps is the bandwidth of its network link; 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// join registers this instance, follows the list of instances, and registers again when its entry
// was removed.
//
// A newly created instance delays reading the list and watching for others. When all machines of a
// fleet start for the first time, within 0.3 s, each would otherwise read a nearly empty list,
// consider itself one of a few, watch every kind, and be notified by the store of each of the
// others: 29 calls an instance. An instance that was registered before finds the others listed.
//
// It has then also run before: settings that still state the first start are those of a process that has ended.
func (i *Instance) join(ctx context.Context) {
	created := i.register(ctx)
	if created && i.settings.GetFirstStart() {
		i.origins.book.NoEarlierStreams()
	}
	if created {
		_ = clock.Sleep(ctx, joinDelay)
	}
	go i.followers[kindInstances].Run(ctx)
	if created {
		_ = clock.Sleep(ctx, settleDelay-joinDelay)
	}
	i.settled.Store(true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.reregister:
			i.register(ctx)
		}
	}
}

// register writes this instance's entry, which changes only with its settings. It retries until it
// succeeds or ctx is done, and reports whether there was no entry before.
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
	// Most instances that start are new or have an unchanged entry, so creation is tried first.
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

// removeLost removes the entries of instances that have been unreachable for lostAfter, while this
// instance holds the lease.
//
// Without it, when instances are replaced under new names day after day, each remaining entry would
// reserve its share of every quota, and the fleet state at every instance would grow.
func (i *Instance) removeLost(ctx context.Context) {
	for clock.Sleep(ctx, lostCheckInterval) == nil {
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

// applyInstances replaces the peers to which messages are sent. An instance whose own entry was
// removed, after it had been unreachable for long, registers again.
func (i *Instance) applyInstances(changes []directory.Change) {
	for _, c := range changes {
		i.peers.apply(c.Object, decodePeer)
		if c.Deleted && c.Name == i.settings.GetInstance() && !i.leaving.Load() {
			select {
			case i.reregister <- struct{}{}:
			default:
				// Registration is already requested.
			}
		}
	}
	before, peers := i.listedPeers, i.peers.all()
	i.listedPeers = len(peers)
	i.node.SetPeers(peers)
	i.divideRetries()
	if len(peers) > before {
		i.repeatStatements()
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

// isCandidate reports whether this instance is among those that try to acquire the lease: the first
// schedulers with access to the store and a path to all pools, ranked by a hash on which all instances
// agree.
func (i *Instance) isCandidate() bool {
	if !i.settled.Load() || i.leaving.Load() || i.isUnfit() {
		return false
	}
	s := i.fleetView()
	s.Reaching = i.fitSchedulers()
	return s.Scheduler && s.Rank(leaseName) < leaseCandidates
}

// fitSchedulers returns the schedulers with access to the store and a path to all pools; those with access
// alone if there are none.
func (i *Instance) fitSchedulers() []string {
	if fit := i.node.SchedulersWithStore(slices.Collect(maps.Keys(i.pools()))...); len(fit) > 0 {
		return fit
	}
	return i.node.SchedulersWithStore()
}

// unfitAfter is how long a pool has to be out of reach before its rollouts are given to another instance:
// when all of a pool's endpoints crash, the instances find out one after the other.
const unfitAfter = 500 * time.Millisecond

// isUnfit reports whether this instance can't order weights for a pool that another scheduler reaches.
func (i *Instance) isUnfit() bool {
	pools := i.pools()
	lost := slices.ContainsFunc(i.paths.LostServices(), func(service string) bool { _, ok := pools[service]; return ok })
	now := time.Now().UnixNano()
	if !lost {
		i.poolLostAt.Store(0)
		return false
	}
	i.poolLostAt.CompareAndSwap(0, now)
	return now-i.poolLostAt.Load() > unfitAfter.Nanoseconds() && !slices.Contains(i.fitSchedulers(), i.settings.GetInstance())
}

// watches reports whether this instance watches a kind for the whole fleet.
func (i *Instance) watches(kind string) bool {
	return i.settled.Load() && i.isAmongFirst(kind, watchers)
}

const (
	// joinDelay is the time between an instance's first registration and its first read of the
	// list: machines that are started together start within 0.3 s.
	joinDelay = 350 * time.Millisecond
	// settleDelay is the time between an instance's first registration and its watching for others.
	// Changes made in the meantime are found by the first watch.
	settleDelay = 800 * time.Millisecond
)

// isAmongFirst reports whether this instance is among the first n schedulers with access to the
// store, ranked by a hash of their names and what.
func (i *Instance) isAmongFirst(what string, n int) bool {
	s := i.fleetView()
	return s.Scheduler && s.Rank(what) < n
}

// fleetView returns this instance's view of the schedulers that read and watch the store for all.
func (i *Instance) fleetView() directory.FleetView {
	return directory.FleetView{
		Self: i.settings.GetInstance(), Scheduler: i.node.IsScheduler(),
		Schedulers: i.node.Schedulers(), Reaching: i.node.SchedulersWithStore(), Reaches: i.node.ReachesStore(), Position: i.node.Position(),
	}
}
