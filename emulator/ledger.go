package emulator

import (
	"strings"
	"sync"

	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// ledgerLimit bounds the names that each counter, and the blocks that a BlockLedger, keeps.
	ledgerLimit = 1 << 20

	markerOpen  = "[[caller-request "
	markerClose = "]]"

	// PoisonText crashes every engine that runs a prompt, and every plain service that runs a call,
	// which contains it.
	PoisonText = "[[crash the engine]]"
)

// Marker returns the text to put into a prompt or a body so that endpoints count the runs of a
// caller's request, whichever ids the router assigns to it.
func Marker(name string) string { return markerOpen + name + markerClose }

// markerOf returns the name in the last marker of a text, or an empty string.
func markerOf(text string) string {
	at := strings.LastIndex(text, markerOpen)
	if at < 0 {
		return ""
	}
	name, _, ok := strings.Cut(text[at+len(markerOpen):], markerClose)
	if !ok {
		return ""
	}
	return name
}

// Ledger counts the runs of requests at all endpoints that share it, for a bounded number of
// requests. It is safe for concurrent use.
type Ledger struct {
	mu  sync.Mutex
	ids runCounter
	// attempts counts by the request id of the caller's attempt, without the number that the router
	// appends to the ids of its resends.
	attempts runCounter
	markers  runCounter
	keys     runCounter
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ids: runCounter{}, attempts: runCounter{}, markers: runCounter{}, keys: runCounter{}}
}

// runCounter counts runs by name. Once it is full, new names are not counted.
type runCounter map[string]int

func (c runCounter) add(name string) {
	if name == "" {
		return
	}
	if _, ok := c[name]; ok || len(c) < ledgerLimit {
		c[name]++
	}
}

// run counts one start of a request.
func (l *Ledger) run(id, marker, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids.add(id)
	attempt, _, _ := strings.Cut(id, ".")
	l.attempts.add(attempt)
	l.markers.add(marker)
	l.keys.add(key)
}

// ByID returns how often requests with the router's id were started.
func (l *Ledger) ByID(id string) int { return l.runs(l.ids, id) }

// ByAttempt returns how often a caller's attempt was started, by the id that the router assigned to
// it. The router's second and later sends of an attempt have that id and a number.
func (l *Ledger) ByAttempt(id string) int { return l.runs(l.attempts, id) }

// ByMarker returns how often requests with the marker name were started.
func (l *Ledger) ByMarker(name string) int { return l.runs(l.markers, name) }

// ByKey returns how often requests with the Idempotency-Key were started.
func (l *Ledger) ByKey(key string) int { return l.runs(l.keys, key) }

func (l *Ledger) runs(c runCounter, name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c[name]
}

func (l *Ledger) copyIDs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.ids))
	for id, n := range l.ids {
		runs[id] = n
	}
	return runs
}

// BlockLedger records which blocks have been computed by any of the engines that share it. It is
// safe for concurrent use.
type BlockLedger struct {
	mu   sync.Mutex
	seen map[prefix.Hash]struct{}
}

// NewBlockLedger returns an empty ledger.
func NewBlockLedger() *BlockLedger {
	return &BlockLedger{seen: map[prefix.Hash]struct{}{}}
}

// compute records blocks and returns how many of them had been computed before.
func (l *BlockLedger) compute(blocks []prefix.Hash) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	recomputed := 0
	for _, b := range blocks {
		if _, ok := l.seen[b]; ok {
			recomputed++
		} else if len(l.seen) < ledgerLimit {
			l.seen[b] = struct{}{}
		}
	}
	return recomputed
}
