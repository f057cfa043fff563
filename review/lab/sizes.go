package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func init() { scenarios["sizes"] = playSizes }

const (
	// sizesTime is how long ordinary callers send two requests of each kind a second to each instance.
	sizesTime     = 100 * time.Second
	sizesInterval = 500 * time.Millisecond
	// From pairsFrom on, one client sends pairs with each of largeParts to each instance, rounds times, pairGap apart. Both requests of a pair
	// have the same two parts, the first of samePart tokens. Of the second part the first request states as many tokens as largeParts has,
	// and the other one, which is sent once the first has begun to be answered, smallPart.
	rounds    = 3
	pairs     = 12
	pairsFrom = time.Second
	pairGap   = 50 * time.Millisecond
	samePart  = 1000
	smallPart = 1
	// firstOutput and secondOutput are their output tokens, of which servers make ten a second: the second one ends last.
	firstOutput, secondOutput = 10, 20
)

var largeParts = []int{100000, 40000, 15000, 5000}

// outputServer is a stand-in for a server of any service. Its streams have as many events as the request states output tokens.
type outputServer struct{ *modelServer }

// ServeHTTP implements http.Handler.
func (s *outputServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	wire, h := s.lab.wire, w.Header()
	id := req.Header.Get(wire["id"])
	if id == "" {
		s.modelServer.ServeHTTP(w, req)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	h.Set(wire["id"], id)
	h.Set(wire["signature"], "sig-"+s.id)
	_, output, isStream := strings.Cut(req.Header.Get(wire["usage"]), ",")
	if !isStream {
		s.run("", "")
		_, _ = io.WriteString(w, "an answer")
		return
	}
	s.run(req.Header.Get(wire["salt"]), req.Header.Get(wire["prefix"]))
	h.Set(wire["weights"], "1")
	h.Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	events, _ := strconv.Atoi(output)
	for k := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k+1, k+1); err != nil {
			return
		}
		flusher.Flush()
		time.Sleep(100 * time.Millisecond)
	}
}

// tally counts requests and those that were served, by kind and second.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[kind]++
	if served {
		t.served[kind]++
	}
}

// share returns the share of requests that were served, of the given kinds.
func (t *tally) share(kinds ...string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for _, kind := range kinds {
		sent += t.sent[kind]
		served += t.served[kind]
	}
	return float64(served) / float64(max(sent, 1))
}

// playSizes has one client send requests that state different sizes of the same part of their prompts.
func playSizes(l *lab) (broken bool, err error) {
	records := platformtest.Records(3, host, model)
	records[l.wire["organisations"]] = []any{
		map[string]any{"name": "kumasi", l.wire["keys"]: []string{"key-one"}, "priority": 0},
		map[string]any{"name": "tamale", l.wire["keys"]: []string{"key-two"}, "priority": 0},
	}
	records["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)[l.wire["capacity"]] = kvTokens
	for _, r := range records["routes"].([]any) {
		r.(map[string]any)[l.wire["timeout"]] = 15000
	}
	l.store.Put("config", "main", records)
	var servers []*modelServer
	for k := range modelServers + 2 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		s := &outputServer{&modelServer{lab: l, id: fmt.Sprintf("i-%d", k), address: ln.Addr().String(), cached: map[[2]string]int{}, next: 1, changed: make(chan struct{})}}
		servers = append(servers, s.modelServer)
		go func() { _ = http.Serve(ln, s) }()
		service, versions := "pool", map[string]int64{model: 1}
		if k >= modelServers {
			service, versions = "orders", map[string]int64{}
		}
		e := platformtest.EntryAt(s.address, service, "ready", versions)
		e["slots"] = flightSlots
		l.store.Put("servers", s.id, e)
	}
	for k := range instances {
		p, err := l.instance(k, memoryMb)
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
	began := time.Now()
	go l.sendPairs()
	all, last := &tally{sent: map[string]int{}, served: map[string]int{}}, &tally{sent: map[string]int{}, served: map[string]int{}}
	var open sync.WaitGroup
	for time.Since(began) < sizesTime {
		recent := time.Since(began) > sizesTime/2
		for _, p := range l.processes {
			for _, kind := range []string{"stream", "call"} {
				open.Go(func() {
					const patience = 4 * time.Second
					a := exchange(p.callers, l.ordinaryRequest(kind, patience), patience)
					all.add(kind, a.status == 200)
					if recent {
						last.add(kind, a.status == 200)
					}
					if kind == "stream" && a.status != 200 && rand.IntN(40) == 0 {
						_, body, _ := strings.Cut(string(a.raw), "\r\n\r\n")
						l.record("a stream at %s: status %d, %s", p.name, a.status, body)
					}
				})
			}
		}
		time.Sleep(sizesInterval)
	}
	open.Wait()
	l.recordRuns(servers)
	l.record("ordinary callers: %v sent, %v answered 200; of those in the second half %v and %v", all.sent, all.served, last.sent, last.served)
	streams, both := all.share("stream"), all.share("stream", "call")
	l.record("share of streams that were served: %.3f, of all requests: %.3f", streams, both)
	const starvedShare = 4
	return streams < both/starvedShare, nil
}

// sendPairs sends the pairs of requests.
func (l *lab) sendPairs() {
	time.Sleep(pairsFrom)
	answers := map[int]int{}
	var mu sync.Mutex
	var open sync.WaitGroup
	send := func(p *process, size, output int, part uint32, begun func()) {
		id := l.id()
		const own, patience = 10, 6 * time.Second
		a := exchangeEvents(p.callers, l.request("POST", "/draft/"+id, id, patience, []byte("a body"), l.wire["model"]+": "+model,
			fmt.Sprintf("%s: %d,%d", l.wire["usage"], samePart+size+own, output),
			fmt.Sprintf("%s: a%x:%d,b%x:%d,%x:%d", l.wire["prefix"], part, samePart, part, size, rand.Uint32(), own), "Connection: close"), patience, begun)
		mu.Lock()
		defer mu.Unlock()
		answers[a.status]++
	}
	for n := range rounds * pairs * len(largeParts) {
		for _, p := range l.processes {
			part, large := rand.Uint32(), largeParts[n/pairs%len(largeParts)]
			second := large
			if l.trouble {
				second = smallPart
			}
			open.Go(func() {
				send(p, large, firstOutput, part, func() {
					open.Go(func() { send(p, second, secondOutput, part, func() {}) })
				})
			})
		}
		time.Sleep(pairGap)
	}
	open.Wait()
	l.record("%d pairs were begun by the other client; its answers by status: %v; it sends no more", len(l.processes)*rounds*pairs*len(largeParts), answers)
}

// ordinaryRequest returns a request of another organisation: a stream, or a call to the other service.
func (l *lab) ordinaryRequest(kind string, patience time.Duration) []byte {
	id := l.id()
	request := l.request("GET", "/stock/"+id, id, patience, nil, "Connection: close")
	if kind == "stream" {
		request = l.request("POST", "/draft/"+id, id, patience, []byte("a body"), l.wire["model"]+": "+model, l.wire["usage"]+": 11992,5",
			fmt.Sprintf("%s: c1:5382,%x:6610", l.wire["prefix"], rand.Uint32()), "Connection: close")
	}
	return []byte(strings.Replace(string(request), "key-one", "key-two", 1))
}
