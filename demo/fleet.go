package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/settings"
)

// anyPort lets the operating system choose a free port.
const anyPort = "127.0.0.1:0"

// stopTimeout bounds the graceful shutdown of the instances.
const stopTimeout = 20 * time.Second

// fleet is the instances of a run and the load balancer in front of them.
type fleet struct {
	store       *emulator.Store
	dataCentres []string
	releases    []func()

	mu      sync.Mutex
	members []*member
	// failedStarts counts failed attempts to restart an instance, for example because an address
	// was still in use.
	failedStarts int
}

// member is a slot of the fleet for one instance. Its addresses stay the same across restarts.
type member struct {
	name                            string
	dataCentre                      string
	callerAddr, adminAddr, peerAddr string
	// link forwards the peers' connections to this instance.
	link *emulator.Link

	// running is the instance that the balancer sends to, or nil.
	running            *instance.Instance
	starting, draining bool
	killed             time.Time
}

// startFleet starts the instances one after the other. Each one gets all others as seeds, whether
// or not they are running yet.
func startFleet(ctx context.Context, store *emulator.Store, dataCentres []string, count int) (*fleet, error) {
	f := &fleet{store: store, dataCentres: dataCentres}
	ports, err := f.reservePorts(3 * count)
	if err != nil {
		f.stop()
		return nil, err
	}
	for n := range count {
		f.members = append(f.members, &member{
			name:       fmt.Sprintf("entry-%d", n+1),
			dataCentre: dataCentres[n%len(dataCentres)],
			callerAddr: ports[3*n], adminAddr: ports[3*n+1], peerAddr: ports[3*n+2],
		})
	}
	if err := f.startLinks(); err != nil {
		f.stop()
		return nil, err
	}
	f.publishInstances()
	for _, m := range f.members {
		if err := f.start(ctx, m); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startLinks() error {
	for _, m := range f.members {
		link, err := emulator.StartLink(anyPort, m.peerAddr)
		if err != nil {
			return err
		}
		m.link = link
	}
	return nil
}

// reservePorts reserves addresses for the instances until the run ends.
func (f *fleet) reservePorts(count int) ([]string, error) {
	addrs := make([]string, 0, count)
	for range count {
		addr, release, err := emulator.ReservePort()
		if err != nil {
			return nil, err
		}
		f.releases = append(f.releases, release)
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

func (f *fleet) start(ctx context.Context, m *member) error {
	s, faults := settings.Parse([]byte(f.settings(m)))
	if len(faults) > 0 {
		return fmt.Errorf("demo settings: %v", faults)
	}
	i, err := instance.Start(ctx, s)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.running = i
	return nil
}

func (f *fleet) settings(m *member) string {
	var seeds []string
	for _, other := range f.members {
		if other != m {
			seeds = append(seeds, fmt.Sprintf("%q", other.link.Addr()))
		}
	}
	return fmt.Sprintf(`fleet: demo
instance: %s
data_centre: %s
listen: {callers: %q, admin: %q, fleet: %q, advertise: %q}
platform: {address: %q}
seeds: [%s]
shutdown: {notice_ms: 200, drain_ms: 20000}
`, m.name, m.dataCentre, m.callerAddr, m.adminAddr, m.peerAddr, m.link.Addr(), f.store.Addr(), strings.Join(seeds, ", "))
}

// publishInstances sets the platform's list of instances.
func (f *fleet) publishInstances() {
	var entries []objectapi.InstanceEntry
	for _, m := range f.members {
		entries = append(entries, objectapi.InstanceEntry{Name: m.name, Address: m.link.Addr(), DataCentre: m.dataCentre})
	}
	f.store.SetInstances(entries)
}

// choose implements balancer.
func (f *fleet) choose(rng *rand.Rand, tried []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up, untried []string
	for _, m := range f.members {
		if m.running == nil {
			continue
		}
		up = append(up, m.callerAddr)
		if !slices.Contains(tried, m.callerAddr) {
			untried = append(untried, m.callerAddr)
		}
	}
	switch {
	case len(untried) > 0:
		return untried[rng.IntN(len(untried))]
	case len(up) > 0:
		return up[rng.IntN(len(up))]
	}
	return f.members[rng.IntN(len(f.members))].callerAddr
}

// killedSince implements balancer.
func (f *fleet) killedSince(target string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.callerAddr == target {
			return m.running == nil || m.killed.After(since)
		}
	}
	return false
}

// stop shuts all instances down gracefully and concurrently, and releases their addresses.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	f.mu.Lock()
	for _, m := range f.members {
		if i := m.running; i != nil {
			wg.Go(func() { _ = i.Stop(ctx) })
		}
	}
	f.mu.Unlock()
	wg.Wait()
	for _, m := range f.members {
		if m.link != nil {
			m.link.Close()
		}
	}
	for _, release := range f.releases {
		release()
	}
}

const (
	// balancerNotice is how long the balancer keeps sending to an instance that is no longer ready.
	balancerNotice = 100 * time.Millisecond
	// restartTries and restartWait bound the attempts to start an instance again.
	restartTries = 50
	restartWait  = 100 * time.Millisecond
)

// kill stops the instance of member n abruptly, as a crash does.
func (f *fleet) kill(n int) *member {
	f.mu.Lock()
	m := f.members[n]
	i := m.running
	m.running, m.killed = nil, time.Now()
	f.mu.Unlock()
	if i != nil {
		i.Kill()
	}
	return m
}

// drain shuts the instance of member n down gracefully. It returns nil if the instance is not
// running.
func (f *fleet) drain(n int) *member {
	f.mu.Lock()
	m := f.members[n]
	i := m.running
	if i == nil || m.draining {
		f.mu.Unlock()
		return nil
	}
	m.draining = true
	f.mu.Unlock()
	time.AfterFunc(balancerNotice, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.running == i {
			m.running = nil
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = i.Shutdown(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.draining = false
	if m.running == i {
		m.running = nil
	}
	return m
}

// restart starts the member's instance again, unless it is running, starting or draining.
func (f *fleet) restart(m *member) {
	for range restartTries {
		f.mu.Lock()
		skip := m.running != nil || m.starting || m.draining
		m.starting = !skip || m.starting
		f.mu.Unlock()
		if skip {
			return
		}
		err := f.start(context.Background(), m)
		f.mu.Lock()
		m.starting = false
		if err != nil {
			f.failedStarts++
		}
		f.mu.Unlock()
		if err == nil {
			return
		}
		time.Sleep(restartWait)
	}
}
