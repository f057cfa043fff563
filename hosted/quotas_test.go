package hosted

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/quota"
)

// withQuota sets a quota in tokens for the fixture's organisation.
func withQuota(fields map[string]any) func(map[string]any) {
	return func(records map[string]any) {
		o := records["tenants"].([]any)[0].(map[string]any)
		o["unit"], o["plainTokens"] = "token_stream", 100
		for name, value := range fields {
			o[name] = value
		}
	}
}

// usageExchange is how long after its start an instance knows the usage at the others.
const usageExchange = 1600 * time.Millisecond

// quotaFixture returns a fleet with an endpoint for models and one for orders, whose instances have
// exchanged their usage.
func quotaFixture(t *testing.T, instances int, fields map[string]any, orders func(*platformtest.Exchange) bool) *fixture {
	t.Helper()
	f := newFixture(t, instances)
	f.endpoint("e1", "pool", oneEvent)
	f.endpoint("e2", "orders", orders)
	f.serve(2, withQuota(fields))
	f.eventually("all instances known to each other", func() bool {
		for _, i := range f.instances {
			if i.node.Live() != len(f.instances) || len(i.node.Schedulers()) == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(usageExchange)
	return f
}

// quotaViews returns what each instance knows of the quota.
func (f *fixture) quotaViews() (list []quota.View) {
	for _, i := range f.instances {
		list = append(list, i.quotas.Views(time.Now())...)
	}
	return list
}

// An organisation must not get its whole quota at each instance, and refusals must state that
// nothing ran and when to retry.
func TestQuotaHoldsOverAllInstances(t *testing.T) {
	for _, instances := range []int{3, gossip.SmallFleet + 4} {
		f := quotaFixture(t, instances, map[string]any{"ratePerS": 2000, "burst": 6000}, ok)
		// An instance that has received nothing from another one for a moment starts again with its own share.
		f.eventually("the whole quota at all schedulers", func() bool {
			for _, i := range f.instances {
				partial := func(v quota.View) bool { return v.Share < 1 || v.Balance < v.Burst }
				if i.node.IsScheduler() && slices.ContainsFunc(i.quotas.Views(time.Now()), partial) {
					return false
				}
			}
			return true
		})
		served := 0
		const requests = 40
		began := time.Now()
		for n := range requests {
			f.callers[0] = f.callers[n%len(f.callers)]
			switch a := f.do(prompt(f.request("POST", "/check/1", "x"))); a.status {
			case 200:
				served++
			case 429:
				// A refusal without the header is final: there is no room within a third of the caller's 3 s.
				after, err := strconv.ParseFloat(cmp.Or(a.header.Get("Retry-After"), "1"), 64)
				if err != nil || after <= 0 || after > 1 || !strings.Contains(a.body, "limit_exceeded") {
					t.Fatalf("refused with Retry-After %q: %s", a.header.Get("Retry-After"), a.body)
				}
			default:
				t.Fatalf("status %d: %s", a.status, a.body)
			}
		}
		const cost = 1540
		// One more may pass into debt at each scheduler before it receives the others' reports.
		most := (6000+2000*time.Since(began).Seconds())/cost + 6
		if served < 3 || float64(served) > most {
			t.Errorf("%d instances: %d of %d requests were served, at least 3 and at most %.1f should be; %+v", instances, served, requests, most, f.quotaViews())
		}
	}
}

// A caller that comes back exactly at the time it was given, at another instance and with another request
// ID, must be served before callers that were given none; one that comes earlier must get the same time.
func TestRefusedCallerIsServedAtItsTime(t *testing.T) {
	f := quotaFixture(t, 3, map[string]any{"ratePerS": 1000, "burst": 4000}, ok)
	callers := slices.Clone(f.callers)
	send := func(n int, body string) answer {
		f.callers[0] = callers[n%len(callers)]
		req := prompt(f.request("POST", "/check/1", body))
		req.Header.Set("Sardinedock-Deadline-Ms", "15000")
		return f.do(req)
	}
	for n := range 200 {
		// The schedulers' reports of the one before have arrived.
		time.Sleep(50 * time.Millisecond)
		a := send(n, strconv.Itoa(n))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if a.status != 429 || err != nil {
			continue
		}
		due := time.Now().Add(time.Duration(after * float64(time.Second)))
		if after > 5 {
			t.Fatalf("told to come back after %v s, of 15 s", after)
		}
		time.Sleep(time.Duration(after / 2 * float64(time.Second)))
		again := send(n+1, strconv.Itoa(n))
		left, err := strconv.ParseFloat(again.header.Get("Retry-After"), 64)
		if d := time.Until(due).Seconds() - left; again.status != 429 || err != nil || d > 0.2 || d < -0.2 {
			t.Errorf("status %d, Retry-After %q, %.3f s before the time", again.status, again.header.Get("Retry-After"), time.Until(due).Seconds())
		}
		time.Sleep(time.Until(due))
		if back := send(n+2, strconv.Itoa(n)); back.status != 200 {
			t.Errorf("status %d at the time, %v after %v: %+v", back.status, back.header, after, f.quotaViews())
		}
		return
	}
	t.Fatal("no caller was told a time")
}

// Requests that never ran must not be charged: an organisation whose requests busy endpoints reject
// would be refused by its quota as well.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	f := quotaFixture(t, 3, map[string]any{"ratePerS": 1000, "burst": 6000}, func(x *platformtest.Exchange) bool {
		x.Reject(503)
		return true
	})
	before := quotaReturned.Get()
	if a := f.do(f.request("POST", "/confirm/1", "")); a.status != 503 {
		t.Fatalf("status %d", a.status)
	}
	f.eventually("the charge refunded", func() bool {
		passed := int64(0)
		for _, i := range f.instances {
			for _, v := range i.quotas.Views(time.Now()) {
				passed += v.Passed
			}
		}
		return passed == 0 && quotaReturned.Get() > before
	})
}

// An unreadable quota must not lift the limit that was in force.
func TestUnreadableQuotaLeavesTheOneInForce(t *testing.T) {
	f := quotaFixture(t, 1, map[string]any{"ratePerS": 2000, "burst": 6000}, ok)
	f.serve(2, withQuota(map[string]any{"ratePerS": "much", "burst": 6000}))
	if l := f.instances[0].quotas.Limit("kumasi"); l.Rate != 2000 {
		t.Errorf("in force is %+v", l)
	}
	f.serve(2, withQuota(map[string]any{"ratePerS": 0}))
	if l := f.instances[0].quotas.Limit("kumasi"); l.Limited() {
		t.Errorf("after its removal, in force is %+v", l)
	}
}
