package kept

import "time"

const (
	// minBlocks is what an export has to add to what is kept already. What is
	// shorter is computed in the time that an import takes to begin.
	minBlocks = 8
	// exportEvery and exportBurst bound an instance's exports. An export takes
	// bandwidth from an engine that serves requests; at the start of a burst
	// every level of every prompt would be due at once.
	exportEvery = 250 * time.Millisecond
	exportBurst = 8
)

// Selector decides which prefixes are worth an export. It is pure; one
// goroutine may use it.
//
// It is made for prompts of several levels under caches that evict within
// seconds: each level that several prompts share is kept once, so that an
// endpoint that has lost it, or never had it, need not compute it. The ends of
// levels are where prompts were seen to part, so a prompt's own end, which
// nobody else could use, is never written.
type Selector struct {
	tokens float64
	filled time.Time
}

// NewSelector returns a selector with its whole burst.
func NewSelector() *Selector { return &Selector{tokens: exportBurst} }

// Next returns the level that is due for export now: the shortest one that adds
// minBlocks to the kept blocks. It returns 0 where none is due.
func (s *Selector) Next(now time.Time, keptBlocks int, levels []int) int {
	for _, blocks := range levels {
		if blocks < keptBlocks+minBlocks {
			continue
		}
		if !s.take(now) {
			return 0
		}
		return blocks
	}
	return 0
}

func (s *Selector) take(now time.Time) bool {
	if !s.filled.IsZero() {
		s.tokens = min(s.tokens+float64(now.Sub(s.filled))/float64(exportEvery), exportBurst)
	}
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
