package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/status"
)

func modelRecord(version string) *recordspb.Record {
	return &recordspb.Record{SchemaVersion: 1, Name: "counter", Spec: &recordspb.Record_Model{
		Model: &recordspb.Model{Version: version, Pool: "engines", MaxTokens: 100},
	}}
}

// startEngines runs emulated engines of one pool whose weights load in 200 ms.
func startEngines(tb testing.TB, n int, checksFencing bool) *emulator.Emulator {
	tb.Helper()
	pool := &recordspb.EndpointPool{
		SuspectAfterMs: 1000, ExpelAfterMs: 5000, BlockTokens: 64, CacheBlocks: 4096, Slots: 16,
		PrefillTokensPerSecond: 20000, LoadsAtOnce: 2, ChecksFencing: checksFencing,
	}
	for i := range n {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%d", i+1), Address: "127.0.0.1:0"})
	}
	org := &recordspb.Organisation{KeyHashes: []string{record.HashKey("key")}, Weight: 1}
	records := []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}}, modelRecord("1"),
		{SchemaVersion: 1, Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: org}},
	}
	e, err := emulator.StartWith("127.0.0.1:0", records, emulator.Config{Engine: emulator.EngineConfig{LoadTime: 200 * time.Millisecond}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.Close)
	return e
}

// awaitState returns once ok accepts the engine's state. If it never does, the test ends by the
// test binary's own timeout, as with all waits in this file.
func awaitState(engine *emulator.Engine, ok func(endpoint.State) bool) {
	c := endpoint.NewClient(engine.Addr(), time.Second, time.Second)
	defer c.Close()
	for {
		if s, err := c.State(context.Background()); err == nil && ok(s) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// holds reports whether the engine holds that version of the one model.
func holds(version string) func(endpoint.State) bool {
	return func(s endpoint.State) bool { return len(s.Models) == 1 && s.Models[0].Version == version }
}

func awaitVersion(e *emulator.Emulator, version string) {
	for _, engine := range e.Engines {
		awaitState(engine, holds(version))
	}
}

// An operator names a new version of the weights, and the instance that rolls it out crashes in
// the middle. Another instance continues, all endpoints end at the new version, and the status
// shows it. Then an order for the old version that the failed instance had sent arrives late.
func TestRolloutContinuesAfterHolderFails(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			t.Parallel()
			e := startEngines(t, 6, checks)
			first := startInstance(t, e.Store, "entry-1", 1000)
			second := startInstance(t, e.Store, "entry-2", 1000, first.Fleet())
			fence := awaitHolder(first, second)
			awaitStatus(t, e.Store, "rollout of counter@1: 6 of 6 endpoints have it")
			setRecord(t, e.Store, record.Models, modelRecord("2"))
			awaitState(e.Engines[0], holds("2"))
			holder, other := first, second
			if _, held := second.leases.lease("pool.engines"); held {
				holder, other = second, first
			}
			holder.Kill()
			awaitVersion(e, "2")
			next := awaitHolder(other)
			stale := endpoint.NewClient(e.Engines[0].Addr(), time.Second, time.Second)
			defer stale.Close()
			if checks {
				awaitState(e.Engines[0], func(s endpoint.State) bool { return s.Fence >= next })
			}
			err := stale.Order(context.Background(), endpoint.Order{Fence: fence, Kind: endpoint.OrderLoadModel, Model: "counter", Version: "1"}, nil)
			if fault.Is(err, fault.StaleFence) != checks {
				t.Fatalf("the late order ended with %v", err)
			}
			if !checks {
				awaitState(e.Engines[0], holds("1"))
			}
			awaitVersion(e, "2")
		})
	}
}

// awaitHolder returns the fence of the pool's lease once one of the instances holds it.
func awaitHolder(fleet ...*Instance) uint64 {
	for {
		for _, i := range fleet {
			if fence, held := i.leases.lease("pool.engines"); held {
				return fence
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func awaitStatus(tb testing.TB, store *emulator.Store, want string) {
	tb.Helper()
	c := objectapi.NewClient(objectapi.Config{Address: store.Addr(), Timeout: time.Second})
	for {
		var b strings.Builder
		list, err := status.Read(context.Background(), c)
		for _, n := range list {
			_ = n.WriteText(&b, time.Now())
		}
		if err == nil && strings.Contains(b.String(), want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Callers send requests while a new version is rolled out. Each must get a whole answer, from
// the old or the new weights; no caller may be refused because none or not every endpoint has
// the new version yet.
func TestCallersAreAnsweredDuringARollout(t *testing.T) {
	t.Parallel()
	e := startEngines(t, 4, true)
	i := startInstance(t, e.Store, "entry-1", 1000)
	awaitHolder(i)
	setRecord(t, e.Store, record.Models, modelRecord("2"))
	done := make(chan struct{})
	var callers sync.WaitGroup
	sent := make([]int, 4)
	for c := range sent {
		callers.Go(func() {
			for ; !closed(done); sent[c]++ {
				sendCompletion(t, i, fmt.Sprintf("caller %d request %d", c, sent[c]))
			}
		})
	}
	awaitVersion(e, "2")
	close(done)
	callers.Wait()
	for c, n := range sent {
		if n == 0 {
			t.Errorf("caller %d sent no request during the rollout", c)
		}
	}
}

func closed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// sendCompletion sends one request and compares the answer with the expected one.
func sendCompletion(t *testing.T, i *Instance, prompt string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + i.Callers() + "/v1/completions")
	req.Header.Set("Authorization", "Bearer key")
	req.SetBodyString(fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":3}`, prompt))
	if err := fasthttp.Do(req, resp); err != nil {
		t.Error(err)
		return
	}
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	err := json.Unmarshal(resp.Body(), &body)
	want := strings.Join(emulator.Answer(prompt, 3), "")
	if err != nil || len(body.Choices) != 1 || body.Choices[0].Text != want {
		t.Errorf("status %d, body %s, want %q", resp.StatusCode(), resp.Body(), want)
	}
}
