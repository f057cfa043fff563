package place

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// maxRestored bounds the states that were handed over before this instance
	// knew that it owns their endpoints.
	maxEarlyStates = 64
	// restoredBound is how long such a state is worth anything. The news of the
	// former owner's leave takes a second or two.
	earlyStateTTL = 10 * time.Second
)

// SetOwned replaces the endpoints that this instance owns. What it owned before
// and does not now is handed over to the instance that next names.
func (d *Duty) SetOwned(ctx context.Context, owned []owner.Config, members []string, next func(endpoint string) string) error {
	return d.events.Put(ctx, func(d *Duty, now time.Time) {
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

// loseCallers takes back what instances held that are members no more.
func (d *Duty) dropCallers(now time.Time, members []string) {
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

// handOver gives an endpoint away. What waits there is sent to the next owner
// once that one knows what runs: before, it would give the same slots a second
// time.
func (d *Duty) handOver(now time.Time, name, next string) {
	knowledge, err := d.endpoints.Endpoint(name).Snapshot(now)
	refusals := d.endpoints.Remove(name)
	for i := range refusals {
		// The endpoint is well; its next owner is to be asked.
		refusals[i].Reason = owner.ReasonNotOwned
	}
	if err != nil || next == "" || next == d.cfg.Self {
		d.deliver(now, refusals)
		return
	}
	d.cfg.HandOver(name, next, knowledge, func() {
		d.events.Offer(func(d *Duty, now time.Time) { d.deliver(now, refusals) })
	})
}

// Restore takes over what the former owner of an endpoint knew.
func (d *Duty) Restore(ctx context.Context, endpoint string, knowledge []byte) error {
	return d.events.Put(ctx, func(d *Duty, now time.Time) {
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

// Status tells how an endpoint is treated, and what it has loaded. Endpoints
// of other owners are passed over.
func (d *Duty) Status(ctx context.Context, endpoint string, s *fleetpb.EndpointState) error {
	return d.events.Put(ctx, func(d *Duty, now time.Time) {
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

// Load tells what an endpoint said of its load. A full ring gives the oldest
// reports up.
func (d *Duty) Load(endpoint string, r owner.LoadReport) {
	d.events.Push(func(d *Duty, now time.Time) {
		if e := d.endpoints.Endpoint(endpoint); e != nil {
			d.deliver(now, e.LoadReport(now, r))
		}
	})
}

// CacheEvents tells what happened to an endpoint's cache. What a full ring
// gives up is a gap like those of the engine's own stream.
func (d *Duty) CacheEvents(endpoint string, events []owner.CacheEvent) {
	d.events.Push(func(d *Duty, _ time.Time) {
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

// DutyDump is the owner's part of the state dump.
type DutyDump struct {
	Owned     []string `json:"owned"`
	Held      int      `json:"held_replies"`
	Unclaimed int      `json:"unclaimed_grants"`
}

// Dump returns the state now, or nothing where the duty does not answer.
func (d *Duty) Dump(ctx context.Context) DutyDump {
	ch := make(chan DutyDump, 1)
	err := d.events.Put(ctx, func(d *Duty, _ time.Time) {
		ch <- DutyDump{Owned: d.endpoints.Names(), Held: len(d.pendingReplies), Unclaimed: len(d.unclaimed)}
	})
	if err != nil {
		return DutyDump{}
	}
	select {
	case dump := <-ch:
		return dump
	case <-ctx.Done():
		return DutyDump{}
	}
}
