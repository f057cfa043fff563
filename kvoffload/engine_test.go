package kvoffload_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/kvoffload"
	"github.com/sardinedock/sardinedock/prefix"
)

const blockTokens = 64

// pair is two engines that share a KV store, and a Coordinator.
type pair struct {
	clients     [2]*endpoint.Client
	coordinator *kvoffload.Coordinator
	published   chan kvoffload.Prefix
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{published: make(chan kvoffload.Prefix, 1)}
	shared := emulator.NewShared(1)
	for i, name := range []string{"engine-1", "engine-2"} {
		e, err := emulator.StartEngine("127.0.0.1:0", emulator.EngineConfig{
			Name: name, Model: "m", Version: "1", TokenTime: time.Microsecond, BlockTokens: blockTokens, Shared: shared,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.Close() })
		p.clients[i] = endpoint.NewClient(e.Addr(), time.Second, 5*time.Second)
	}
	byAddress := map[string]kvoffload.Engine{"engine-1": p.clients[0], "engine-2": p.clients[1]}
	p.coordinator = kvoffload.NewCoordinator(kvoffload.Config{
		Clock:   clock.System{},
		Dial:    func(address string) kvoffload.Engine { return byAddress[address] },
		Publish: func(_ context.Context, x kvoffload.Prefix, _ time.Duration) { p.published <- x },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.coordinator.Run(ctx)
	return p
}

// cachedTokens runs a prompt and returns how many of its tokens the engine had cached.
func (p *pair) cachedTokens(t *testing.T, engine int, salt prefix.Hash, prompt string) int64 {
	t.Helper()
	body, err := json.Marshal(struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
		Max    int    `json:"max_tokens"`
		Stream bool   `json:"stream"`
		Salt   string `json:"cache_salt"`
	}{"m", prompt, 1, true, salt.String()})
	if err != nil {
		t.Fatal(err)
	}
	s, err := p.clients[engine].Generate(context.Background(), endpoint.Request{ID: "r-" + salt.String() + prompt[:1], Path: "/v1/completions", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	piece, err := s.Next()
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Usage struct {
			Details struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(piece.Data, &got); err != nil {
		t.Fatal(err)
	}
	return got.Usage.Details.Cached
}

// Two organisations send the same prompt. If an engine imported for one of them the KV
// cache stored for the other, the first would be answered from the other's cache and could
// find out from its response times what the other had sent.
func TestStoredPrefixIsNotSharedBetweenOrganisations(t *testing.T) {
	p := newPair(t)
	prompt := strings.Repeat("M12 anchor, grade 8.8; ", 200)
	own, other := prefix.Salt("accra", "m", "1"), prefix.Salt("kumasi", "m", "1")
	chain := prefix.Blocks(nil, own, []byte(prompt), blockTokens)
	p.cachedTokens(t, 0, own, prompt)
	p.coordinator.AddUse(kvoffload.Use{Address: "engine-1", Salt: own, Chain: chain, Levels: []int{len(chain)}})
	x := <-p.published

	p.coordinator.Import(context.Background(), "engine-2", other, x)
	if got := p.cachedTokens(t, 1, other, prompt); got != 0 {
		t.Fatalf("%d tokens cached for the other organisation", got)
	}
	p.coordinator.Import(context.Background(), "engine-2", own, x)
	if got, want := p.cachedTokens(t, 1, own, prompt), int64(len(chain)*blockTokens); got != want {
		t.Fatalf("%d tokens cached after the import, want %d", got, want)
	}
}
