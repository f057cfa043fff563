package frontend_test

import (
	"context"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/prefix"
)

// staticPlacer places requests by rendezvous hashing alone.
type staticPlacer struct{}

func (staticPlacer) Place(_ context.Context, r place.Request) (place.Grant, error) {
	key := prefix.Salt(r.Organisation, r.Model, r.Version)
	if len(r.Blocks) > 0 {
		key = r.Blocks[0]
	}
	for _, e := range place.Order(key, r.Pool.GetEndpoints()) {
		if !e.GetLeaving() && !slices.Contains(r.Exclude, e.GetName()) {
			return place.Grant{Endpoint: e.GetName(), Address: e.GetAddress()}, nil
		}
	}
	return place.Grant{}, fault.New(fault.Unavailable, "add endpoints to the pool", "no endpoint of pool %q can take the request", r.PoolName)
}

func (staticPlacer) FirstToken(place.Grant, int64, time.Duration) {}

func (staticPlacer) Done(place.Grant, place.Result) {}
