package prefix

import "encoding/binary"

const (
	// levelWays blocks share a set of the table; the one unseen for longest
	// makes room.
	levelWays = 4
	// DefaultLevelSets bounds a Levels to a megabyte: 64k blocks, the shared
	// prompts of some 300 families of 200 blocks.
	DefaultLevelSets = 1 << 14
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
// twice. Its first block is known before its end is: a catalogue that was never
// seen gets the key that it keeps.
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
	best, bestLength := -1, -1
	start, length := -1, 0
	parent := salt
	for i, h := range chain {
		if l.partsAfter(parent) {
			if start >= 0 && length > bestLength {
				best, bestLength = start, length
			}
			start, length = i, 0
		}
		if l.find(binary.LittleEndian.Uint64(h[:8])) != nil {
			length++
		}
		parent = h
	}
	if start >= 0 && length > bestLength {
		best = start
	}
	if best < 0 {
		return chain[0]
	}
	return chain[best]
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
