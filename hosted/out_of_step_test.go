package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// outOfStepFixture returns one instance that has followed the list for as long as a stream lasts, before an endpoint of v1.
func outOfStepFixture(t *testing.T) *fixture {
	f := newFixture(t, 1)
	f.releaseEndpoint("v1-0", "v1", holdUntilClosed)
	f.serve(1, func(records map[string]any) {
		for _, route := range records["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = outOfStepTimeout.Milliseconds()
		}
	})
	time.Sleep(resumableLife)
	return f
}

const (
	outOfStepTimeout = 800 * time.Millisecond
	// resumableLife is for how long callers may come back for a stream of the route.
	resumableLife = 2*outOfStepTimeout + 100*time.Millisecond
)

// Guards against an instance that has missed a new release, and resumes a stream which that release began at the only one
// that it knows.
func TestInstanceOutOfStepResumesNoStreamAtTheReleaseItKnows(t *testing.T) {
	for name, c := range map[string]struct {
		// since is for how long the instance has been out of step, back whether the store answers again.
		since time.Duration
		back  bool
	}{
		"for 50 ms":                  {50 * time.Millisecond, false},
		"for 500 ms":                 {500 * time.Millisecond, false},
		"for 2 s":                    {2 * time.Second, false},
		"for 500 ms, store answers":  {500 * time.Millisecond, true},
		"for 1500 ms, store answers": {1500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := outOfStepFixture(t)
			f.store.Refuse(http.StatusServiceUnavailable)
			e, err := platformtest.NewEndpoint("v2-0", func(*platformtest.Exchange) bool { return false })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			f.putRelease(e, "v2", "ready")
			time.Sleep(c.since)
			if c.back {
				f.store.Refuse(0)
			}
			// The stream began at v2 through an instance that is unknown here.
			a := f.do(f.resumption("/check/1", "begun-elsewhere"))
			if a.status != http.StatusServiceUnavailable {
				t.Errorf("%+v, want a refusal", a)
			}
		})
	}
}

// Guards against streams that are refused although their service has had one release for as long as they last.
func TestStreamOfTheOnlyReleaseIsResumedByAnInstanceInStep(t *testing.T) {
	f := outOfStepFixture(t)
	reads := f.store.Calls("GET", "servers")
	began := time.Now()
	const streams = 20
	for range streams {
		if a := f.do(f.resumption("/check/1", "begun-elsewhere")); a.status != http.StatusOK {
			t.Errorf("%+v, want the rest of the stream", a)
		}
	}
	if n := f.store.Calls("GET", "servers") - reads; n > 4+2*int(time.Since(began)/listReadInterval) {
		t.Errorf("%d calls to the store for %d streams in %v", n, streams, time.Since(began))
	}
}
