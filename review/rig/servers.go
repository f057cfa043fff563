package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// weights is the version of the weights that all servers have.
	weights = "1"
	// firstToken and tokenPause are the times that a prompt without uncached parts takes, and an event.
	firstToken = 20 * time.Millisecond
	tokenPause = 25 * time.Millisecond
	// promptTokensPerMs is how fast prompts are read.
	promptTokensPerMs = 61
	eventsPerStream   = 60
	// backAfter is how long a server that has crashed takes to start again.
	backAfter = 2500 * time.Millisecond
)

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// held is a cached part, and the request that made it.
type held struct {
	request, tenant string
}

// server is a stand-in for a model server. It keeps its id and address when it starts again, and reports the new start.
type server struct {
	id, zone, address string
	rig               *rig

	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
	up       bool
	cache    map[string]held
	events   []cacheEvent
}

// cacheEvent states that a part was added to the cache.
type cacheEvent struct {
	Number     int
	Salt, Part string
	Tokens     int
}

func newServer(g *rig, id, zone string) *server {
	s := &server{id: id, zone: zone, rig: g, address: freeAddress("127.0.0.1")}
	s.start()
	go s.beat()
	return s
}

func (s *server) start() {
	ln, err := net.Listen("tcp4", s.address)
	if err != nil {
		fatal("server %s: %v", s.id, err)
	}
	s.mu.Lock()
	s.ln, s.conns, s.born, s.up = ln, map[net.Conn]bool{}, time.Now().UnixMilli(), true
	s.cache, s.events, s.sequence = map[string]held{}, nil, 0
	s.mu.Unlock()
	s.register()
	go s.accept(ln)
}

// crash ends the server as a crash of its process does, and starts it again after backAfter.
func (s *server) crash(why string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	note("server %s crashes: %s", s.id, why)
	s.rig.crashed()
	time.AfterFunc(backAfter, s.start)
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	up := s.up
	s.sequence++
	entry := fill("entry.json", map[string]any{"Address": s.address, "Zone": s.zone, "Sequence": s.sequence, "Born": s.born})
	s.mu.Unlock()
	if up {
		s.rig.store.Put("servers", s.id, json.RawMessage(entry))
	}
}

// beat renews the entry. The platform removes one that is not renewed for three intervals, which a server that is back
// after backAfter avoids.
func (s *server) beat() {
	for range time.Tick(heartbeat) {
		s.register()
	}
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.up {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req := &fasthttp.Request{}
		if req.Read(br) != nil {
			return
		}
		if expect := headerOf(req, "expectServer"); expect != "" && expect != s.id {
			s.misdirect(c)
			continue
		}
		path := string(req.URI().Path())
		if strings.HasPrefix(path, wire.Paths["control"]) {
			s.control(c, req, path)
			continue
		}
		if !s.run(c, req) {
			return
		}
	}
}

// headerOf returns a header of a request, by its name in wire.
func headerOf(req *fasthttp.Request, name string) string {
	return string(req.Header.Peek(wire.Headers[name]))
}

// misdirect answers that the request names another server or other weights, and was not run.
func (s *server) misdirect(c net.Conn) {
	_, _ = io.WriteString(c, fillHead("misdirected.http", map[string]any{"Server": s.id}))
}

func (s *server) control(c net.Conn, req *fasthttp.Request, path string) {
	status, body := http.StatusOK, ""
	switch path {
	case wire.Paths["report"]:
		s.mu.Lock()
		born := s.born
		s.mu.Unlock()
		body = fill("report.json", map[string]any{"Born": born})
	case wire.Paths["events"]:
		since, _ := strconv.Atoi(string(req.URI().QueryArgs().Peek("since")))
		wait, _ := strconv.Atoi(headerOf(req, "wait"))
		body = s.cacheEvents(since, time.Duration(wait)*time.Millisecond)
	default:
		status = http.StatusNotFound
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// cacheEvents returns the events after since, and waits for some.
func (s *server) cacheEvents(since int, wait time.Duration) string {
	const poll = 20 * time.Millisecond
	for until := time.Now().Add(wait); ; time.Sleep(poll) {
		s.mu.Lock()
		next, born := len(s.events), s.born
		var events []cacheEvent
		if since >= 0 && since < next {
			events = append(events, s.events[since:]...)
		}
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) {
			return fill("events.json", map[string]any{"Born": born, "Next": next, "Lost": since > next, "Events": events})
		}
	}
}

// run runs one stream. It returns false if the connection is closed.
func (s *server) run(c net.Conn, req *fasthttp.Request) bool {
	id, tenant, salt := headerOf(req, "request"), headerOf(req, "tenant"), headerOf(req, "salt")
	parts := parseParts(headerOf(req, "parts"))
	if v := headerOf(req, "expectVersion"); v != "" && v != weights {
		s.misdirect(c)
		return true
	}
	note("request %s of %s reaches %s, parts %s, salt %q", id, tenant, s.id, headerOf(req, "parts"), salt)
	s.rig.arrived(parts)
	uncached := s.read(id, tenant, salt, headerOf(req, "fetch"), parts)
	time.Sleep(firstToken + time.Duration(uncached/promptTokensPerMs)*time.Millisecond)
	if p := s.rig.crashingPart(); p != "" && names(parts[:len(parts)-1], p) {
		s.crash("it begins an answer on part " + p + ", request " + id)
		return false
	}
	if unframed, cut := s.rig.next(s.id); unframed {
		runUnframed(c, fillHead("unframed.http", map[string]any{"ID": id, "Server": s.id}), id, cut)
		return false
	}
	if _, err := io.WriteString(c, fillHead("stream.http", map[string]any{"ID": id, "Server": s.id})); err != nil {
		return false
	}
	for n := range eventsPerStream {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(tokenPause)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// read fetches and caches the parts of a prompt, and returns how many tokens had to be read.
func (s *server) read(id, tenant, salt, fetch string, parts []part) (uncached int) {
	var source *server
	if fetch != "" {
		source = s.rig.serverAt(fetch)
	}
	leading := true
	for n, p := range parts {
		key := salt + "\x00" + p.id
		s.mu.Lock()
		made, cached := s.cache[key]
		s.mu.Unlock()
		if leading && !cached && source != nil && source != s {
			source.mu.Lock()
			made, cached = source.cache[key]
			source.mu.Unlock()
		}
		leading = leading && cached
		if leading {
			s.rig.used(id, tenant, p.id, made, s.id)
		} else {
			uncached += p.tokens
			made = held{id, tenant}
		}
		if n < len(parts)-1 {
			s.mu.Lock()
			if _, known := s.cache[key]; !known || !leading {
				s.cache[key] = made
				s.events = append(s.events, cacheEvent{len(s.events) + 1, salt, p.id, p.tokens})
			}
			s.mu.Unlock()
		}
	}
	return uncached
}

func parseParts(text string) (list []part) {
	for entry := range strings.SplitSeq(text, ",") {
		id, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		list = append(list, part{id, tokens})
	}
	return list
}

func names(parts []part, id string) bool {
	for _, p := range parts {
		if p.id == id {
			return true
		}
	}
	return false
}
