package kvoffload

import "time"

const (
	// minBlocks is the least number of blocks that an export has to add to what is
	// stored already. Fewer are computed in the time an import takes to start.
	minBlocks = 8
	// exportInterval and exportBurst are the parameters of the token bucket that
	// limits an instance's exports. An export takes bandwidth from an engine that
	// is serving requests, and at the start of a burst of new prompts every level
	// of every prompt would be due at once.
	exportInterval = 250 * time.Millisecond
	exportBurst    = 8
)

// Selector decides which prefixes are worth an export. It does no I/O and reads no
// clock. It is not safe for concurrent use.
//
// It is designed for prompts with several levels of shared prefixes and for engine
// caches that evict within seconds. Each level that several prompts share is exported
// once, so that an endpoint that has evicted it, or never had it, need not compute it.
// Levels end where prompts were observed to diverge, so the end of a single prompt,
// which no other prompt can use, is never exported.
type Selector struct {
	tokens float64
	filled time.Time
}

// NewSelector returns a Selector with a full token bucket.
func NewSelector() *Selector { return &Selector{tokens: exportBurst} }

// Next returns the level to export now: the shortest one that adds at least minBlocks
// to the stored blocks. It returns 0 if there is none or the rate limit is reached.
func (s *Selector) Next(now time.Time, storedBlocks int, levels []int) int {
	for _, blocks := range levels {
		if blocks < storedBlocks+minBlocks {
			continue
		}
		if !s.take(now) {
			return 0
		}
		return blocks
	}
	return 0
}

// take takes a token from the bucket and reports whether there was one.
func (s *Selector) take(now time.Time) bool {
	if !s.filled.IsZero() {
		s.tokens = min(s.tokens+float64(now.Sub(s.filled))/float64(exportInterval), exportBurst)
	}
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
