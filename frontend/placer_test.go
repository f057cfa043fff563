package frontend_test

import (
	"context"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/prefix"
)

// staticPlacer places requests by rendezvous hashing alone.
type staticPlacer struct{}

func (staticPlacer) Place(_ context.Context, r placement.Request) (placement.Grant, error) {
	key := prefix.Salt(r.Organisation, r.Model, r.Version)
	if len(r.Blocks) > 0 {
		key = r.Blocks[0]
	}
	for _, e := range placement.Order(key, r.Pool.GetEndpoints()) {
		if !e.GetLeaving() && !slices.Contains(r.Exclude, e.GetName()) {
			return placement.Grant{Endpoint: e.GetName(), Address: e.GetAddress()}, nil
		}
	}
	return placement.Grant{}, fault.New(fault.Unavailable, "add endpoints to the pool", "no endpoint of pool %q can take the request", r.PoolName)
}

func (staticPlacer) FirstToken(placement.Grant, int64, time.Duration) {}

func (staticPlacer) Done(placement.Grant, placement.Result) {}
