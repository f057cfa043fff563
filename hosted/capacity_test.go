package hosted

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	// capacitySlots and capacityWork are the concurrency and the time per request of the endpoints of a capacityFixture.
	capacitySlots = 8
	capacityWork  = 100 * time.Millisecond
	// capacityPerS is what two such endpoints run in a second.
	capacityPerS = 2 * capacitySlots * int(time.Second/capacityWork)
	// capacityTarget is the target latency of the routes.
	capacityTarget = time.Second
	// secondKey is the key of a second organisation, of the same rank as the first.
	secondKey = "key-two"
)

// slotted returns a handler that runs up to capacitySlots requests at once and queues the others in order of
// arrival, also those whose callers have disconnected. It states nothing about its load.
func slotted() func(*platformtest.Exchange) bool {
	slots := make(chan struct{}, capacitySlots)
	return func(x *platformtest.Exchange) bool {
		slots <- struct{}{}
		time.Sleep(capacityWork)
		<-slots
		x.Answer(200, "ok")
		return true
	}
}

// capacityFixture returns three instances in front of two endpoints with slots.
func capacityFixture(t *testing.T) (f *fixture, endpoints [2]*platformtest.Endpoint) {
	t.Helper()
	f = newFixture(t, 3)
	endpoints[0] = f.endpoint("e1", "orders", slotted())
	endpoints[1] = f.endpoint("e2", "orders", slotted())
	f.serve(2, func(records map[string]any) {
		for _, r := range records["routes"].([]any) {
			r.(map[string]any)["targetLatencyMs"] = capacityTarget.Milliseconds()
		}
		first := records["tenants"].([]any)[0].(map[string]any)
		records["tenants"] = []any{first, map[string]any{"name": "tamale", "apiKeys": []string{secondKey}, "priority": 0}}
	})
	f.eventually("all instances known to each other", func() bool {
		for _, i := range f.instances {
			if i.node.Live() != len(f.instances) || len(i.node.Schedulers()) != len(f.instances) {
				return false
			}
		}
		return true
	})
	return f, endpoints
}

// callerResult is what one caller got.
type callerResult struct {
	// at is when the request was sent, after the start of the load.
	at, took time.Duration
	status   int
	// refused is set if the answer is a 503, which callers take as not run, and states when to come back.
	refused bool
}

// offer sends rate requests a second with a key, evenly spaced, for the given time.
func (f *fixture) offer(key string, rate float64, during time.Duration) []callerResult {
	var mu sync.Mutex
	var results []callerResult
	var sent sync.WaitGroup
	began := time.Now()
	for n := range int(rate * during.Seconds()) {
		at := time.Duration(float64(n) / rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		req := f.request("GET", "/stock/1", "")
		req.URL.Host = f.callers[n%len(f.callers)]
		req.Header.Set("Authorization", "Bearer "+key)
		sent.Go(func() {
			from := time.Now()
			a := f.do(req)
			r := callerResult{at: at, took: time.Since(from), status: a.status, refused: a.status == http.StatusServiceUnavailable}
			if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after <= 0 {
				r.refused = false
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	sent.Wait()
	return results
}

// onTime counts the requests answered within the target.
func onTime(list []callerResult) (n int) {
	for _, r := range list {
		if r.status == 200 && r.took <= capacityTarget {
			n++
		}
	}
	return n
}

// Guards against queues at endpoints that grow until all requests are answered after their callers have disconnected: at 1.9
// times the capacity, what the endpoints can run is answered in time and the rest refused at once.
func TestOverloadedPoolServesItsCapacity(t *testing.T) {
	f, endpoints := capacityFixture(t)
	const during = 4 * time.Second
	results := f.offer(deskKey, 1.9*float64(capacityPerS), during)
	answered, lateRefusals, others := 0, 0, 0
	for _, r := range results {
		switch {
		case r.status == 200:
			answered++
		case r.refused && r.took > capacityTarget/8:
			lateRefusals++
		case !r.refused:
			others++
		}
	}
	served := onTime(results)
	t.Logf("%d of %d requests on time, capacity %d; %d late refusals, %d with other ends", served, len(results), capacityPerS*int(during.Seconds()), lateRefusals, others)
	if want := 0.9 * float64(capacityPerS) * during.Seconds(); float64(served) < want {
		t.Errorf("%d requests answered on time, at least %.0f should be", served, want)
	}
	if lateRefusals > len(results)/100 || others > 0 {
		t.Errorf("of %d requests, %d were refused after more than %v, %d ended otherwise", len(results), lateRefusals, capacityTarget/8, others)
	}
	if ran := endpoints[0].Served() + endpoints[1].Served(); ran != answered {
		t.Errorf("the endpoints received %d requests, %d were answered: a refused one has run", ran, answered)
	}
}

// Guards against an organisation that asks for a tenth of the capacity being refused because another one asks for 1.8
// times the capacity.
func TestSmallOrganisationIsServedBesideALargeOne(t *testing.T) {
	lines := logtest.Record(t)
	f, _ := capacityFixture(t)
	const during = 4 * time.Second
	var large []callerResult
	var done sync.WaitGroup
	done.Go(func() { large = f.offer(deskKey, 1.8*float64(capacityPerS), during) })
	small := f.offer(secondKey, 0.1*float64(capacityPerS), during)
	done.Wait()
	t.Logf("on time: %d of %d of the small organisation, %d of %d of the large one", onTime(small), len(small), onTime(large), len(large))
	if got := float64(onTime(small)) / float64(len(small)); got < 0.95 {
		t.Errorf("the small organisation is served at a rate of %.2f, at least 0.95 is its share", got)
	}
	// On-call has to see why requests were refused.
	if !lines.Any("request", func(l log.Fields) bool {
		limit, _ := l["limit"].(int)
		inUse, _ := l["in_use"].(int)
		return l["status"] == 503 && l["organisation"] == "kumasi" && limit >= 2*capacitySlots && inUse >= limit && l["over_share"] == "organisation" && l["priority"] == 0
	}) {
		t.Error("no line says that the large organisation was over its share")
	}
	if refusedOverShare.Get() == 0 || admittedUnderShare.Get() == 0 {
		t.Errorf("counted %d refusals over the share, %d requests sent under it", refusedOverShare.Get(), admittedUnderShare.Get())
	}
	decides := slices.ContainsFunc(f.instances, func(i *Instance) bool {
		pools := i.state.Pools(time.Now())
		var gauge bytes.Buffer
		i.writeLimits(&gauge)
		return len(pools) == 1 && len(pools[0].Shares.Organisations) == 2 && pools[0].Limit >= 2*capacitySlots && strings.Contains(gauge.String(), `sardinedock_concurrency_limit{service="orders"}`)
	})
	if !decides {
		t.Error("no instance shows the limits and shares that were in force")
	}
}
