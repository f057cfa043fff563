package hosted

import (
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/lease"
	"github.com/sardinedock/sardinedock/overload"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/reachability"
)

// dump is the answer to /debug/state: the state of one process.
type dump struct {
	Instance  string           `json:"instance"`
	Ready     bool             `json:"ready"`
	Leaving   bool             `json:"leaving"`
	Open      int              `json:"open_requests"`
	Records   int64            `json:"records_version"`
	Scheduler bool             `json:"scheduler"`
	Others    []string         `json:"schedulers"`
	Live      int              `json:"live_instances"`
	Lease     lease.Dump       `json:"lease"`
	Weights   map[string]int64 `json:"weights_wanted"`
	Follows   []followed       `json:"follows"`
	Quotas    []quota.View     `json:"quotas"`
	// Rates are the rate limits that endpoints state.
	Rates []ratelimit.View `json:"endpoint_rates"`
	// Streams is the number of streams whose release is known.
	Streams int `json:"streams"`
	// Releases is the record, in the store, of the releases that services have had.
	Releases releasesView `json:"recorded_releases"`
	// Departures are the endpoints that state that they leave, Pauses those that want no requests from
	// this instance.
	Departures []string `json:"endpoints_leaving"`
	// Brittle are the endpoints that state that they fail if they have to reject too many requests.
	Brittle []string         `json:"endpoints_brittle"`
	Pauses  []pausedEndpoint `json:"endpoints_pausing"`
	// Suspects are the requests that are suspected of crashing endpoints, or refused for it.
	Suspects []gateway.SuspectView `json:"crash_suspects"`
	// Overload is whether new connections are limited for lack of processor time.
	Overload overload.State `json:"overload"`
	// SlowReaders is what is held for callers and endpoints that read slowly.
	SlowReaders bufferlimit.View `json:"slow_readers"`
	// Intake is what is held of answers that are being received whole.
	Intake bufferlimit.IntakeView `json:"intake"`
	// Requests is what is held of requests until they are answered.
	Requests bufferlimit.IntakeView `json:"requests"`
	// Callers and Instances are the connections of callers and of other instances.
	Callers   inbound.ConnectionsView `json:"caller_connections"`
	Instances inbound.ConnectionsView `json:"instance_connections"`
	// Unreachable are the endpoints to which this instance has no path.
	Unreachable []reachability.View `json:"endpoints_out_of_reach"`
	Endpoints   []balance.View      `json:"endpoints"`
	// Pools are the concurrency limits and the shares in force, by service.
	Pools []balance.PoolView `json:"pools"`
	// Retries is this instance's part of the limit on the fleet's retries.
	Retries policy.RetryLimitView `json:"retry_limit"`
}

// pausedEndpoint is an endpoint that wants no requests from this instance.
type pausedEndpoint struct {
	Endpoint string `json:"endpoint"`
	LeftMs   int64  `json:"left_ms"`
}

// followed is the state of the follower of one kind of object.
type followed struct {
	Kind      string `json:"kind"`
	Revision  uint64 `json:"revision"`
	Reachable bool   `json:"reachable"`
	// Held counts removed entries that are still used, since they may have expired in an outage of
	// the store.
	Held int `json:"removals_held"`
}

func (i *Instance) writeDump(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	d := dump{
		Instance: i.settings.GetInstance(), Ready: i.Ready(), Leaving: i.leaving.Load(), Open: i.server.Open(),
		Scheduler: i.node.IsScheduler(), Others: i.node.Schedulers(), Live: i.node.Live(), Lease: i.lease.Dump(), Weights: i.rollout.Wanted(), Quotas: i.quotas.Views(now), Streams: i.origins.book.Streams(), Releases: viewReleases(i.recorder, i.origins.record), Rates: i.statements.limits.Views(now), Departures: i.statements.departures.Endpoints(), Brittle: i.statements.brittle.Endpoints(), Suspects: i.guard.Views(now), Overload: i.gate.State(), SlowReaders: i.slow.View(), Intake: i.intake.View(), Requests: i.requests.View(), Unreachable: i.paths.Views(now), Endpoints: i.state.Endpoints("", now), Pools: i.state.Pools(now),
		Retries: i.budget.View(now),
	}
	d.Callers, d.Instances = i.server.ViewConnections()
	for _, p := range i.statements.pauses.All(now) {
		d.Pauses = append(d.Pauses, pausedEndpoint{p.Endpoint, p.Left.Milliseconds()})
	}
	if t := i.table.Load(); t != nil {
		d.Records = t.Version()
	}
	for kind, f := range i.followers {
		d.Follows = append(d.Follows, followed{kind, f.Revision(), f.Reachable(), f.Held()})
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(d); err != nil {
		log.WithError(err).Error("encode the state dump")
	}
}
