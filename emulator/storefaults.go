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

// OutageKind is the way in which a stand-in fails during an outage.
type OutageKind string

// The kinds of outage.
const (
	// OutageNone means no outage.
	OutageNone OutageKind = ""
	// OutageRefuse responds with status 503 and ends open watches.
	OutageRefuse OutageKind = "refuse"
	// OutageSilent accepts calls and never responds.
	OutageSilent OutageKind = "silent"
)

// StoreFaults are the faults injected at the object API.
type StoreFaults struct {
	Outage OutageKind `json:"outage"`
	// SlowMS is added to the duration of every call.
	SlowMS int64 `json:"slow_ms"`
	// The next LoseNext writes take effect, but their responses are lost.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the share of writes that take effect but whose responses are lost.
	LoseProbability float64 `json:"lose_probability"`
	// LoseSilently leaves the connection of a lost response open and unresponsive; otherwise it is
	// closed.
	LoseSilently bool `json:"lose_silently"`
	// CutInstances are the names of instances that get no response; see header X-Instance.
	CutInstances []string `json:"cut_instances"`
}

type storeFaults struct {
	StoreFaults
	rng *rand.Rand
}

func newStoreFaults(seed int64) storeFaults {
	return storeFaults{rng: rand.New(rand.NewPCG(uint64(seed), 2))}
}

func (f *storeFaults) isCut(instance string) bool {
	return instance != "" && slices.Contains(f.CutInstances, instance)
}

// SetFaults replaces all injected faults by f.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults.StoreFaults = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if f.Outage == OutageSilent {
		s.listener.stallOpen()
	}
}

// Faults returns the injected faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.StoreFaults
}

// StallOpen makes the currently open connections unresponsive without closing them.
func (s *Store) StallOpen() { s.listener.stallOpen() }

// Down emulates a stopped process: connections are refused until Up is called. Stored objects are
// kept.
func (s *Store) Down() error { return s.listener.down() }

// Up accepts connections again after Down.
func (s *Store) Up() error { return s.listener.up() }

// CutOpen closes the currently open connections.
func (s *Store) CutOpen() { s.listener.cut() }

// admit counts a call and applies faults and rate limits before the call takes effect. It reports
// whether to process the call.
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
	cut := s.faults.isCut(string(ctx.Request.Header.Peek(headerInstance)))
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
		neverRespond(ctx)
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

// loseReply drops the response of a write that took effect, if the faults say so.
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
		neverRespond(ctx)
		return
	}
	drop(ctx)
}

// neverRespond leaves the connection open and sends no response.
func neverRespond(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(unresponsiveTimeout))
		var b [512]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	})
}

// drop closes the connection without a response.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// control serves /control/: GET and POST faults, GET counts, PUT instances, POST connections/cut
// and connections/silence.
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
		s.StallOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}

// readJSON decodes the request body into into. If it cannot, it responds with status 400 and
// returns false.
func readJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
