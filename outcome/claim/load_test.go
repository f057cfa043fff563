package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/outcome/claim"
)

// slowStore delays each call and each reply by latency.
type slowStore struct {
	*objecttest.Store
	latency time.Duration
}

func (s *slowStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	time.Sleep(s.latency)
	defer time.Sleep(s.latency)
	return s.Store.Get(ctx, kind, name)
}

func (s *slowStore) Put(ctx context.Context, obj objectapi.Object, expected objectapi.Version) (objectapi.Version, error) {
	time.Sleep(s.latency)
	defer time.Sleep(s.latency)
	return s.Store.Put(ctx, obj, expected)
}

// Guards against claims that cost much more than two writes each in the object API when a whole
// fleet receives non-idempotent requests at a steady rate: a burst of them would use up the
// call rate that the rest of the platform depends on.
func TestStoreLoad(t *testing.T) {
	for _, c := range []struct{ instances, rate int }{{7, 5}, {7, 100}, {40, 50}, {40, 100}, {40, 200}} {
		t.Run(fmt.Sprintf("%dinstances_%dps", c.instances, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { storeLoad(t, c.instances, c.rate) })
		})
	}
}

func storeLoad(t *testing.T, instances, rate int) {
	const seconds = 5
	s := &slowStore{Store: &objecttest.Store{}, latency: 2 * time.Millisecond}
	books := make([]*claim.Book, instances)
	for n := range books {
		books[n] = claim.Open(s, clock.System{})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var waits []time.Duration
	for n := range rate * seconds {
		b := books[rng.IntN(instances)]
		wg.Go(func() {
			r := request(fmt.Sprint("k", n), fmt.Sprint("a", n))
			begun := time.Now()
			if f, err := take(b, r); err != nil || f.Taken {
				t.Errorf("claim %d: %+v, %v", n, f, err)
			}
			mu.Lock()
			waits = append(waits, time.Since(begun))
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			b.Finish(r, claim.Answer{Status: 200, Body: []byte("confirmed"), Kept: true})
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	wg.Wait()
	for _, b := range books {
		b.Close(context.Background())
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	counts, total := s.Counts(), float64(rate*seconds)
	t.Logf("%d instances, %d claims/s: %.2f writes and %.2f reads a claim; claim takes p50 %v, p99 %v",
		instances, rate, float64(counts.Puts)/total, float64(counts.Gets)/total,
		waits[len(waits)/2], waits[len(waits)*99/100])
	if perClaim := float64(counts.Puts) / total; perClaim > 2.3 {
		t.Errorf("%.2f writes a claim", perClaim)
	}
}
