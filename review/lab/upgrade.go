package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func init() { scenarios["upgrade"] = playUpgrade }

const (
	// upgradeServers are upgraded one after the other, each upgradeGap after the one before. Each states its new start in the store
	// upgradeTime after its end, and takes connections entryLead later.
	upgradeServers = 2
	upgradeGap     = 1500 * time.Millisecond
	upgradeTime    = 500 * time.Millisecond
	entryLead      = 200 * time.Millisecond
	// outage is how long the store answers 503; the site file has 4.5 s and 8 s.
	outage = 4500 * time.Millisecond
	// streams are sent, each of streamEvents events with eventPause in between.
	streams      = 24
	streamEvents = 70
	eventPause   = 100 * time.Millisecond
	// mixedAllowed is how many streams may hold events of two versions.
	mixedAllowed = 2
)

// streamServer is a stand-in for a model server that is upgraded in place: it starts again under its id and address, with another
// version of its software.
type streamServer struct {
	lab     *lab
	id      string
	address string
	version string
	born    int64
	http    *http.Server
}

// begin starts the server with a version of its software. It states that in the store, unless that is down, before it takes connections.
func (s *streamServer) begin(version string, storeDown bool) error {
	s.version, s.born = version, time.Now().UnixMilli()
	if !storeDown {
		s.writeEntry()
	}
	time.Sleep(entryLead)
	ln, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: handlerOf(*s)}
	go func() { _ = s.http.Serve(ln) }()
	s.lab.record("server %s starts with version %s", s.id, version)
	return nil
}

// end ends the server; its connections are closed.
func (s *streamServer) end() {
	_ = s.http.Close()
	s.lab.record("server %s ends", s.id)
}

// writeEntry writes the server's entry into the store.
func (s *streamServer) writeEntry() {
	e := platformtest.EntryAt(s.address, "pool", "ready", map[string]int64{model: 1})
	e["version"], e["born"], e["slots"] = s.version, s.born, 64
	s.lab.store.Put("servers", s.id, e)
}

// handlerOf returns the handler of one incarnation.
func handlerOf(s streamServer) http.Handler {
	wire := s.lab.wire
	born := fmt.Sprintf(`{"born":%d,`, s.born)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case wire["report"]:
			_, _ = io.WriteString(w, strings.Replace(wire["report body"], "{", born, 1))
			return
		case wire["events"]:
			select {
			case <-time.After(time.Second):
			case <-req.Context().Done():
			}
			_, _ = fmt.Fprintf(w, `%s"%s":%d,"next":1,"lost":false,"events":[]}`, born, wire["epoch"], s.born)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		h := w.Header()
		h.Set(wire["id"], req.Header.Get(wire["id"]))
		if expected := req.Header.Get(wire["expect"]); expected != "" && expected != s.id {
			h.Set(wire["server"], s.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		last, _ := strconv.Atoi(req.Header.Get(wire["resume"]))
		if last > 0 {
			s.lab.resumed.Add(1)
		}
		s.lab.record("server %s, version %s, runs %s after event %d", s.id, s.version, req.Header.Get(wire["id"]), last)
		h.Set(wire["signature"], "sig-"+s.id)
		h.Set(wire["weights"], "1")
		h.Set("Content-Type", "text/event-stream")
		flusher, _ := w.(http.Flusher)
		for k := last + 1; k <= streamEvents; k++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", k, s.version, s.id); err != nil {
				return
			}
			flusher.Flush()
			select {
			case <-time.After(eventPause):
			case <-req.Context().Done():
				return
			}
		}
	})
}

var eventData = regexp.MustCompile(`data: (v\d+) `)

// playUpgrade has the servers of a service upgraded in place, one after the other. With trouble, the store is down meanwhile, so that
// the servers can't state their new version.
func playUpgrade(l *lab) (broken bool, err error) {
	records := platformtest.Records(3, host, model)
	records[l.wire["organisations"]] = []any{map[string]any{"name": "kumasi", l.wire["keys"]: []string{"key-one"}, "priority": 0}}
	for _, r := range records["routes"].([]any) {
		r.(map[string]any)[l.wire["timeout"]] = 15000
	}
	l.store.Put("config", "main", records)
	var servers []*streamServer
	addresses, err := freeAddresses(upgradeServers)
	if err != nil {
		return false, err
	}
	for k, address := range addresses {
		s := &streamServer{lab: l, id: fmt.Sprintf("i-%d", k), address: address}
		if err := s.begin("v1", false); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	for k := range 2 {
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
	time.Sleep(2 * time.Second)
	var mixed, complete atomic.Int64
	var open sync.WaitGroup
	for k := range streams {
		open.Go(func() {
			id := l.id()
			const patience = 14 * time.Second
			a := exchange(l.processes[k%len(l.processes)].callers, l.request("POST", "/check/a", id, patience, []byte("the body of "+id), l.wire["model"]+": "+model,
				l.wire["usage"]+": 2368,70", l.wire["prefix"]+fmt.Sprintf(": c1:568,%x:1800", k+1), "Connection: close"), patience)
			versions := map[string]int{}
			for _, m := range eventData.FindAllSubmatch(a.raw, -1) {
				versions[string(m[1])]++
			}
			if len(versions) > 1 {
				mixed.Add(1)
			}
			if isWhole(a) {
				complete.Add(1)
			}
			l.record("client: %s got status %d, events by version %v, complete: %v, end: %v", id, a.status, versions, isWhole(a), a.err)
		})
	}
	time.Sleep(time.Second)
	if l.trouble {
		l.store.Refuse(http.StatusServiceUnavailable)
		l.record("the store is down")
	}
	back := time.After(outage)
	for _, s := range servers {
		s.end()
		time.Sleep(upgradeTime)
		if err := s.begin("v2", l.trouble); err != nil {
			return false, err
		}
		time.Sleep(upgradeGap - upgradeTime - entryLead)
	}
	<-back
	if l.trouble {
		l.store.Refuse(0)
		l.record("the store is back")
		for _, s := range servers {
			s.writeEntry()
		}
	}
	open.Wait()
	l.record("%d of %d streams hold events of two versions, %d are complete", mixed.Load(), streams, complete.Load())
	if l.resumed.Load() == 0 {
		return false, errors.New("no stream went on at another server")
	}
	return mixed.Load() > mixedAllowed, nil
}

// isWhole reports whether a chunked answer has its last chunk.
func isWhole(a reply) bool { return strings.HasSuffix(string(a.raw), "0\r\n\r\n") }
