package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/record"
)

// recordsTimeout bounds how long a start waits for the records. Without them callers are
// refused, but the instance must come up: it takes records from peers or from the object API as
// soon as one of them answers.
const recordsTimeout = 800 * time.Millisecond

func (i *Instance) provisionStore() {
	p := i.settings.GetPlatform()
	i.store = objectapi.NewClient(objectapi.Config{
		Address:  p.GetAddress(),
		Instance: i.name(),
		Timeout:  time.Duration(p.GetTimeoutMs()) * time.Millisecond,
		Fleet:    objectapi.Rates{Reads: float64(p.GetReadsPerSecond()), Writes: float64(p.GetWritesPerSecond())},
	})
	i.publishNow = make(chan struct{}, 1)
	i.registry = record.NewRegistry(clock.System{})
	i.provider = record.NewProvider(record.ProviderConfig{
		Store:    i.store,
		Registry: i.registry,
		Self:     i.name(),
		Spread:   i.listSpread,
		ReachableChanged: func() {
			replaceLatest(i.publishNow, struct{}{})
		},
	})
	i.admin.Register("platform", func() any { return i.store.Dump() })
	i.admin.Register("records", func() any { return i.registry.Dump() })
	i.admin.Register("record_provider", func() any { return i.provider.Dump() })
}

// name returns the instance's name in the fleet.
func (i *Instance) name() string {
	if name := i.settings.GetInstance(); name != "" {
		return name
	}
	if addr := i.settings.GetListen().GetAdvertise(); addr != "" {
		return addr
	}
	return i.settings.GetListen().GetFleet()
}

// startRecords starts to follow the operators' records and waits up to recordsTimeout for the
// first of them. It never fails: an unreachable object API must not keep an instance from
// serving with the records of its peers.
func (i *Instance) startRecords(ctx context.Context) {
	first := make(chan struct{})
	known := false
	i.registry.Subscribe(func(s *record.Snapshot) {
		i.frontend.SetRecords(s)
		if !known {
			known = true
			close(first)
		}
	})
	i.provider.Start()
	timer := time.NewTimer(recordsTimeout)
	defer timer.Stop()
	select {
	case <-first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// listSpread returns the time over which the initial reads of the records are spread. It asks
// the platform for the number of instances, so that instances that restart together share the
// object API's rates before they know each other.
func (i *Instance) listSpread(ctx context.Context) time.Duration {
	list, err := i.store.Instances(ctx)
	if err != nil || len(list) == 0 {
		return 0
	}
	i.store.SetLiveInstances(len(list))
	return objectapi.Spread(len(list), len(record.Kinds), float64(i.settings.GetPlatform().GetReadsPerSecond()))
}
