package rollout

import (
	"sort"
	"time"
)

// Weights names the version of a model's weights that operators want.
type Weights struct {
	Model   string
	Version int64
}

// Target is one incarnation of an endpoint that takes orders.
type Target struct {
	// ID of the incarnation, and the Name that the platform gives the endpoint.
	ID, Name string
	// Born is when it started, in ms since 1970; 0 where it does not say.
	Born    int64
	Address string
}

// LoadMode says what happens to the runs on an endpoint that takes new weights.
type LoadMode int

// The modes.
const (
	// LoadAtOnce lets runs go on under the new weights.
	LoadAtOnce LoadMode = iota
	// LoadAfterRuns waits for the runs to end first.
	LoadAfterRuns
)

// LoadOrder tells an endpoint to take a version.
type LoadOrder struct {
	Weights
	Mode LoadMode
	// Holder and Fence of the lease under which the order is given.
	Holder string
	Fence  uint64
	// Expect is the number of orders that the endpoint has taken before. An
	// order that is carried out late, after a newer one, finds another number
	// and is dropped; nil gives that up.
	Expect *uint64
}

// Verdict is an endpoint's answer to an order.
type Verdict int

// The verdicts.
const (
	// Unanswered: the order may be carried out, or not, or late.
	Unanswered Verdict = iota
	// Accepted: the endpoint loads.
	Accepted
	// InPlace: the endpoint holds the version already.
	InPlace
	// Busy: another order is under way, or the number expected is wrong.
	Busy
	// Fenced: a newer holder has given orders.
	Fenced
	// Replaced: another incarnation has the address.
	Replaced
	// Refused for another reason.
	Refused
)

// Report is an endpoint's own word on its weights, some hundred ms old.
type Report struct {
	Versions map[string]int64
	// Loading says that an order is under way.
	Loading bool
	// Orders is the number of orders taken since the start.
	Orders uint64
}

// Candidate is an endpoint that may have to take new weights.
type Candidate struct {
	Target
	Version int64
	// Running requests there.
	Running int
	// Draining endpoints are left as they are.
	Draining bool
	// BusyUntil is when an order under way should be done, or when the endpoint
	// may be asked again after a failed one.
	BusyUntil time.Time
	// Loading says that it draws on the source of weights.
	Loading bool
	// Doubtful endpoints turned work away or could not be reached just now.
	Doubtful bool
}

const (
	// loadShare is the part of a pool that loads at a time, and minLoads the
	// least: a source of weights slows down for all when more load at once, and
	// what loads serves nobody. With a fifth, a pool is through in five rounds.
	loadShare = 5
	minLoads  = 2
	// nextRounds is how many rounds ahead endpoints are told to come next: runs
	// with much output last for about two loads.
	nextRounds = 2
)

// PlanLoads returns the endpoints to order to the version now, and those that
// come next.
//
// Load: a new version is named while the pool is busy, often before the last one
// is in place everywhere. Harm prevented: with all endpoints loading at once
// nobody serves; one after the other, requests begin on old weights for long.
// Only the newest version is ordered, and those with the fewest requests go
// first, since what runs there is cut or mixed. Endpoints that seem to be gone
// come last: they would take the places of those that can load.
func PlanLoads(now time.Time, want int64, list []Candidate) (load, next []Candidate) {
	loading := 0
	var behind []Candidate
	for _, c := range list {
		if c.Loading && now.Before(c.BusyUntil) {
			loading++
			continue
		}
		if c.Version < want && !c.Draining && !now.Before(c.BusyUntil) {
			behind = append(behind, c)
		}
	}
	sort.SliceStable(behind, func(i, j int) bool {
		if behind[i].Doubtful != behind[j].Doubtful {
			return !behind[i].Doubtful
		}
		if behind[i].Running != behind[j].Running {
			return behind[i].Running < behind[j].Running
		}
		return behind[i].ID < behind[j].ID
	})
	most := max(minLoads, len(list)/loadShare)
	n := max(0, min(most-loading, len(behind)))
	return behind[:n], behind[n:min(n+nextRounds*most, len(behind))]
}
