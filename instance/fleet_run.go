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

// startFleet starts the duties of the fleet and fetches what a peer knows. It
// returns after pullWithin at the latest, with or without.
func (i *Instance) startFleet(ctx context.Context) {
	p := i.peers
	run, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.open.Go(func() { p.server.Serve(run, p.listener) })
	p.open.Go(func() { p.node.Run(run) })
	p.open.Go(func() { p.duty.Run(run) })
	p.open.Go(func() { p.placer.Run(run) })
	p.open.Go(func() { p.kept.Run(run) })
	p.open.Go(func() { p.handOvers.Run(run, p.placer) })
	p.open.Go(func() { i.runRecordsOut(run) })
	p.open.Go(func() { i.runList(run) })
	p.open.Go(func() { i.runTell(run) })
	i.onKill = append(i.onKill, func() { p.stop() })
	bounded, cancel := context.WithTimeout(ctx, pullWithin)
	defer cancel()
	if p.node.Pull(bounded, i.settings.GetSeeds()) {
		i.keeper.SetComplete()
		return
	}
	p.open.Go(func() { i.runPull(run) })
}

// runPull asks peers for all records until they are known.
//
// Failure: all instances start while the object API is away, and this one asks before
// any peer has all records. Those that it hears of later come one by one, and it can't
// know that none is missing. It would refuse its callers, and leave the endpoints that it
// owns unfollowed, until the object API is back.
func (i *Instance) runPull(ctx context.Context) {
	for clock.Sleep(ctx, pullEvery) == nil && !i.keeper.Complete() {
		var addresses []string
		for _, m := range i.peers.node.View().Members {
			if m.Owns() {
				addresses = append(addresses, m.Address)
			}
		}
		bounded, cancel := context.WithTimeout(ctx, pullWithin)
		if i.peers.node.Pull(bounded, addresses) {
			i.keeper.SetComplete()
		}
		cancel()
	}
}

// startPlacing puts records and members in force for placing, and follows them
// from then on.
func (i *Instance) startPlacing(ctx context.Context) {
	p := i.peers
	p.placer.SetView(ctx, p.node.View())
	i.keeper.Subscribe(func(s *record.Snapshot) { latest(p.records, s) })
	if s := i.keeper.Snapshot(); s != nil {
		p.placer.SetRecords(ctx, s)
	}
	run, stop := context.WithCancel(context.Background())
	before := p.stop
	p.stop = func() { stop(); before() }
	p.open.Go(func() { i.runPlacing(run) })
}

// runPlacing hands changes of records and members to the placer.
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

// watchers lists the members as the choice of who watches records sees them.
func watchers(v *member.View) []record.Member {
	var list []record.Member
	for _, m := range v.Members {
		if m.Owns() {
			list = append(list, record.Member{Name: m.Name, StoreReachable: m.StoreReachable})
		}
	}
	return list
}

// runRecordsOut tells peers the records that were new here. All items are put
// into the exchange, which passes over those that it holds: what the ring of
// changes gave up is told all the same.
func (i *Instance) runRecordsOut(ctx context.Context) {
	changes := i.keeper.Changes()
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
		for _, r := range i.keeper.Items() {
			key := exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_RECORD, Name: r.Key()}
			items = append(items, exchange.Item{Key: key, Version: r.Version, Value: r.Encode()})
		}
		_ = i.peers.node.Publish(ctx, items...)
	}
}

// runList reads the platform's list of instances now and then.
func (i *Instance) runList(ctx context.Context) {
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
		case <-time.After(listEvery):
		}
	}
}

// runTell tells peers what is in force here and closes idle connections.
func (i *Instance) runTell(ctx context.Context) {
	swept := time.Now()
	for {
		every := max(tellEvery, time.Duration(len(i.peers.node.View().Owners)-tellFrom)*tellEachMember)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		case <-i.tellNow:
		}
		_ = i.peers.node.PublishStatus(ctx, i.keeper.Version(), i.provider.StoreReachable())
		if time.Since(swept) >= sweepEvery {
			swept = time.Now()
			i.peers.client.Sweep()
		}
	}
}

// leaveFleet gives the endpoints that this instance owns to their next owners.
func (i *Instance) leaveFleet(ctx context.Context) {
	if i.peers.node.Leave(ctx) != nil {
		return
	}
	i.peers.placer.SetView(ctx, i.peers.node.View())
	_ = i.peers.placer.Dump(ctx) // the owner's duty has worked on the view once this returns
	i.peers.handOvers.Wait(ctx)
}

// stopFleet says the last word and ends the duties.
func (i *Instance) stopFleet(ctx context.Context) {
	_ = i.peers.node.FinishLeave(ctx)
	i.peers.stop()
	i.peers.open.Wait()
	i.peers.client.Close()
}
