package placement

import (
	"context"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/fault"
)

// localRetryAfter is the retry delay if this instance, without the owners, has as many
// requests open as one instance may have.
const localRetryAfter = time.Second

// candidate is an endpoint that is considered for a request. running is the number of this
// instance's requests on it.
type candidate struct {
	name    string
	address string
	running int
}

// chooseLocally chooses among candidates whose owner does not answer, from this instance's
// own view. It returns an index, or -1 if there is no choice.
//
// After a crash of owners, or a restart of all instances in a burst, requests must not wait
// for an unreachable peer. The first candidates are preferred, so that prompts still find
// their cached prefixes, as long as this instance uses less than its equal share of the
// endpoint's slots. Without that limit all instances would send their requests to the first
// candidate of a hot prefix, as no owner counts them. If all candidates are at the limit,
// the one with the fewest requests of this instance is chosen, unless it already runs as
// many of them as it has slots.
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

// placeLocally grants the request without an owner, at an endpoint that does not report
// that it is leaving.
func (f *Fleet) placeLocally(ctx context.Context, t *placement, list []candidate) (Grant, error) {
	if t.alone {
		// Without the owner it is unknown what else runs on an endpoint, so a request that
		// may crash it cannot be isolated.
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
