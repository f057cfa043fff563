package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/lease"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/rollout"
	"github.com/sardinedock/sardinedock/status"
)

const (
	// leaseCandidates is how many instances try for one lease. The second
	// takes over where the first is lost; others would only cost reads.
	leaseCandidates = 2
	// poolsEvery is how often the duties are compared with the pools' records.
	poolsEvery = time.Second
	// fleetLease is the lease of the status that belongs to no pool.
	fleetLease = "fleet"
)

// held is the duties that one lease goes with. rollout is nil for the fleet's.
type held struct {
	lease   *lease.Duty
	rollout *rollout.Duty
	status  *status.Writer
	// preserver belongs to the fleet's lease only.
	preserver *record.Preserver
	// seen is what the decisions are found by; see decisions.
	seen decisions
}

// poolDuties runs the duties that have one holder: for each pool its rollout
// and its status, and the status of the fleet.
type poolDuties struct {
	instance *Instance
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu   sync.Mutex
	held map[string]*held
	// noted are the fingerprints that were told of.
	noted map[string]bool
}

// maxNoted bounds the fingerprints that are remembered as told. After that
// many crashing requests operators have other means to see it.
const maxNoted = 1024

func (i *Instance) provisionPools() {
	i.pools = &poolDuties{instance: i, held: map[string]*held{}, noted: map[string]bool{}}
	i.admin.Register("leases", func() any { return i.pools.dump() })
}

// first reports whether a fingerprint has not been told of yet.
func (d *poolDuties) first(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noted[name] || len(d.noted) >= maxNoted {
		return false
	}
	d.noted[name] = true
	return true
}

func (i *Instance) startPools() {
	d := i.pools
	run, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.done.Go(func() { d.run(run) })
	i.onKill = append(i.onKill, func() { d.end(false) })
}

func (d *poolDuties) run(ctx context.Context) {
	ticker := time.NewTicker(poolsEvery)
	defer ticker.Stop()
	for {
		d.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts the duties of new pools and ends those of removed ones.
func (d *poolDuties) reconcile() {
	s := d.instance.keeper.Snapshot()
	if s == nil {
		return
	}
	wanted := map[string]bool{fleetLease: true}
	for _, pool := range s.PoolNames() {
		wanted[status.PoolName(pool)] = true
		d.ensure(status.PoolName(pool), pool)
	}
	d.ensure(fleetLease, "")
	d.mu.Lock()
	var gone []*held
	for name, h := range d.held {
		if !wanted[name] {
			gone = append(gone, h)
			delete(d.held, name)
		}
	}
	d.mu.Unlock()
	for _, h := range gone {
		h.end(true)
	}
}

// ensure starts the duties of a lease once.
func (d *poolDuties) ensure(name, pool string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held[name] != nil {
		return
	}
	i := d.instance
	h := &held{}
	h.lease = lease.NewDuty(lease.Config{
		Store: i.store, Name: name, Self: i.name(),
		Length: time.Duration(i.settings.GetPlatform().GetLeaseMs()) * time.Millisecond,
		Candidate: func() bool {
			return record.IsChosen(watchers(i.peers.node.View()), i.name(), "lease/"+name, leaseCandidates)
		},
	})
	describe := func() (status.Object, bool) { return i.describeFleet(h) }
	if pool == "" {
		h.preserver = record.NewPreserver(i.store, i.keeper, h.lease)
	} else {
		h.rollout = rollout.NewDuty(rollout.Config{
			Pool: pool, Lease: h.lease, Records: i.keeper.Snapshot,
			Dial: func(addr string) rollout.Engine { return i.clients.Engine(addr) },
		})
		describe = func() (status.Object, bool) { return i.describePool(pool, h) }
	}
	h.status = status.NewWriter(status.Config{Store: i.store, Name: name, Self: i.name(), Lease: h.lease, Describe: describe})
	d.held[name] = h
	h.start()
}

func (h *held) start() {
	h.lease.Start()
	if h.rollout != nil {
		h.rollout.Start()
	}
	if h.preserver != nil {
		h.preserver.Start()
	}
	h.status.Start()
}

// end stops the duties before the lease is released, so that this instance
// gives no order once another one may hold it.
func (h *held) end(release bool) {
	if h.rollout != nil {
		h.rollout.Stop()
	}
	if h.preserver != nil {
		h.preserver.Stop()
	}
	h.status.Stop()
	h.lease.Stop()
	if release {
		h.lease.Release()
	}
}

// end stops all duties, at once and side by side.
func (d *poolDuties) end(release bool) {
	d.stop()
	d.done.Wait()
	d.mu.Lock()
	list := d.held
	d.held = map[string]*held{}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range list {
		wg.Go(func() { h.end(release) })
	}
	wg.Wait()
}

// dump lists the leases that this instance knows.
func (d *poolDuties) dump() []lease.Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]lease.Dump, 0, len(d.held))
	for _, h := range d.held {
		list = append(list, h.lease.Dump())
	}
	return list
}

// decided adds a decision that concerns the whole fleet to its status.
func (d *poolDuties) decided(text string) {
	d.mu.Lock()
	h := d.held[fleetLease]
	d.mu.Unlock()
	if h != nil {
		h.status.Decided(time.Now(), text)
	}
}

// lease returns the fencing number of a lease that this instance holds.
func (d *poolDuties) lease(name string) (fence uint64, held bool) {
	d.mu.Lock()
	h := d.held[name]
	d.mu.Unlock()
	if h == nil {
		return 0, false
	}
	return h.lease.Held()
}
