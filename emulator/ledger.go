package emulator

import (
	"strings"
	"sync"

	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// ledgerLimit bounds the requests, and the blocks, that are remembered.
	ledgerLimit = 1 << 20

	markerOpen  = "[[caller-request "
	markerClose = "]]"

	// PoisonText in a prompt crashes every engine that runs it.
	PoisonText = "[[crash the engine]]"
)

// Marker returns the text by which endpoints count the runs of a caller's
// request, whatever ids the router gives it.
func Marker(name string) string { return markerOpen + name + markerClose }

// markerOf returns the name in a text's last marker, or an empty string.
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

// Ledger counts the runs of requests at all endpoints that share it. It
// remembers a bounded number of them. Any goroutine may use it.
type Ledger struct {
	mu  sync.Mutex
	ids runCounter
	// attempts counts by the id of the caller's attempt, whatever number its sends have.
	attempts runCounter
	markers  runCounter
	keys     runCounter
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ids: runCounter{}, attempts: runCounter{}, markers: runCounter{}, keys: runCounter{}}
}

// runCounter counts by name. Once it is full, new names are not counted.
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

// ByID returns how often requests of the router's id were started.
func (l *Ledger) ByID(id string) int { return l.runs(l.ids, id) }

// ByAttempt returns how often a caller's attempt was started, by the id that the router
// gave it. Its second send and later ones have that id and a number.
func (l *Ledger) ByAttempt(id string) int { return l.runs(l.attempts, id) }

// ByMarker returns how often a caller's request was started.
func (l *Ledger) ByMarker(name string) int { return l.runs(l.markers, name) }

// ByKey returns how often requests with the Idempotency-Key were started.
func (l *Ledger) ByKey(key string) int { return l.runs(l.keys, key) }

// runs reads one of the counters.
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

// BlockLedger remembers which blocks any of the engines that share it has
// computed.
type BlockLedger struct {
	mu   sync.Mutex
	seen map[prefix.Hash]struct{}
}

// NewBlockLedger returns an empty ledger.
func NewBlockLedger() *BlockLedger {
	return &BlockLedger{seen: map[prefix.Hash]struct{}{}}
}

// compute remembers blocks and returns how many had been computed before.
func (l *BlockLedger) compute(blocks []prefix.Hash) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	again := 0
	for _, b := range blocks {
		if _, ok := l.seen[b]; ok {
			again++
		} else if len(l.seen) < ledgerLimit {
			l.seen[b] = struct{}{}
		}
	}
	return again
}
