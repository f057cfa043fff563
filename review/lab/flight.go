package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func init() { scenarios["flight"] = playFlight }

const (
	// flightMemoryMb is the memory of a machine of khangai-sizing; flightServers model servers with flightSlots each and flightTokens of
	// memory are its engines.
	flightMemoryMb = 134
	flightServers  = 18
	flightSlots    = 64
	flightQueue    = 192
	flightTokens   = 243780
	// flightClients send one request after the other, for flightTime.
	flightClients = 1500
	flightTime    = 85 * time.Second
	// flightPart is the number of tokens of each part.
	flightPart = 10
)

// busyServer is a stand-in for a model server with slots and a queue. Its streams last some seconds.
type busyServer struct {
	*modelServer
	slots  chan struct{}
	queued atomic.Int64
	runs   atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *busyServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	wire := s.lab.wire
	if req.Header.Get(wire["id"]) == "" {
		s.modelServer.ServeHTTP(w, req)
		return
	}
	if s.queued.Add(1) > flightQueue+flightSlots {
		s.queued.Add(-1)
		w.Header().Set(wire["id"], req.Header.Get(wire["id"]))
		w.Header().Set(wire["not run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.runs.Add(1)
	h := w.Header()
	h.Set(wire["id"], req.Header.Get(wire["id"]))
	h.Set(wire["signature"], "sig-"+s.id)
	h.Set(wire["weights"], "1")
	h.Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	const events, first, pause = 60, 300 * time.Millisecond, 100 * time.Millisecond
	time.Sleep(first)
	for k := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k+1, k+1); err != nil {
			return
		}
		flusher.Flush()
		time.Sleep(pause)
	}
}

// playFlight has many clients send requests with many small parts at the same time.
func playFlight(l *lab) (broken bool, err error) {
	records := platformtest.Records(3, host, model)
	records[l.wire["organisations"]] = []any{map[string]any{"name": "kumasi", l.wire["keys"]: []string{"key-one"}, "priority": 0}}
	records["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)[l.wire["capacity"]] = flightTokens
	for _, r := range records["routes"].([]any) {
		r.(map[string]any)[l.wire["timeout"]] = 15000
	}
	l.store.Put("config", "main", records)
	var servers []*busyServer
	for k := range flightServers {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		s := &busyServer{
			modelServer: &modelServer{lab: l, id: fmt.Sprintf("i-%d", k), address: ln.Addr().String(), cached: map[[2]string]int{}, next: 1, changed: make(chan struct{})},
			slots:       make(chan struct{}, flightSlots),
		}
		go func() { _ = http.Serve(ln, s) }()
		servers = append(servers, s)
		e := platformtest.EntryAt(s.address, "pool", "ready", map[string]int64{model: 1})
		e["slots"] = flightSlots
		l.store.Put("servers", s.id, e)
	}
	for k := range instances {
		p, err := l.instance(k, flightMemoryMb)
		if err != nil {
			return false, err
		}
		if err := p.start(); err != nil {
			return false, err
		}
	}
	for _, p := range l.processes {
		if err := p.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	var limiters sync.WaitGroup
	stop := make(chan struct{})
	for _, p := range l.processes {
		limiters.Go(func() { p.limitMemory(flightMemoryMb, stop) })
	}
	answers := map[int]int{}
	var mu sync.Mutex
	for k := range flightClients {
		go func() {
			const ramp, patience, pause = 6000, 15 * time.Second, time.Second
			time.Sleep(time.Duration(rand.IntN(ramp)) * time.Millisecond)
			for time.Since(l.began) < flightTime && !l.endedOften() {
				a := exchange(l.processes[k%len(l.processes)].callers, l.flightRequest(), patience)
				mu.Lock()
				answers[a.status]++
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	example, _, _ := strings.Cut(string(l.flightRequest()), "\r\n\r\n")
	l.record("the header of a request has %d bytes, the limit is %d; it begins %.400q", len(example)+4, headerLimit, example)
	for n := 0; time.Since(l.began) < flightTime && !l.endedOften(); n++ {
		time.Sleep(time.Second)
		if n%5 == 0 {
			for _, p := range l.processes {
				l.record("%s has %.0f MB", p.name, p.memory("VmRSS"))
			}
		}
	}
	close(stop)
	limiters.Wait()
	for _, p := range l.processes {
		l.record("%s: peak %.0f of %d MB, killed for its memory %d times, ended by itself %d times", p.name, p.peakMb, flightMemoryMb, p.overMemory.Load(), p.endedByItself())
	}
	broken = l.endedOften()
	runs := int64(0)
	for _, s := range servers {
		runs += s.runs.Load()
	}
	mu.Lock()
	defer mu.Unlock()
	l.record("servers have run %d requests; answers by status until then, 0 for none: %v", runs, answers)
	return broken, nil
}

// flightRequest returns a request for a stream. With trouble its prompt has as many parts as fit into the header, otherwise two of the
// same size together.
func (l *lab) flightRequest() []byte {
	const spare = 700
	var parts strings.Builder
	n := 0
	for ; parts.Len() < headerLimit-spare; n++ {
		fmt.Fprintf(&parts, "%x:%d,", rand.Uint32(), flightPart)
	}
	if !l.trouble {
		parts.Reset()
		fmt.Fprintf(&parts, "%x:%d,", rand.Uint32(), n*flightPart)
	}
	fmt.Fprintf(&parts, "%x:%d", rand.Uint32(), flightPart)
	id := l.id()
	return l.request("POST", "/draft/"+id, id, 15*time.Second, []byte("a body"), l.wire["model"]+": "+model,
		fmt.Sprintf("%s: %d,60", l.wire["usage"], (n+1)*flightPart), l.wire["prefix"]+": "+parts.String(), "Connection: close")
}
