package owner

import (
	"testing"
	"time"
)

// A burst has spread a catalogue to a second endpoint, and the first has
// evicted it since. A first endpoint that took the request for being idle
// would compute the catalogue again, and its caller would wait for that while
// the second endpoint has it.
func TestColdEndpointOffersBeforeItComputes(t *testing.T) {
	e := New(config())
	e.Status(epoch, live, 1)
	e.cacheKnown = true
	long := ask("r1", "accra", false, chain("accra", "1", 1, 80))
	long.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, long); d.Kind != Offered {
		t.Fatalf("cold and idle: %+v, want an offer", d)
	}
	short := ask("r2", "accra", false, chain("accra", "1", 1, 4))
	short.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, short); d.Kind != Granted {
		t.Fatalf("a prompt that is computed within the patience: %+v, want a grant", d)
	}
	long.Patience = 0
	first := e.Ask(epoch, long)
	if first.Kind != Granted {
		t.Fatalf("without a bound: %+v, want a grant", first)
	}
	e.End(epoch, End{GrantID: first.Offer.GrantID, Stage: Done, Incarnation: 1})
	again := ask("r3", "accra", false, long.Blocks)
	again.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, again); d.Kind != Granted {
		t.Fatalf("cached and idle: %+v, want a grant", d)
	}
}
