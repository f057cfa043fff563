package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/record"
)

// recordsWait bounds how long a start waits for the records. Without them
// callers are refused, but the instance must come up: it takes records from
// peers or from the object API whenever one of them answers.
const recordsWait = 800 * time.Millisecond

func (i *Instance) provisionStore() {
	p := i.settings.GetPlatform()
	i.store = objectapi.NewClient(objectapi.Config{
		Address:  p.GetAddress(),
		Instance: i.name(),
		Timeout:  time.Duration(p.GetTimeoutMs()) * time.Millisecond,
		Fleet:    objectapi.Rates{Reads: float64(p.GetReadsPerSecond()), Writes: float64(p.GetWritesPerSecond())},
	})
	i.tellNow = make(chan struct{}, 1)
	i.keeper = record.NewRegistry(clock.System{})
	i.provider = record.NewProvider(record.ProviderConfig{
		Store:    i.store,
		Registry: i.keeper,
		Self:     i.name(),
		Spread:   i.spreadLists,
		ReachableChanged: func() {
			latest(i.tellNow, struct{}{})
		},
	})
	i.admin.Register("platform", func() any { return i.store.Dump() })
	i.admin.Register("records", func() any { return i.keeper.Dump() })
	i.admin.Register("record_provider", func() any { return i.provider.Dump() })
}

// name is the instance's name in the fleet.
func (i *Instance) name() string {
	if name := i.settings.GetInstance(); name != "" {
		return name
	}
	if addr := i.settings.GetListen().GetAdvertise(); addr != "" {
		return addr
	}
	return i.settings.GetListen().GetFleet()
}

// startRecords begins to follow the operators' records and waits a short time
// for the first of them. It never fails: an object API that is down must not
// keep an instance from serving by what its peers know.
func (i *Instance) startRecords(ctx context.Context) {
	first := make(chan struct{})
	known := false
	i.keeper.Subscribe(func(s *record.Snapshot) {
		i.entry.SetRecords(s)
		if !known {
			known = true
			close(first)
		}
	})
	i.provider.Start()
	timer := time.NewTimer(recordsWait)
	defer timer.Stop()
	select {
	case <-first:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// spreadLists asks the platform how many instances there are, so that a herd
// of restarts shares the object API's rates before its members know each other.
func (i *Instance) spreadLists(ctx context.Context) time.Duration {
	list, err := i.store.Instances(ctx)
	if err != nil || len(list) == 0 {
		return 0
	}
	i.store.SetLiveInstances(len(list))
	return objectapi.Spread(len(list), len(record.Kinds), float64(i.settings.GetPlatform().GetReadsPerSecond()))
}
