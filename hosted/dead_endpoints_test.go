package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against requests that are refused, most of a service's endpoints being dead and still listed, since the
// dead ones look idle and are chosen again and again.
func TestRequestsAreServedThoughMostListedEndpointsAreDead(t *testing.T) {
	const instances, endpoints, dead, requests = 2, 18, 13, 300
	const share = 0.95
	for round := range 3 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, instances)
			var all []*platformtest.Endpoint
			for k := range endpoints {
				all = append(all, f.endpoint(fmt.Sprintf("e%d", k), "pool", func(x *platformtest.Exchange) bool {
					time.Sleep(60 * time.Millisecond)
					x.StreamHead()
					x.Event(1)
					x.End()
					return true
				}))
			}
			f.serve(endpoints, nil)
			f.awaitPeers()
			ask := func(k int) bool {
				req := prompt(f.request("POST", fmt.Sprintf("/check/%d", k), "x"))
				req.Header.Set("Sardinedock-Prompt-Prefix", fmt.Sprintf("company:300,catalogue-%d:600,own-%d:100", k%60, k))
				a := f.sendTo(k%instances, req)
				return a.status == http.StatusOK && !a.truncated
			}
			for _, e := range all[:dead] {
				e.Close()
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			served := 0
			for k := range requests {
				wg.Go(func() {
					if ask(k) {
						mu.Lock()
						served++
						mu.Unlock()
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			wg.Wait()
			t.Logf("%d of %d served at the first attempt", served, requests)
			if float64(served) < share*requests {
				t.Errorf("%d of %d requests served at the first attempt", served, requests)
			}
		})
	}
}
