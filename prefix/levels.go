package prefix

import "encoding/binary"

const (
	// levelWays blocks share a set of the table; the one unseen for longest
	// makes room.
	levelWays = 4
	// DefaultLevelSets bounds a Levels to a megabyte: 64k blocks, the shared
	// prompts of some 300 families of 200 blocks.
	DefaultLevelSets = 1 << 14
	// maxFixedPlace is, in blocks, beyond what most companies' own text needs:
	// 2,048 tokens with blocks of 64.
	maxFixedPlace = 32
)

// seenBlock is what is remembered of one block: one block that followed it, and
// whether there were others.
type seenBlock struct {
	key   uint64
	child uint32
	// used is the tick of the last use; the lowest bit says that prompts part
	// after this block.
	used uint32
}

// Levels finds where prompts part. Prompts of one organisation share levels,
// such as a company's text, then a catalogue, then a customer's sheet; where
// several prompts go on differently after the same block, a level ends.
//
// Its memory is fixed; what it forgets costs a worse placing key until it is
// seen again. One goroutine may use it.
type Levels struct {
	sets [][levelWays]seenBlock
	tick uint32
}

// NewLevels returns an empty table of the given number of sets, a power of two.
func NewLevels(sets int) *Levels { return &Levels{sets: make([][levelWays]seenBlock, sets)} }

// Observe notes a prompt's blocks.
func (l *Levels) Observe(salt Hash, chain []Hash) {
	l.tick += 2
	parent := salt
	for _, h := range chain {
		l.note(parent, h)
		parent = h
	}
	if len(chain) > 0 {
		l.note(parent, Hash{})
	}
}

// note remembers that child followed parent; a zero child says that the prompt
// ended, which no other prompt has to do.
func (l *Levels) note(parent, child Hash) {
	key := binary.LittleEndian.Uint64(parent[:8])
	next := binary.LittleEndian.Uint32(child[8:12])
	b := l.find(key)
	if b == nil {
		b = l.oldest(key)
		*b = seenBlock{key: key, child: next, used: l.tick}
		return
	}
	parted := b.used & 1
	if b.child == 0 {
		b.child = next
	}
	if next != 0 && b.child != next {
		parted = 1
	}
	b.used = l.tick | parted
}

// Key returns the hash by which the prompt is placed: the first block of the
// level that has the most blocks which earlier prompts shared, the first level
// of an organisation left aside.
//
// It is made for organisations whose prompts all begin alike. Placed by their
// first level, all work of a large organisation would go to one endpoint;
// placed by the last, each customer's prompt would bring the whole catalogue
// to another one. The longest shared level is the one that costs most to hold
// twice. Any of its blocks names it.
//
// An instance that has just started knows no levels. It takes a block at a
// fixed place, and goes on to take that one when the level that it has found
// holds it: so a restart of all instances moves no prompts, unless the text
// that all prompts of an organisation share is longer than that place.
//
// hint is the number of leading blocks that the caller says all of its prompts
// share; 0 leaves it to what was observed.
func (l *Levels) Key(salt Hash, chain []Hash, hint int) Hash {
	if len(chain) == 0 {
		return salt
	}
	if hint > 0 {
		return chain[min(hint, len(chain)-1)]
	}
	place := fixedPlace(len(chain))
	start, end := l.longestShared(salt, chain)
	if start < 0 || start <= place && place < end {
		return chain[place]
	}
	return chain[start]
}

func (l *Levels) seen(h Hash) bool { return l.find(binary.LittleEndian.Uint64(h[:8])) != nil }

// fixedPlace is where a prompt of the given number of blocks is taken to have
// left the text that its whole organisation shares.
func fixedPlace(blocks int) int {
	for place := maxFixedPlace; place > 1; place /= 2 {
		if blocks > place+place/2 {
			return place
		}
	}
	return 0
}

// longestShared finds the level with the most blocks that were seen before,
// from its first block to the first one after it, the organisation's first
// level left aside; -1 where none is known.
func (l *Levels) longestShared(salt Hash, chain []Hash) (int, int) {
	best, bestEnd, bestSeen := -1, 0, -1
	start, seen := -1, 0
	parent := salt
	for i, h := range chain {
		if l.partsAfter(parent) {
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

// Ends appends to dst how many leading blocks of the prompt end a level that
// other prompts were seen to share, shortest first.
func (l *Levels) Ends(dst []int, chain []Hash) []int {
	for i, h := range chain {
		if l.partsAfter(h) {
			dst = append(dst, i+1)
		}
	}
	return dst
}

func (l *Levels) partsAfter(h Hash) bool {
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

func (l *Levels) oldest(key uint64) *seenBlock {
	set := l.set(key)
	oldest := &set[0]
	for i := range set {
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	return oldest
}
