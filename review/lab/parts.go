package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func init() { scenarios["parts"] = playParts }

const (
	// memoryMb is the memory of a machine of kff-accra, headerLimit the configuration's limit of a request's header in bytes.
	memoryMb    = 284
	headerLimit = 16384
	// instances and modelServers are how many run.
	instances, modelServers = 3, 9
	// requestsPerSecond are sent to the instances in turn, for partsSeconds at most. One in ordinaryShare is an ordinary caller's.
	requestsPerSecond = 120
	partsSeconds      = 80
	ordinaryShare     = 24
)

// playParts has one client send requests whose prompts name many parts without tokens, inside the limits for headers.
func playParts(l *lab) (broken bool, err error) {
	records := platformtest.Records(3, host, model)
	records[l.wire["organisations"]] = []any{map[string]any{"name": "kumasi", l.wire["keys"]: []string{"key-one"}, "priority": 0}}
	records["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)[l.wire["capacity"]] = kvTokens
	l.store.Put("config", "main", records)
	var servers []*modelServer
	for k := range modelServers {
		s, err := l.newModelServer(fmt.Sprintf("i-%d", k))
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		l.store.Put("servers", s.id, platformtest.EntryAt(s.address, "pool", "ready", map[string]int64{model: 1}))
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
	var limiters sync.WaitGroup
	stop := make(chan struct{})
	for _, p := range l.processes {
		limiters.Go(func() { p.limitMemory(memoryMb, stop) })
	}
	l.sendParts()
	close(stop)
	limiters.Wait()
	l.recordRuns(servers)
	for _, p := range l.processes {
		l.record("%s: peak %.0f of %d MB, killed for its memory %d times, ended by itself %d times", p.name, p.peakMb, memoryMb, p.overMemory.Load(), p.endedByItself())
	}
	return l.endedOften(), nil
}

// sendParts sends the requests.
func (l *lab) sendParts() {
	answers := map[string]map[int]int{"ordinary": {}, "other": {}}
	var mu sync.Mutex
	var open sync.WaitGroup
	tick := time.NewTicker(time.Second / requestsPerSecond)
	defer tick.Stop()
	began, n := time.Now(), 0
	for ; time.Since(began) < partsSeconds*time.Second && !l.endedOften(); n++ {
		<-tick.C
		kind := "other"
		if n%ordinaryShare == 0 {
			kind = "ordinary"
		}
		request := l.partsRequest(l.trouble && kind == "other")
		if n == 1 {
			head, _, _ := strings.Cut(string(request), "\r\n\r\n")
			l.record("the header of a request has %d bytes, the limit is %d; it begins %.400q", len(head)+4, headerLimit, head)
		}
		open.Go(func() {
			const patience = 3 * time.Second
			a := exchange(l.processes[n%len(l.processes)].callers, request, patience)
			mu.Lock()
			defer mu.Unlock()
			answers[kind][a.status]++
		})
		if n%(5*requestsPerSecond) == 0 {
			for _, p := range l.processes {
				l.record("after %d requests: %s has %.0f MB", n, p.name, p.memory("VmRSS"))
			}
		}
	}
	open.Wait()
	l.record("%d requests sent; answers by status, 0 for none: of the ordinary caller %v, of the other client %v", n, answers["ordinary"], answers["other"])
}

// partsRequest returns a request for a stream. Its prompt has two parts or, with many set, as many as fit into the header, all but the
// last without tokens.
func (l *lab) partsRequest(many bool) []byte {
	const spare = 700
	var parts strings.Builder
	shared, own := 568, 1800
	if many {
		for shared, own = 0, 1; parts.Len() < headerLimit-spare; {
			fmt.Fprintf(&parts, "%x:0,", rand.Uint32())
		}
	} else {
		fmt.Fprintf(&parts, "c1:%d,", shared)
	}
	fmt.Fprintf(&parts, "%x:%d", rand.Uint32(), own)
	return l.request("POST", "/draft/a", l.id(), 3*time.Second, []byte("a body"), l.wire["model"]+": "+model,
		fmt.Sprintf("%s: %d,3", l.wire["usage"], shared+own), l.wire["prefix"]+": "+parts.String(), "Connection: close")
}
