package instance_test

import (
	"context"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

const testKey = "test-key"

// start runs one instance with one engine.
func start(t *testing.T) *instance.Instance {
	t.Helper()
	pool := &recordspb.EndpointPool{
		Endpoints:   []*recordspb.Endpoint{{Name: "engine-1", Address: "127.0.0.1:0"}},
		BlockTokens: 64, CacheBlocks: 4096, Slots: 16, PrefillTokensPerSecond: 20000, LoadsAtOnce: 1,
	}
	model := &recordspb.Model{Version: "1", Pool: "engines", MaxTokens: 100}
	org := &recordspb.Organisation{KeyHashes: []string{record.HashKey(testKey)}, Weight: 1}
	e, err := emulator.Start("127.0.0.1:0", []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}},
		{SchemaVersion: 1, Name: "counter", Spec: &recordspb.Record_Model{Model: model}},
		{SchemaVersion: 1, Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: org}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	s, faults := settings.Parse([]byte("fleet: test\ndata_centre: accra-1\nplatform: {address: \"" + e.Store.Addr() +
		"\"}\nlisten: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	i, err := instance.Start(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = i.Stop(context.Background()) })
	return i
}

func TestOpenAIClientStreams(t *testing.T) {
	i := start(t)
	client := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL("http://"+i.Callers()+"/v1"))
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:     "counter",
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("twelve M12 anchors")},
	})
	var got strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			got.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	want := strings.Join(emulator.Answer("user\ntwelve M12 anchors\n", 5), "")
	if got.String() != want {
		t.Fatalf("got %q, want %q", got.String(), want)
	}
}
