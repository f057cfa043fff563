package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// startFleet starts the components of the fleet and pulls the state of a peer. It returns after
// pullTimeout at the latest, whether or not a peer answered.
func (i *Instance) startFleet(ctx context.Context) {
	p := i.peers
	run, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.wg.Go(func() { p.server.Serve(run, p.listener) })
	p.wg.Go(func() { p.node.Run(run) })
	p.wg.Go(func() { p.ownerServer.Run(run) })
	p.wg.Go(func() { p.placer.Run(run) })
	p.wg.Go(func() { p.kvoffload.Run(run) })
	p.wg.Go(func() { p.handOvers.Run(run, p.placer) })
	p.wg.Go(func() { i.runRecordPublisher(run) })
	p.wg.Go(func() { i.runInstanceList(run) })
	p.wg.Go(func() { i.runStatePublisher(run) })
	i.onKill = append(i.onKill, func() { p.stop() })
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if p.node.Pull(pullCtx, i.settings.GetSeeds()) {
		i.registry.SetComplete()
		return
	}
	p.wg.Go(func() { i.runRecordPull(run) })
}

// runRecordPull asks peers for all records until the records are complete.
//
// Without it, when all instances start while the object API is down and this one asks before any
// peer has all records, it receives the records later one by one and can't know that none is
// missing. It would refuse its callers, and not monitor the endpoints that it owns, until the
// object API is back.
func (i *Instance) runRecordPull(ctx context.Context) {
	for clock.Sleep(ctx, pullInterval) == nil && !i.registry.Complete() {
		var addresses []string
		for _, m := range i.peers.node.View().Members {
			if m.Owns() {
				addresses = append(addresses, m.Address)
			}
		}
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		if i.peers.node.Pull(pullCtx, addresses) {
			i.registry.SetComplete()
		}
		cancel()
	}
}

// startPlacing passes the current records and members to the placer and starts to pass on their
// changes.
func (i *Instance) startPlacing(ctx context.Context) {
	p := i.peers
	p.placer.SetView(ctx, p.node.View())
	i.registry.Subscribe(func(s *record.Snapshot) { replaceLatest(p.records, s) })
	if s := i.registry.Snapshot(); s != nil {
		p.placer.SetRecords(ctx, s)
	}
	run, stop := context.WithCancel(context.Background())
	before := p.stop
	p.stop = func() { stop(); before() }
	p.wg.Go(func() { i.runPlacing(run) })
}

// runPlacing passes changes of records and members to the placer.
func (i *Instance) runPlacing(ctx context.Context) {
	p := i.peers
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-p.views:
			i.provider.SetMembers(watchers(v))
			i.store.SetLiveInstances(len(v.Owners))
			p.placer.SetView(ctx, v)
		case s := <-p.records:
			p.placer.SetRecords(ctx, s)
		}
	}
}

// watchers returns the live members in the form that the choice of record watchers takes.
func watchers(v *member.View) []record.Member {
	var list []record.Member
	for _, m := range v.Members {
		if m.Owns() {
			list = append(list, record.Member{Name: m.Name, StoreReachable: m.StoreReachable})
		}
	}
	return list
}

// runRecordPublisher publishes records that are new at this instance to peers. It hands all
// items to the exchange, which skips those that it holds, so that changes dropped by the ring of
// changes are published all the same.
func (i *Instance) runRecordPublisher(ctx context.Context) {
	changes := i.registry.Changes()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes.C():
		}
		for changes.Len() > 0 {
			<-changes.C()
		}
		var items []exchange.Item
		for _, r := range i.registry.Items() {
			key := exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_RECORD, Name: r.Key()}
			items = append(items, exchange.Item{Key: key, Version: r.Version, Value: r.Encode()})
		}
		_ = i.peers.node.Publish(ctx, items...)
	}
}

// runInstanceList reads the platform's list of instances every listInterval.
func (i *Instance) runInstanceList(ctx context.Context) {
	for {
		if list, err := i.store.Instances(ctx); err == nil {
			var addresses []string
			for _, e := range list {
				if !e.Leaving {
					addresses = append(addresses, e.Address)
				}
			}
			_ = i.peers.node.SetListed(ctx, addresses)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

// runStatePublisher publishes the version of the records in force here and whether the object
// API is reachable. It also closes idle connections to peers.
func (i *Instance) runStatePublisher(ctx context.Context) {
	swept := time.Now()
	for {
		every := max(publishInterval, time.Duration(len(i.peers.node.View().Owners)-publishIntervalMembers)*publishIntervalPerMember)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		case <-i.publishNow:
		}
		_ = i.peers.node.PublishStatus(ctx, i.registry.Version(), i.provider.StoreReachable())
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			i.peers.client.Sweep()
		}
	}
}

// leaveFleet hands the endpoints that this instance owns over to their next owners.
func (i *Instance) leaveFleet(ctx context.Context) {
	if i.peers.node.Leave(ctx) != nil {
		return
	}
	i.peers.placer.SetView(ctx, i.peers.node.View())
	_ = i.peers.placer.Dump(ctx) // returns after the owner server has processed the view
	i.peers.handOvers.Wait(ctx)
}

// stopFleet announces to peers that this instance has left and stops the components of the
// fleet.
func (i *Instance) stopFleet(ctx context.Context) {
	_ = i.peers.node.FinishLeave(ctx)
	i.peers.stop()
	i.peers.wg.Wait()
	i.peers.client.Close()
}
