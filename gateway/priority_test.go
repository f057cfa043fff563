package gateway

import (
	"testing"

	"github.com/sardinedock/sardinedock/route"
)

// A pool at its limit gets short urgent prompts among long ones, all of one organisation. With one
// rank at the endpoint, the short ones would wait for prompts ten times as long, and their answers
// would be late.
func TestRouteRanksWithinAnOrganisation(t *testing.T) {
	rank := func(organisation, own int) int {
		r := request{route: &route.Route{Priority: own}, organisation: &route.Organisation{Priority: &organisation}}
		return r.priority()
	}
	if rank(1, 0) >= rank(1, 1) {
		t.Errorf("urgent route has rank %d, the other one %d", rank(1, 0), rank(1, 1))
	}
	if rank(0, 2) >= rank(1, 0) {
		t.Errorf("the first organisation's last route has rank %d, the second one's first %d", rank(0, 2), rank(1, 0))
	}
	if got := rank(7, 9); got != lowestPriority {
		t.Errorf("rank %d, want at most %d", got, lowestPriority)
	}
}
