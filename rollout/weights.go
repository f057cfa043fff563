package rollout

import (
	"sort"
	"time"
)

// Weights is the version of a model's weights that operators request.
type Weights struct {
	Model   string
	Version int64
}

// Target is one incarnation of an endpoint to which orders are sent.
type Target struct {
	// ID identifies the incarnation; Name is the platform's name of the endpoint.
	ID, Name string
	// Born is the start time in Unix milliseconds, or 0 if not known.
	Born    int64
	Address string
}

// LoadMode is what happens to the requests running on an endpoint when it loads new
// weights.
type LoadMode int

// The modes.
const (
	// LoadAtOnce continues running requests with the new weights.
	LoadAtOnce LoadMode = iota
	// LoadAfterRuns waits for the running requests to end first.
	LoadAfterRuns
)

// LoadOrder instructs an endpoint to load a version.
type LoadOrder struct {
	Weights
	Mode LoadMode
	// Holder and Fence are the holder and fencing number of the lease under which
	// the order is sent.
	Holder string
	Fence  uint64
	// Expect is the number of orders that the endpoint has accepted so far. An
	// order that arrives late, after a newer one, does not match and is dropped.
	// Nil disables the check.
	Expect *uint64
}

// Verdict is an endpoint's answer to an order.
type Verdict int

// The verdicts.
const (
	// Unanswered means that the order may be executed, now or later, or not at all.
	Unanswered Verdict = iota
	// Accepted means that the endpoint is loading.
	Accepted
	// AlreadyLoaded means that the endpoint has already loaded the version.
	AlreadyLoaded
	// Busy means that another order is being executed, or that Expect does not match.
	Busy
	// StaleFence means that the endpoint has seen a newer fencing number.
	StaleFence
	// Replaced means that another incarnation uses the address now.
	Replaced
	// Refused means that the order was refused for another reason.
	Refused
)

// Report is the state of its weights that an endpoint reports, some 100 ms old.
type Report struct {
	Versions map[string]int64
	// Loading reports whether an order is being executed.
	Loading bool
	// Orders is the number of orders accepted since the endpoint started.
	Orders uint64
}

// Candidate is an endpoint that may need new weights.
type Candidate struct {
	Target
	Version int64
	// Running is the number of requests running on the endpoint.
	Running int
	// Draining endpoints get no orders.
	Draining bool
	// BusyUntil is when the current order times out, or, after a failed order,
	// when the endpoint may get another one.
	BusyUntil time.Time
	// Loading reports whether the endpoint is reading from the source of weights.
	Loading bool
	// Unreliable endpoints recently rejected work or were unreachable.
	Unreliable bool
}

const (
	// One in loadShare endpoints of a pool may load concurrently, but at least
	// minLoads: with more, the source of weights slows down for all, and an
	// endpoint serves no requests while it loads. With a fifth, a pool is done
	// after five rounds of loads.
	loadShare = 5
	minLoads  = 2
	// nextRounds is how many rounds of loads in advance endpoints are announced:
	// requests with long outputs run for about two loads.
	nextRounds = 2
)

// PlanLoads returns the endpoints that should load the version now, and those that
// come next.
//
// Operators often request a new version while the pool is busy and before the
// previous version is loaded everywhere. If all endpoints loaded at once, none
// would serve requests; if they loaded one by one, requests would start on old
// weights for a long time. Only the newest version is ordered. Endpoints with the
// fewest running requests load first, since those requests are interrupted or get
// output of mixed versions. Endpoints that seem to be down come last, because they
// would use up the limit on concurrent loads.
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
		if behind[i].Unreliable != behind[j].Unreliable {
			return !behind[i].Unreliable
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
