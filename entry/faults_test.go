package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/entry"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const prompt = "twelve M12 anchors, grade 8.8"

var nonIdempotent = http.Header{"X-Sardinedock-Non-Idempotent": {"true"}}

// Pieces of a stream come crossed with another's, twice, late, or not at all.
// A caller would read another customer's words, or a text with a hole.
func TestPieceFaultsAreRepaired(t *testing.T) {
	t.Parallel()
	tests := map[string]emulator.EngineFaults{
		"crossed":  {CrossNext: 1},
		"repeated": {RepeatNext: 1},
		"lost":     {LoseNext: 1},
		"late":     {LateNext: 1, LateMS: 2 * testSilence.Milliseconds() * testPace},
		"all":      {CrossNext: 1, RepeatNext: 1, LoseNext: 1, LateNext: 1, LateMS: 100},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, rigConfig{engines: 2})
			rd := r.askFor(t, prompt, 40, nil)
			rd.piece()
			r.engineOf(rd.resp).SetFaults(faults)
			rd.rest().wantWhole(prompt, 40)
			if got := r.Engines[0].Stats().Runs + r.Engines[1].Stats().Runs; got != 1 {
				t.Fatalf("%d runs", got)
			}
			if ends := r.placer.ends(); len(ends) != 1 || ends[0] != place.EndDone {
				t.Fatalf("ends %v", ends)
			}
		})
	}
}

// The very first piece is lost or another's. Nothing has reached the caller
// yet, and nothing false may.
func TestFirstPieceFaultsAreRepaired(t *testing.T) {
	for name, faults := range map[string]emulator.EngineFaults{"crossed": {CrossNext: 1}, "lost": {LoseNext: 1}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, rigConfig{engines: 1})
			r.Engines[0].SetFaults(faults)
			r.askFor(t, prompt, 5, nil).rest().wantWhole(prompt, 5)
		})
	}
}

// An engine dies in the middle of an answer and comes back empty. The caller
// sees one whole answer, made by two engines.
func TestCrashIsContinuedElsewhere(t *testing.T) {
	r := newRig(t, rigConfig{engines: 2})
	rd := r.askFor(t, prompt, 60, nil)
	rd.piece()
	r.engineOf(rd.resp).Crash(time.Millisecond)
	rd.rest().wantWhole(prompt, 60)
	if ends := r.placer.ends(); len(ends) != 2 || ends[0] != place.EndCrashed || ends[1] != place.EndDone {
		t.Fatalf("ends %v", ends)
	}
}

// The only engine of a pool dies and comes back. The answer goes on there.
func TestCrashIsContinuedOnTheSameEngine(t *testing.T) {
	r := newRig(t, rigConfig{engines: 1})
	rd := r.askFor(t, prompt, 60, nil)
	rd.piece()
	r.Engines[0].Crash(time.Millisecond)
	rd.rest().wantWhole(prompt, 60)
}

// The connection to an engine goes silent for good while new ones work. The
// engine lives and goes on; taking it for dead would compute the prompt again.
func TestUnresponsiveConnectionIsResumed(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: 2})
	rd := r.askFor(t, prompt, 60, nil)
	rd.piece()
	r.engineOf(rd.resp).SilenceOpen()
	rd.rest().wantWhole(prompt, 60)
	if ends := r.placer.ends(); len(ends) != 1 || ends[0] != place.EndDone {
		t.Fatalf("ends %v", ends)
	}
}

// A connection goes silent and the engine behind it crashes, so that nothing
// ever says so on the open connection.
func TestUnresponsiveConnectionAndCrash(t *testing.T) {
	r := newRig(t, rigConfig{engines: 2})
	rd := r.askFor(t, prompt, 60, nil)
	rd.piece()
	e := r.engineOf(rd.resp)
	e.SilenceOpen()
	e.Crash(time.Millisecond)
	rd.rest().wantWhole(prompt, 60)
	if ends := r.placer.ends(); len(ends) != 2 || ends[0] != place.EndCrashed {
		t.Fatalf("ends %v", ends)
	}
}

// The connections are cut while the engine goes on.
func TestCutConnectionIsResumed(t *testing.T) {
	r := newRig(t, rigConfig{engines: 1})
	rd := r.askFor(t, prompt, 60, nil)
	for range 3 {
		rd.piece()
		r.Engines[0].CutOpen()
	}
	rd.rest().wantWhole(prompt, 60)
	if got := r.Engines[0].Stats().Runs; got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// Both engines die, one after the other.
func TestTwoCrashes(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: 3})
	rd := r.askFor(t, prompt, 80, nil)
	rd.piece()
	r.engineOf(rd.resp).Crash(time.Millisecond)
	rd.piece()
	rd.piece()
	for _, e := range r.Engines {
		if e.Stats().Crashes == 0 && e.Stats().Runs > 0 {
			e.Crash(time.Millisecond)
		}
	}
	rd.rest().wantWhole(prompt, 80)
}

// An engine dies under a request that may run only once. Running it again could
// ship twice, so the caller is told that nobody knows.
func TestCrashEndsNonIdempotent(t *testing.T) {
	r := newRig(t, rigConfig{engines: 2})
	rd := r.askFor(t, prompt, 60, nonIdempotent)
	rd.piece()
	r.engineOf(rd.resp).Crash(time.Millisecond)
	rd.rest().wantError("unknown_outcome", "unknown")
	runs := 0
	for _, e := range r.Engines {
		runs += e.Stats().Runs
	}
	if runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// A connection breaks under a request that may run only once. The engine still
// has it, so resuming it is no second run.
func TestNonIdempotentIsResumed(t *testing.T) {
	r := newRig(t, rigConfig{engines: 2})
	rd := r.askFor(t, prompt, 60, nonIdempotent)
	rd.piece()
	r.engineOf(rd.resp).CutOpen()
	rd.rest().wantWhole(prompt, 60)
}

// The engine dies and the only other one runs newer weights. Half an answer of
// each would be an answer that neither would give.
func TestWeightsAreNotMixed(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: 1})
	other, err := emulator.StartEngine("127.0.0.1:0", emulator.EngineConfig{Name: "engine-0", Model: "counter", Version: "2", Pace: testPace})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	var dials int
	rd := func() *reader {
		r2 := newRig(t, rigConfig{engines: 1, configure: func(c *entry.Config) {
			clients := endpoint.NewClients(time.Second, testSilence)
			c.Dial = func(string) entry.Engine {
				dials++
				if dials == 1 {
					return clients.Engine(r.Engines[0].Addr())
				}
				return clients.Engine(other.Addr())
			}
		}})
		return r2.askFor(t, prompt, 60, nil)
	}()
	rd.piece()
	r.Engines[0].Crash(time.Millisecond)
	rd.rest().wantError("broken", "unknown")
}

// Records name one version while an engine still runs another. Its blocks must
// not be cached under the name of weights that did not compute them.
func TestSaltNamesTheVersionThatRuns(t *testing.T) {
	r := newRig(t, rigConfig{engines: 1})
	e := r.Engines[0]
	client := endpoint.NewClient(e.Addr(), time.Second, testSilence)
	order := endpoint.Order{Fence: 1, Kind: endpoint.OrderLoadModel, Model: "counter", Version: "0"}
	if err := client.Order(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	waitVersion(t, client, "0")
	long := ""
	for range 400 {
		long += prompt
	}
	r.askFor(t, long, 2, nil).rest().wantWhole(long, 2)
	order.Version = "1"
	if err := client.Order(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	waitVersion(t, client, "1")
	r.askFor(t, long, 2, nil).rest().wantWhole(long, 2)
	if got := e.Stats().StaleBlocks; got != 0 {
		t.Fatalf("%d blocks of other weights were used", got)
	}
}

func waitVersion(t *testing.T, c *endpoint.Client, version string) {
	t.Helper()
	for {
		st, err := c.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(st.Models) == 1 && st.Models[0].Version == version {
			return
		}
	}
}

// A caller goes away, or never reads on. The engine's work for it is cancelled,
// so that its slot is free long before the answer's end.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	r := newRig(t, rigConfig{engines: 1})
	rd := r.askFor(t, prompt, 90000, nil)
	rd.piece()
	_ = rd.resp.Body.Close()
	waitIdle(t, r.Engines[0])
}

// A caller goes away while its request is still computed and nothing is
// written to it.
func TestCallerDisconnectBeforeFirstPiece(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: 1, engine: emulator.EngineConfig{PrefillRate: 0.001, Heartbeat: 50 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		req, _ := http.NewRequestWithContext(ctx, "POST", r.url+"/v1/completions", bodyOf(prompt, 5))
		req.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	client := endpoint.NewClient(r.Engines[0].Addr(), time.Second, testSilence)
	for running := 0; running == 0; {
		l, err := client.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		running = l.Running
	}
	cancel()
	<-done
	waitIdle(t, r.Engines[0])
}

func waitIdle(t *testing.T, e *emulator.Engine) {
	t.Helper()
	client := endpoint.NewClient(e.Addr(), time.Second, testSilence)
	for {
		l, err := client.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if l.Running+l.Waiting == 0 {
			return
		}
	}
}

// A request that was given an endpoint for itself crashes it. It is the cause,
// and is not given another one.
func TestCrashWhileAloneIsNotRetried(t *testing.T) {
	r := newRig(t, rigConfig{engines: 3, engine: emulator.EngineConfig{DownTime: time.Millisecond}})
	r.placer.alone = true
	resp := r.do(t, "POST", "/v1/completions", nil, `{"model":"counter","prompt":"`+emulator.PoisonText+`","max_tokens":3}`)
	if resp.StatusCode != http.StatusBadRequest || resp.Header.Get("X-Sardinedock-Outcome") != "unknown" {
		t.Fatalf("status %d, outcome %s", resp.StatusCode, resp.Header.Get("X-Sardinedock-Outcome"))
	}
	if ends := r.placer.ends(); len(ends) != 1 || ends[0] != place.EndCrashed {
		t.Fatalf("ends %v", ends)
	}
}

// A caller asks for a long answer and stops reading. Its stream ends after the
// write timeout; otherwise each such caller would hold a connection, and what
// is buffered for it, for as long as it likes.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: 1, engine: emulator.EngineConfig{Pace: 10000}})
	rd := r.askFor(t, prompt, 99000, nil)
	rd.piece()
	for openCalls(t, r) > 0 {
	}
	if _, err := io.ReadAll(rd.resp.Body); err == nil {
		t.Fatal("the stream has a proper end, as if it were whole")
	}
}

// openCalls is how many requests the server's dump lists as open.
func openCalls(t *testing.T, r *rig) int {
	t.Helper()
	data, err := json.Marshal(r.server.Dump())
	if err != nil {
		t.Fatal(err)
	}
	var dump struct {
		Open int `json:"open"`
	}
	if err := json.Unmarshal(data, &dump); err != nil {
		t.Fatal(err)
	}
	return dump.Open
}

// stuckPlacer places nothing.
type blockedPlacer struct{ staticPlacer }

func (blockedPlacer) Place(ctx context.Context, _ place.Request) (place.Grant, error) {
	<-ctx.Done()
	return place.Grant{}, ctx.Err()
}

// No slot comes free before the class's timeout. Nothing was sent, and the
// caller reads so, and when to come back.
func TestTimeoutInTheQueueIsNotRun(t *testing.T) {
	t.Parallel()
	class := &recordspb.RequestClass{MaxWaitMs: 50, TimeoutMs: 100}
	r := newRig(t, rigConfig{engines: 1, class: class, configure: func(c *entry.Config) { c.Placer = blockedPlacer{} }})
	resp := r.do(t, "POST", "/v1/completions", nil, `{"model":"counter","prompt":"x","max_tokens":1}`)
	if resp.StatusCode != 503 || resp.Header.Get("X-Sardinedock-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
}
