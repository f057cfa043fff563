package place

import (
	"context"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/fault"
)

// ownRetryAfter is what a caller is told when this instance, without the
// owners, has as much open as one instance may have.
const localRetryAfter = time.Second

// candidate is an endpoint that a decision weighs.
type candidate struct {
	name    string
	address string
	running int
}

// chooseOwn decides from this instance's own view, for an endpoint whose owner
// does not answer.
//
// It is made for the minutes after a crash of owners, or a restart of all
// instances at once in the burst: requests must not wait for a peer that is not
// there. It keeps the order of the candidates, so that prompts still meet their
// cached prefixes, as long as this instance has less than its even part of the
// endpoint's slots in use there; without that bound, all instances would pile
// their requests on the first candidate of a hot prefix, which nobody else
// counts now. With all candidates at the bound it takes the one with the least
// of its own requests, and none that already runs as many of them as the
// endpoint has slots. It returns the index, or -1.
func chooseLocally(list []candidate, slots, members int) int {
	share := max(1, (slots+max(members, 1)-1)/max(members, 1))
	best := -1
	for i, c := range list {
		if c.running < share {
			return i
		}
		if c.running < slots && (best < 0 || c.running < list[best].running) {
			best = i
		}
	}
	return best
}

// placeOwn grants the request without an owner, at an endpoint that does not say that it
// leaves.
func (f *Fleet) placeLocally(ctx context.Context, t *placement, list []candidate) (Grant, error) {
	if t.alone {
		// Nobody can tell what else runs on an endpoint, so a request that
		// may crash it cannot be put where it hurts least.
		err := fault.New(fault.Unavailable, "send it again after a moment", "the request was in flight when an endpoint crashed, and no owner can place it apart")
		return Grant{}, fault.WithRetryAfter(err, localRetryAfter)
	}
	for i := range list {
		list[i].running = f.states.running(list[i].name)
	}
	for len(list) > 0 {
		i := chooseLocally(list, int(t.pool.record.GetSlots()), len(t.routes.view.Owners))
		if i < 0 {
			return Grant{}, overloaded(localRetryAfter)
		}
		c := list[i]
		if !f.leavingChecks.isLeaving(ctx, c, f.cfg.Clock.Now()) {
			fallbacks.Inc()
			return f.granted(t, Grant{Endpoint: c.name, Address: c.address, Incarnation: f.states.incarnation(c.name)}), nil
		}
		list = slices.Delete(list, i, i+1)
	}
	return Grant{}, errNoEndpoint(t.request.PoolName)
}

func overloaded(after time.Duration) error {
	err := fault.New(fault.Overloaded, "send the request again after the time in Retry-After", "no endpoint can start the request within its class's wait")
	return fault.WithRetryAfter(err, after)
}
