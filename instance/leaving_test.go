package instance

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// An instance is killed and does not come back, and an engine that it owned reports at the same
// moment that it is leaving. The engine's state is not polled until the owner is declared dead,
// six seconds later; meanwhile the other instances use the last published state and go on
// sending to the engine. The operator removes it when its time to leave is over, and its
// callers' answers break off.
func TestLeavingEngineGetsNoWorkAfterOwnerIsKilled(t *testing.T) {
	t.Parallel()
	const (
		// bound is how long after its report a leaving engine may get new work.
		bound = 3 * time.Second
		// sendFor is longer than it takes to declare the owner dead.
		sendFor = 8 * time.Second
	)
	e, all := startCrashTest(t, 3, 2)
	engine := e.Engines[0]
	owns := func(i *Instance) bool { return slices.Contains(i.peers.placer.Owned(), engine.Name()) }
	await(t, "one owner that all agree on", func() bool {
		for _, i := range all {
			if len(i.peers.node.View().Owners) != len(all) {
				return false
			}
		}
		return slices.ContainsFunc(all, owns)
	})
	at := slices.IndexFunc(all, owns)
	survivors := slices.Delete(slices.Clone(all), at, at+1)
	ask := func(n int) { sendRequest(t, survivors[n%len(survivors)], n) }
	const warmUp = 40
	for n := range warmUp {
		ask(n)
	}
	if engine.Stats().Runs == 0 {
		t.Fatal("the engine got no work before it was leaving")
	}
	all[at].Kill()
	engine.SetLeaving(true)
	began := time.Now()
	for n := 0; time.Since(began) < sendFor; n++ {
		ask(1000 + n)
		time.Sleep(20 * time.Millisecond)
	}
	if late := engine.Stats().LastStartAfterLeaving; late > bound {
		t.Errorf("the engine got new work %v after it reported that it is leaving, allowed are %v", late, bound)
	}
}

// await polls until ok returns true, which takes a moment on a busy machine.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const within = 10 * time.Second
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

// An engine reported seconds ago that it is leaving, and the operator's record does not say so.
// All instances restart, and callers send at once. An owner has an engine's state only some
// tenths of a second after its start; if it took the engine for usable until then, the leaving
// engine would get work of the first callers, long after its time.
func TestLeavingEngineGetsNoWorkAfterFleetRestart(t *testing.T) {
	t.Parallel()
	// left is longer than a leaving engine may get new work.
	const left = 3200 * time.Millisecond
	e, all := startCrashTest(t, 1, 2)
	engine := e.Engines[0]
	all[0].Kill()
	engine.SetLeaving(true)
	time.Sleep(left)
	started := startPeer(t, e.Store.Addr(), "entry-0")
	const requests = 60
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			if status := sendRequest(t, started, n); status != http.StatusOK {
				t.Errorf("status %d, want to be served by the other engine", status)
			}
		})
	}
	wg.Wait()
	if late := engine.Stats().LastStartAfterLeaving; late > 0 {
		t.Errorf("the engine got new work %v after it reported that it is leaving", late)
	}
}

// sendRequest sends the n-th request and returns the status of its answer; 0 if there was none.
func sendRequest(t *testing.T, i *Instance, n int) (status int) {
	// Prompts with a common prefix would all go to one engine.
	prompt := strings.Repeat(fmt.Sprint("valve ", n, " "), 100)
	resp, err := complete(t.Context(), i, prompt, 1)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
