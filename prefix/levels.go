package prefix

import "encoding/binary"

const (
	// levelWays is the number of blocks in each set of the table. The least recently used one is
	// replaced.
	levelWays = 4
	// DefaultLevelSets limits a Levels to a megabyte: 64k blocks, which is enough for the shared
	// prompts of some 300 families of 200 blocks.
	DefaultLevelSets = 1 << 14
	// maxDefaultPosition, in blocks, is beyond the text that most organisations put at the start
	// of all prompts: 2,048 tokens with blocks of 64.
	maxDefaultPosition = 32
)

// seenBlock records one block: one block that followed it, and whether there were others.
type seenBlock struct {
	key   uint64
	child uint32
	// used is the tick of the last use. Its lowest bit is set if prompts branch after this block.
	used uint32
}

// Levels detects where prompts diverge. The prompts of an organisation share levels, such as a
// company text, then a catalogue, then a customer sheet. A level ends at a block after which
// several prompts continue differently.
//
// Its memory is fixed. Evicting a block makes the placement key worse until the block is seen
// again. It is not safe for concurrent use.
type Levels struct {
	sets [][levelWays]seenBlock
	tick uint32
}

// NewLevels returns an empty table with the given number of sets, which must be a power of two.
func NewLevels(sets int) *Levels { return &Levels{sets: make([][levelWays]seenBlock, sets)} }

// Observe records the blocks of a prompt.
func (l *Levels) Observe(salt Hash, chain []Hash) {
	l.tick += 2
	parent := salt
	for _, h := range chain {
		l.record(parent, h)
		parent = h
	}
	if len(chain) > 0 {
		l.record(parent, Hash{})
	}
}

// record records that child followed parent. A zero child means that the prompt ended there, which
// does not make it a branch: other prompts may continue.
func (l *Levels) record(parent, child Hash) {
	key := binary.LittleEndian.Uint64(parent[:8])
	next := binary.LittleEndian.Uint32(child[8:12])
	b := l.find(key)
	if b == nil {
		b = l.lru(key)
		*b = seenBlock{key: key, child: next, used: l.tick}
		return
	}
	branched := b.used & 1
	if b.child == 0 {
		b.child = next
	}
	if next != 0 && b.child != next {
		branched = 1
	}
	b.used = l.tick | branched
}

// Key returns the hash by which the prompt is placed: the first block of the level with the most
// blocks that were seen in earlier prompts, not counting the organisation's first level.
//
// It is designed for organisations whose prompts all start with the same text. If prompts were
// placed by the first level, all work of a large organisation would go to one endpoint; if they
// were placed by the last, each customer's prompt would bring the whole catalogue to another
// endpoint. The longest shared level costs most to store twice. Any of its blocks can identify it.
//
// An instance that has just started knows no levels. It uses the block at a default position, and
// keeps using that block if it lies in the level that is found later. A restart of all instances
// thus moves no prompts, unless the text that all prompts of an organisation share is longer than
// that position.
//
// hint is the number of leading blocks that, according to the caller, all of its prompts share.
// With 0 the key depends only on the observed prompts.
func (l *Levels) Key(salt Hash, chain []Hash, hint int) Hash {
	if len(chain) == 0 {
		return salt
	}
	if hint > 0 {
		return chain[min(hint, len(chain)-1)]
	}
	position := defaultPosition(len(chain))
	start, end := l.longestShared(salt, chain)
	if start < 0 || start <= position && position < end {
		return chain[position]
	}
	return chain[start]
}

func (l *Levels) seen(h Hash) bool { return l.find(binary.LittleEndian.Uint64(h[:8])) != nil }

// defaultPosition returns the index of the block at which a prompt of the given number of blocks
// is assumed to be past the text that its whole organisation shares.
func defaultPosition(blocks int) int {
	for position := maxDefaultPosition; position > 1; position /= 2 {
		if blocks > position+position/2 {
			return position
		}
	}
	return 0
}

// longestShared returns the level with the most blocks that were seen before, as the index of its
// first block and the index after its last one. The organisation's first level is not considered.
// The start is -1 if no level is known.
func (l *Levels) longestShared(salt Hash, chain []Hash) (int, int) {
	best, bestEnd, bestSeen := -1, 0, -1
	start, seen := -1, 0
	parent := salt
	for i, h := range chain {
		if l.branchesAfter(parent) {
			if start >= 0 && seen > bestSeen {
				best, bestEnd, bestSeen = start, i, seen
			}
			start, seen = i, 0
		}
		if l.seen(h) {
			seen++
		}
		parent = h
	}
	if start >= 0 && seen > bestSeen {
		best, bestEnd = start, len(chain)
	}
	return best, bestEnd
}

// Ends appends to dst the numbers of leading blocks of the prompt at which a level ends that other
// prompts share, in ascending order.
func (l *Levels) Ends(dst []int, chain []Hash) []int {
	for i, h := range chain {
		if l.branchesAfter(h) {
			dst = append(dst, i+1)
		}
	}
	return dst
}

func (l *Levels) branchesAfter(h Hash) bool {
	b := l.find(binary.LittleEndian.Uint64(h[:8]))
	return b != nil && b.used&1 == 1
}

func (l *Levels) set(key uint64) *[levelWays]seenBlock {
	return &l.sets[key>>32&uint64(len(l.sets)-1)]
}

func (l *Levels) find(key uint64) *seenBlock {
	set := l.set(key)
	for i := range set {
		if set[i].key == key && set[i].used != 0 {
			return &set[i]
		}
	}
	return nil
}

// lru returns the least recently used block of the key's set.
func (l *Levels) lru(key uint64) *seenBlock {
	set := l.set(key)
	lru := &set[0]
	for i := range set {
		if set[i].used < lru.used {
			lru = &set[i]
		}
	}
	return lru
}
