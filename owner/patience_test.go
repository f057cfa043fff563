package owner

import (
	"testing"
	"time"
)

// After a burst, a shared prefix may be cached at a second endpoint and evicted from the
// first. If the first endpoint granted the request because it is idle, it would compute the
// prefix again while the second has it cached.
func TestUncachedLongPromptGetsAnOffer(t *testing.T) {
	e := New(config())
	e.Status(epoch, live, 1)
	e.cacheKnown = true
	long := ask("r1", "accra", false, chain("accra", "1", 1, 80))
	long.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, long); d.Kind != Offered {
		t.Fatalf("uncached and idle: %+v, want an offer", d)
	}
	short := ask("r2", "accra", false, chain("accra", "1", 1, 4))
	short.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, short); d.Kind != Granted {
		t.Fatalf("a prompt with a prefill time within Patience: %+v, want a grant", d)
	}
	long.Patience = 0
	first := e.Ask(epoch, long)
	if first.Kind != Granted {
		t.Fatalf("without Patience: %+v, want a grant", first)
	}
	e.End(epoch, End{GrantID: first.Offer.GrantID, Outcome: Done, Incarnation: 1})
	again := ask("r3", "accra", false, long.Blocks)
	again.Patience = 50 * time.Millisecond
	if d := e.Ask(epoch, again); d.Kind != Granted {
		t.Fatalf("cached and idle: %+v, want a grant", d)
	}
}
