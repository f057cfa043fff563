package place

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// maxEarlyStates is the maximum number of states kept that were handed over before this
	// instance knew that it owns their endpoints.
	maxEarlyStates = 64
	// earlyStateTTL is how long such a state is kept. The member list shows the former
	// owner's leave after a second or two.
	earlyStateTTL = 10 * time.Second
)

// SetOwned sets the endpoints that this instance owns. Endpoints that it no longer owns are
// handed over to the instance that next returns.
func (d *OwnerServer) SetOwned(ctx context.Context, owned []owner.Config, members []string, next func(endpoint string) string) error {
	return d.events.Put(ctx, func(d *OwnerServer, now time.Time) {
		d.dropCallers(now, members)
		keep := make(map[string]bool, len(owned))
		for _, cfg := range owned {
			keep[cfg.Name] = true
			cfg.FirstGrantID = d.cfg.FirstGrantID
			e := d.endpoints.Add(cfg)
			if r, ok := d.earlyStates[cfg.Name]; ok && now.Sub(r.at) < earlyStateTTL {
				_ = e.Restore(now, r.knowledge)
			}
			delete(d.earlyStates, cfg.Name)
		}
		for _, name := range d.endpoints.Names() {
			if !keep[name] {
				d.handOver(now, name, next(name))
			}
		}
	})
}

// dropCallers drops the grants and queued asks of instances that are no longer members.
func (d *OwnerServer) dropCallers(now time.Time, members []string) {
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m] = true
	}
	for _, m := range d.members {
		if !live[m] {
			d.deliver(now, d.endpoints.CallerLost(now, m))
		}
	}
	d.members = members
}

// handOver transfers an endpoint to its next owner. The callers of queued asks are sent to
// the next owner only once it has the state; before, it would grant slots that are in use.
func (d *OwnerServer) handOver(now time.Time, name, next string) {
	knowledge, err := d.endpoints.Endpoint(name).Snapshot(now)
	refusals := d.endpoints.Remove(name)
	for i := range refusals {
		// The endpoint is usable; its next owner has to be asked.
		refusals[i].Reason = owner.ReasonNotOwned
	}
	if err != nil || next == "" || next == d.cfg.Self {
		d.deliver(now, refusals)
		return
	}
	d.cfg.HandOver(name, next, knowledge, func() {
		d.events.Offer(func(d *OwnerServer, now time.Time) { d.deliver(now, refusals) })
	})
}

// Restore applies the state that the former owner of an endpoint handed over.
func (d *OwnerServer) Restore(ctx context.Context, endpoint string, knowledge []byte) error {
	return d.events.Put(ctx, func(d *OwnerServer, now time.Time) {
		if e := d.endpoints.Endpoint(endpoint); e != nil {
			_ = e.Restore(now, knowledge)
			return
		}
		for name, r := range d.earlyStates {
			if now.Sub(r.at) >= earlyStateTTL {
				delete(d.earlyStates, name)
			}
		}
		if len(d.earlyStates) < maxEarlyStates {
			d.earlyStates[endpoint] = earlyState{knowledge, now}
		}
	})
}

// Status applies an endpoint's status and loaded models. Endpoints of other owners are
// ignored.
func (d *OwnerServer) Status(ctx context.Context, endpoint string, s *fleetpb.EndpointState) error {
	return d.events.Put(ctx, func(d *OwnerServer, now time.Time) {
		e := d.endpoints.Endpoint(endpoint)
		if e == nil {
			return
		}
		if s.GetModelVersions() != nil {
			e.Models(s.GetModelVersions())
		}
		change := e.Status(now, s.GetStatus(), s.GetIncarnation())
		if len(change.Lost) > 0 {
			d.cfg.Lost(endpoint, s.GetIncarnation(), change.Lost)
		}
		d.deliver(now, change.Decisions)
	})
}

// Load applies an endpoint's load report. If the queue is full the oldest event is dropped.
func (d *OwnerServer) Load(endpoint string, r owner.LoadReport) {
	d.events.Push(func(d *OwnerServer, now time.Time) {
		if e := d.endpoints.Endpoint(endpoint); e != nil {
			d.deliver(now, e.LoadReport(now, r))
		}
	})
}

// CacheEvents applies events of an endpoint's cache. Events dropped from a full queue show
// as a gap, like those lost in the engine's own stream.
func (d *OwnerServer) CacheEvents(endpoint string, events []owner.CacheEvent) {
	d.events.Push(func(d *OwnerServer, _ time.Time) {
		e := d.endpoints.Endpoint(endpoint)
		if e == nil {
			return
		}
		for _, ev := range events {
			if e.CacheEvent(ev) {
				cacheGaps.Inc()
			}
		}
	})
}

// OwnerDump is the owner's part of the state dump.
type OwnerDump struct {
	Owned          []string `json:"owned"`
	PendingReplies int      `json:"held_replies"`
	Unclaimed      int      `json:"unclaimed_grants"`
}

// Dump returns the current state, or the zero value if the event goroutine does not answer
// before ctx ends.
func (d *OwnerServer) Dump(ctx context.Context) OwnerDump {
	ch := make(chan OwnerDump, 1)
	err := d.events.Put(ctx, func(d *OwnerServer, _ time.Time) {
		ch <- OwnerDump{Owned: d.endpoints.Names(), PendingReplies: len(d.pendingReplies), Unclaimed: len(d.unclaimed)}
	})
	if err != nil {
		return OwnerDump{}
	}
	select {
	case dump := <-ch:
		return dump
	case <-ctx.Done():
		return OwnerDump{}
	}
}
