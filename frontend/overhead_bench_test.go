package frontend_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// BenchmarkOverhead compares the time to the first token through the router with that of a
// direct request to the engine, alternating in the same run. Prompts have 400 KB or a few
// bytes; all are cached, slots are free and connections are open.
func BenchmarkOverhead(b *testing.B) {
	for name, prompt := range map[string]string{"short": prompt, "400KB": strings.Repeat("M12 anchor, grade 8.8; ", 17400)} {
		b.Run(name, func(b *testing.B) {
			r := newFixture(b, fixtureConfig{engines: 1, engine: emulator.EngineConfig{Pace: 1000, CacheBlocks: 1 << 16}})
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			body := fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":1,"stream":true}`, prompt)
			direct, routed := make([]time.Duration, b.N), make([]time.Duration, b.N)
			for n := range b.N {
				direct[n] = firstByte(b, client, "http://"+r.Engines[0].Addr(), body)
				routed[n] = firstByte(b, client, r.url, body)
			}
			b.ReportMetric(micros(direct), "direct-p50-us")
			b.ReportMetric(micros(routed), "routed-p50-us")
			b.ReportMetric(micros(routed)-micros(direct), "added-p50-us")
		})
	}
}

func micros(d []time.Duration) float64 {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return float64(d[len(d)/2].Nanoseconds()) / 1000
}

func firstByte(b *testing.B, client *http.Client, url, body string) time.Duration {
	req, err := http.NewRequest("POST", url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp, err)
	}
	data, err := io.ReadAll(resp.Body)
	took := time.Since(begun)
	if err != nil || !strings.HasSuffix(string(data), "[DONE]\n\n") {
		b.Fatalf("%q, %v", data, err)
	}
	_ = resp.Body.Close()
	return took
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams with short prompts in the
// whole process (router, emulated engine and callers) and the same without the router. The
// difference is the memory of the router.
func BenchmarkOpenStreams(b *testing.B) {
	limits := &settingspb.Limits{
		HeaderBytes: 16384, BodyBytes: 1 << 20, ReadTimeoutMs: 60000, WriteTimeoutMs: 10000,
		Connections: 10000, SilenceMs: 60000,
	}
	for range b.N {
		r := newFixture(b, fixtureConfig{engines: 1, limits: limits, engine: emulator.EngineConfig{Pace: 1, TokenTime: 20 * time.Second, Queue: 4096, Heartbeat: 100 * time.Millisecond}})
		direct := memoryOf(b, "http://"+r.Engines[0].Addr())
		routed := memoryOf(b, r.url)
		b.ReportMetric((routed-direct)/1000/1024, "KB/stream")
	}
}

// memoryOf opens 1,000 streams and returns the growth of heap and stacks in use, in bytes.
func memoryOf(b *testing.B, url string) float64 {
	const streams = 1000
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	open := make([]io.Closer, streams)
	for n := range streams {
		wg.Go(func() {
			req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(`{"model":"counter","messages":[{"role":"user","content":"x"}],"max_tokens":2,"stream":true}`))
			req.Header.Set("Authorization", "Bearer "+testKey)
			if resp, err := client.Do(req); err == nil {
				open[n] = resp.Body
			}
		})
	}
	time.Sleep(2 * time.Second)
	held := memoryInUse() - before
	client.CloseIdleConnections()
	return held
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
