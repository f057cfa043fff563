package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/objectapi"
)

// OutageKind says how a stand-in behaves while it is down.
type OutageKind string

// The kinds of outage.
const (
	// OutageNone: it works.
	OutageNone OutageKind = ""
	// OutageRefuse answers 503 and ends open watches.
	OutageRefuse OutageKind = "refuse"
	// OutageSilent takes calls and never answers.
	OutageSilent OutageKind = "silent"
)

// StoreFaults are the faults that are in force at the object API.
type StoreFaults struct {
	Outage OutageKind `json:"outage"`
	// SlowMS is added to every call.
	SlowMS int64 `json:"slow_ms"`
	// LoseNext writes take effect and their replies are lost.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the share of writes whose replies are lost.
	LoseProbability float64 `json:"lose_probability"`
	// LoseSilently leaves the connection open, without a word, where a reply
	// is lost; otherwise it is cut.
	LoseSilently bool `json:"lose_silently"`
	// CutInstances get no answer; see header X-Instance.
	CutInstances []string `json:"cut_instances"`
}

type storeFaults struct {
	StoreFaults
	rng *rand.Rand
}

func newStoreFaults(seed int64) storeFaults {
	return storeFaults{rng: rand.New(rand.NewPCG(uint64(seed), 2))}
}

func (f *storeFaults) cuts(instance string) bool {
	return instance != "" && slices.Contains(f.CutInstances, instance)
}

// SetFaults puts faults in force in place of all earlier ones.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults.StoreFaults = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if f.Outage == OutageSilent {
		s.gate.silenceOpen()
	}
}

// Faults returns the faults in force.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.StoreFaults
}

// SilenceOpen makes the connections that are open now silent for good.
func (s *Store) SilenceOpen() { s.gate.silenceOpen() }

// Down ends the process, as it were: connecting is refused until Up. What is
// stored stays.
func (s *Store) Down() error { return s.gate.down() }

// Up ends Down.
func (s *Store) Up() error { return s.gate.up() }

// CutOpen closes the connections that are open now.
func (s *Store) CutOpen() { s.gate.cut() }

// admit counts a call and applies the faults and the rates before its effect.
// It reports whether the call goes on.
func (s *Store) admit(ctx *fasthttp.RequestCtx, write bool) bool {
	s.mu.Lock()
	limit := &s.reads
	if write {
		s.counts.Writes++
		limit = &s.writes
	} else {
		s.counts.Reads++
	}
	f := s.faults.StoreFaults
	cut := s.faults.cuts(string(ctx.Request.Header.Peek(headerInstance)))
	limited := !limit.take(time.Now())
	switch {
	case cut || f.Outage != OutageNone:
		s.counts.Refused++
	case limited:
		s.counts.RateLimited++
	}
	s.mu.Unlock()
	switch {
	case cut || f.Outage == OutageSilent:
		hold(ctx)
		return false
	case f.Outage == OutageRefuse:
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	case limited:
		ctx.Error("over the rate", fasthttp.StatusTooManyRequests)
		return false
	}
	slow := time.Duration(f.SlowMS) * time.Millisecond
	return slow == 0 || s.cfg.Pace.sleep(slow, s.done)
}

// loseReply drops the answer of a write that took effect, where ordered.
func (s *Store) loseReply(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	lose := s.faults.LoseNext > 0
	if lose {
		s.faults.LoseNext--
	} else if p := s.faults.LoseProbability; p > 0 {
		lose = s.faults.rng.Float64() < p
	}
	if lose {
		s.counts.Lost++
	}
	silently := s.faults.LoseSilently
	s.mu.Unlock()
	if !lose {
		return
	}
	if silently {
		hold(ctx)
		return
	}
	drop(ctx)
}

// hold leaves the connection open and never answers.
func hold(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(silentLimit))
		var b [512]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	})
}

// drop cuts the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// control serves /control: GET or POST faults, GET counts, PUT instances, POST
// connections/cut and connections/silence.
func (s *Store) control(ctx *fasthttp.RequestCtx, parts []string) {
	switch strings.Join(parts, "/") {
	case "faults":
		var f StoreFaults
		if ctx.IsPost() && readJSON(ctx, &f) {
			s.SetFaults(f)
		}
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			writeJSON(ctx, s.Faults())
		}
	case "counts":
		writeJSON(ctx, s.Counts())
	case "instances":
		var entries []objectapi.InstanceEntry
		if readJSON(ctx, &entries) {
			s.SetInstances(entries)
		}
	case "connections/cut":
		s.CutOpen()
	case "connections/silence":
		s.SilenceOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}

// readJSON decodes the body; it answers 400 and returns false where it cannot.
func readJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
