package soak

import (
	"slices"
	"time"
)

// firstQuotaSeed is the first seed in which the isolated organisation has a quota, far below
// what its callers send.
const firstQuotaSeed = 90000

// The quota in tokens, and the tokens that a request is charged; plain requests state no size.
const (
	quotaRate    = 3000
	quotaBurst   = 3000
	promptTokens = 1240
	plainTokens  = 100
	// quotaWindow is the time window over which the quota is checked, and quotaTolerance the
	// tolerated excess as a share of it. quotaSlack is a further allowance: one prompt for
	// each instance and one for each of its restarts.
	quotaWindow    = 8 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 15_000
)

// hasQuota reports whether the organisation has a quota in this run.
func (s *soak) hasQuota(organisation string) bool {
	return s.seed >= firstQuotaSeed && organisation == isolatedOrg
}

// addQuota adds the quota, if any, to an organisation's record.
func (s *soak) addQuota(organisation string, record map[string]any) {
	if s.hasQuota(organisation) {
		record["unit"], record["ratePerS"], record["burst"], record["plainTokens"] = "token_stream", quotaRate, quotaBurst, plainTokens
	}
}

// checkQuota checks the tokens that endpoints have run for the organisation with a quota.
func (s *soak) checkQuota(calls []call) {
	type run struct {
		at   time.Time
		cost float64
	}
	var runs []run
	for _, c := range calls {
		if !s.hasQuota(c.organisation) {
			continue
		}
		cost := float64(plainTokens)
		if c.parts != "" {
			cost = promptTokens
		}
		for _, w := range c.works {
			runs = append(runs, run{w.from, cost})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	const allowed = (quotaRate*8+quotaBurst)*(1+quotaTolerance) + quotaSlack
	sum, first := 0.0, 0
	for _, r := range runs {
		sum += r.cost
		for r.at.Sub(runs[first].at) > quotaWindow {
			sum -= runs[first].cost
			first++
		}
		if sum > allowed {
			s.checker.addViolation("QUOTA: %.0f tokens of %s ran in 8 s until %s, %.0f are allowed", sum, isolatedOrg, r.at.Format("05.000"), float64(allowed))
			return
		}
	}
	if len(runs) > 0 && s.seed >= firstQuotaSeed {
		s.checker.counts["runs under a quota"] = len(runs)
	}
}
