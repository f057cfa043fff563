package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// kvTokens is the memory of a model server for cached parts, keptEvents how many events it stores.
	kvTokens   = 262053
	keptEvents = 4000
)

// modelServer is a stand-in for a model server. It answers every request with a short stream of events, caches the parts of the prompts
// that it has read, and reports what it caches.
type modelServer struct {
	lab     *lab
	id      string
	address string

	mu sync.Mutex
	// cached are the tokens of the cached parts, by salt and part; order has the least recently used one first.
	cached map[[2]string]int
	order  [][2]string
	held   int
	// events are the newest ones, next the number of the newest.
	events  [][]any
	next    int
	changed chan struct{}
	ran     int
}

// newModelServer starts a model server.
func (l *lab) newModelServer(id string) (*modelServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &modelServer{lab: l, id: id, address: ln.Addr().String(), cached: map[[2]string]int{}, next: 1, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	wire, h := s.lab.wire, w.Header()
	switch req.URL.Path {
	case wire["report"]:
		_, _ = io.WriteString(w, wire["report body"])
		return
	case wire["events"]:
		s.writeEvents(w, req)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	h.Set(wire["id"], req.Header.Get(wire["id"]))
	if expected := req.Header.Get(wire["expect"]); expected != "" && expected != s.id {
		h.Set(wire["server"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.run(req.Header.Get(wire["salt"]), req.Header.Get(wire["prefix"]))
	h.Set(wire["signature"], "sig-"+s.id)
	h.Set(wire["weights"], "1")
	h.Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for k := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k+1, k+1)
		flusher.Flush()
	}
}

// run caches the parts of a prompt. A part without tokens occupies no memory, and there is nothing to report of it.
func (s *modelServer) run(salt, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran++
	for entry := range strings.SplitSeq(prefix, ",") {
		id, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		key := [2]string{salt, id}
		if _, known := s.cached[key]; tokens == 0 || known {
			continue
		}
		s.cached[key] = tokens
		s.order = append(s.order, key)
		s.held += tokens
		s.addEvent("+", key, tokens)
		for s.held > kvTokens {
			oldest := s.order[0]
			s.order = s.order[1:]
			s.held -= s.cached[oldest]
			delete(s.cached, oldest)
			s.addEvent("-", oldest, 0)
		}
	}
}

// recordRuns records how many requests each server has run.
func (l *lab) recordRuns(servers []*modelServer) {
	for _, s := range servers {
		s.mu.Lock()
		l.record("server %s has run %d requests", s.id, s.ran)
		s.mu.Unlock()
	}
}

// addEvent records a change of the cache. s.mu is held.
func (s *modelServer) addEvent(op string, key [2]string, tokens int) {
	s.next++
	s.events = append(s.events, []any{s.next, op, key[0], key[1], tokens, model})
	s.events = s.events[max(0, len(s.events)-keptEvents):]
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeEvents answers a call for the events after a number.
func (s *modelServer) writeEvents(w http.ResponseWriter, req *http.Request) {
	since, _ := strconv.Atoi(req.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		answer := map[string]any{"next": s.next, "lost": since > 0 && len(s.events) > 0 && since+1 < s.events[0][0].(int)}
		answer[s.lab.wire["epoch"]] = 1
		found := [][]any{}
		for _, e := range s.events {
			if e[0].(int) > since {
				found = append(found, e)
			}
		}
		answer["events"] = found
		changed := s.changed
		s.mu.Unlock()
		if len(found) > 0 || over {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}
