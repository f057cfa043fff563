package placement

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
	// owner's departure after a second or two.
	earlyStateTTL = 10 * time.Second
)

// SetOwned sets the endpoints that this instance owns. Endpoints that it no longer owns are
// handed over to the instance that next returns.
func (o *OwnerServer) SetOwned(ctx context.Context, owned []owner.Config, members []string, next func(endpoint string) string) error {
	return o.events.Put(ctx, func(o *OwnerServer, now time.Time) {
		o.dropCallers(now, members)
		keep := make(map[string]bool, len(owned))
		for _, cfg := range owned {
			keep[cfg.Name] = true
			cfg.FirstGrantID = o.cfg.FirstGrantID
			e := o.endpoints.Add(cfg)
			if r, ok := o.earlyStates[cfg.Name]; ok && now.Sub(r.at) < earlyStateTTL {
				_ = e.Restore(now, r.knowledge)
			}
			delete(o.earlyStates, cfg.Name)
		}
		for _, name := range o.endpoints.Names() {
			if !keep[name] {
				o.handOver(now, name, next(name))
			}
		}
	})
}

// dropCallers drops the grants and queued asks of instances that are no longer members.
func (o *OwnerServer) dropCallers(now time.Time, members []string) {
	live := make(map[string]bool, len(members))
	for _, m := range members {
		live[m] = true
	}
	for _, m := range o.members {
		if !live[m] {
			o.deliver(now, o.endpoints.CallerLost(now, m))
		}
	}
	o.members = members
}

// handOver transfers an endpoint to its next owner. The callers of queued asks are sent to
// the next owner only once it has the state; before, it would grant slots that are in use.
func (o *OwnerServer) handOver(now time.Time, name, next string) {
	knowledge, err := o.endpoints.Endpoint(name).Snapshot(now)
	refusals := o.endpoints.Remove(name)
	for i := range refusals {
		// The endpoint is usable; its next owner has to be asked.
		refusals[i].Reason = owner.ReasonNotOwned
	}
	if err != nil || next == "" || next == o.cfg.Self {
		o.deliver(now, refusals)
		return
	}
	o.cfg.HandOver(name, next, knowledge, func() {
		o.events.Offer(func(o *OwnerServer, now time.Time) { o.deliver(now, refusals) })
	})
}

// Restore applies the state that the former owner of an endpoint handed over.
func (o *OwnerServer) Restore(ctx context.Context, endpoint string, knowledge []byte) error {
	return o.events.Put(ctx, func(o *OwnerServer, now time.Time) {
		if e := o.endpoints.Endpoint(endpoint); e != nil {
			_ = e.Restore(now, knowledge)
			return
		}
		for name, r := range o.earlyStates {
			if now.Sub(r.at) >= earlyStateTTL {
				delete(o.earlyStates, name)
			}
		}
		if len(o.earlyStates) < maxEarlyStates {
			o.earlyStates[endpoint] = earlyState{knowledge, now}
		}
	})
}

// Status applies an endpoint's status and loaded models. Endpoints of other owners are
// ignored.
func (o *OwnerServer) Status(ctx context.Context, endpoint string, s *fleetpb.EndpointState) error {
	return o.events.Put(ctx, func(o *OwnerServer, now time.Time) {
		e := o.endpoints.Endpoint(endpoint)
		if e == nil {
			return
		}
		if s.GetModelVersions() != nil {
			e.Models(s.GetModelVersions())
		}
		change := e.Status(now, s.GetStatus(), s.GetIncarnation())
		if len(change.Lost) > 0 {
			o.cfg.Lost(endpoint, s.GetIncarnation(), change.Lost)
		}
		o.deliver(now, change.Decisions)
	})
}

// Load applies an endpoint's load report. If the queue is full the oldest event is dropped.
func (o *OwnerServer) Load(endpoint string, r owner.LoadReport) {
	o.events.Push(func(o *OwnerServer, now time.Time) {
		if e := o.endpoints.Endpoint(endpoint); e != nil {
			o.deliver(now, e.LoadReport(now, r))
		}
	})
}

// CacheEvents applies events of an endpoint's cache. Events dropped from a full queue show
// as a gap, like those lost in the engine's own stream.
func (o *OwnerServer) CacheEvents(endpoint string, events []owner.CacheEvent) {
	o.events.Push(func(o *OwnerServer, _ time.Time) {
		e := o.endpoints.Endpoint(endpoint)
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
func (o *OwnerServer) Dump(ctx context.Context) OwnerDump {
	ch := make(chan OwnerDump, 1)
	err := o.events.Put(ctx, func(o *OwnerServer, _ time.Time) {
		ch <- OwnerDump{Owned: o.endpoints.Names(), PendingReplies: len(o.pendingReplies), Unclaimed: len(o.unclaimed)}
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
