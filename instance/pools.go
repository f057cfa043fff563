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
	// leaseCandidates is the number of instances that try to acquire one lease. The second takes
	// over when the first fails; more would only cost reads of the object API.
	leaseCandidates = 2
	// reconcileInterval is how often the running tasks are compared with the pools' records.
	reconcileInterval = time.Second
	// fleetLease is the lease for the status of everything that belongs to no pool.
	fleetLease = "fleet"
)

// leased holds the tasks that the holder of one lease runs. rollout is nil for the fleet's
// lease.
type leased struct {
	lease   *lease.Manager
	rollout *rollout.Manager
	status  *status.Writer
	// preserver is set for the fleet's lease only.
	preserver *record.Preserver
	// decisions finds the decisions to report in a pool's status.
	decisions decisionTracker
}

// leaseManager runs the tasks that one instance at a time may run: the rollout and the status of
// each pool, and the status of the fleet.
type leaseManager struct {
	instance *Instance
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu     sync.Mutex
	leased map[string]*leased
	// reported holds the fingerprints that were reported in the fleet's status.
	reported map[string]bool
}

// maxReportedFingerprints bounds the fingerprints remembered as reported. With that many
// crashing requests, operators have other means to notice them.
const maxReportedFingerprints = 1024

func (i *Instance) provisionLeases() {
	i.leases = &leaseManager{instance: i, leased: map[string]*leased{}, reported: map[string]bool{}}
	i.admin.Register("leases", func() any { return i.leases.dump() })
}

// firstReport reports whether a fingerprint is to be reported, and marks it as reported. It returns
// false if it was reported before or if maxReportedFingerprints were.
func (m *leaseManager) firstReport(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reported[name] || len(m.reported) >= maxReportedFingerprints {
		return false
	}
	m.reported[name] = true
	return true
}

func (i *Instance) startLeases() {
	m := i.leases
	run, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.run(run) })
	i.onKill = append(i.onKill, func() { m.stop(false) })
}

func (m *leaseManager) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts the tasks of new pools and stops those of removed ones.
func (m *leaseManager) reconcile() {
	s := m.instance.registry.Snapshot()
	if s == nil {
		return
	}
	wanted := map[string]bool{fleetLease: true}
	for _, pool := range s.PoolNames() {
		wanted[status.PoolName(pool)] = true
		m.ensure(status.PoolName(pool), pool)
	}
	m.ensure(fleetLease, "")
	m.mu.Lock()
	var removed []*leased
	for name, l := range m.leased {
		if !wanted[name] {
			removed = append(removed, l)
			delete(m.leased, name)
		}
	}
	m.mu.Unlock()
	for _, l := range removed {
		l.stop(true)
	}
}

// ensure starts the tasks of a lease if they do not run yet.
func (m *leaseManager) ensure(name, pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leased[name] != nil {
		return
	}
	i := m.instance
	l := &leased{}
	l.lease = lease.NewManager(lease.Config{
		Store: i.store, Name: name, Self: i.name(),
		Length: time.Duration(i.settings.GetPlatform().GetLeaseMs()) * time.Millisecond,
		Candidate: func() bool {
			return record.IsChosen(watchers(i.peers.node.View()), i.name(), "lease/"+name, leaseCandidates)
		},
	})
	describe := func() (status.Object, bool) { return i.describeFleet(l) }
	if pool == "" {
		l.preserver = record.NewPreserver(i.store, i.registry, l.lease)
	} else {
		l.rollout = rollout.NewManager(rollout.Config{
			Pool: pool, Lease: l.lease, Records: i.registry.Snapshot,
			Dial: func(addr string) rollout.Engine { return i.clients.Engine(addr) },
		})
		describe = func() (status.Object, bool) { return i.describePool(pool, l) }
	}
	l.status = status.NewWriter(status.Config{Store: i.store, Name: name, Self: i.name(), Lease: l.lease, Describe: describe})
	m.leased[name] = l
	l.start()
}

func (l *leased) start() {
	l.lease.Start()
	if l.rollout != nil {
		l.rollout.Start()
	}
	if l.preserver != nil {
		l.preserver.Start()
	}
	l.status.Start()
}

// stop stops the tasks before it releases the lease, so that this instance sends no order once
// another one may hold the lease.
func (l *leased) stop(release bool) {
	if l.rollout != nil {
		l.rollout.Stop()
	}
	if l.preserver != nil {
		l.preserver.Stop()
	}
	l.status.Stop()
	l.lease.Stop()
	if release {
		l.lease.Release()
	}
}

// stop stops all tasks, in parallel.
func (m *leaseManager) stop(release bool) {
	m.cancel()
	m.done.Wait()
	m.mu.Lock()
	list := m.leased
	m.leased = map[string]*leased{}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range list {
		wg.Go(func() { l.stop(release) })
	}
	wg.Wait()
}

// dump returns the state of the leases that the running tasks belong to.
func (m *leaseManager) dump() []lease.Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]lease.Dump, 0, len(m.leased))
	for _, l := range m.leased {
		list = append(list, l.lease.Dump())
	}
	return list
}

// addDecision adds a decision that concerns the whole fleet to the fleet's status.
func (m *leaseManager) addDecision(text string) {
	m.mu.Lock()
	l := m.leased[fleetLease]
	m.mu.Unlock()
	if l != nil {
		l.status.AddDecision(time.Now(), text)
	}
}

// lease returns the fencing number of a lease; leased reports whether this instance holds it.
func (m *leaseManager) lease(name string) (fence uint64, leased bool) {
	m.mu.Lock()
	l := m.leased[name]
	m.mu.Unlock()
	if l == nil {
		return 0, false
	}
	return l.lease.Held()
}
