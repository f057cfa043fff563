package exchange

import (
	"math/bits"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Bundle is what one message carries of the shared state.
type Bundle struct {
	Items     []*fleetpb.Item
	Summaries []*fleetpb.Summary
	Want      []*fleetpb.ItemKey

	// told are the changes behind Items, and after them those behind
	// Summaries, for Known.
	toldItems, toldSummaries []*held
}

// Empty reports whether there is nothing to send.
func (b *Bundle) Empty() bool { return len(b.Items)+len(b.Summaries)+len(b.Want) == 0 }

// Bytes estimates the size of the bundle on the wire.
func (b *Bundle) Bytes() int {
	n := 0
	for _, it := range b.Items {
		n += overheadBytes + len(it.GetKey().GetName()) + len(it.GetValue())
	}
	for _, s := range b.Summaries {
		n += overheadBytes + len(s.GetKey().GetName())
	}
	for _, k := range b.Want {
		n += overheadBytes/2 + len(k.GetName())
	}
	return n
}

// lowFrom is the size of a fleet from which on use by organisation and minor
// changes are told with the regular calls only: each instance makes them all the
// time, and pushes for each would cost more than a lag of seconds does.
const lowFrom = 16

// uselessBound is after how many peers that knew a change already it is not
// told any more. It ends most changes at a third of the sends that SendLimit
// allows; what it misses is found by the compare.
const uselessBound = 3

// overheadBytes is what an item needs on the wire beside name and value.
const overheadBytes = 32

// SendLimit is how often a change is sent by each instance of a fleet of n.
// Each transmission reaches a random peer, so a few times the logarithm of n
// reach all but a handful, which the compare finds.
func SendLimit(n int) int {
	return min(maxSends, 2+bits.Len(uint(max(n, 1)))*3/2)
}

// HasHot reports whether a change is still to be sent in a fleet of n.
func (s *Store) HasHot(n int) bool {
	for i := range SendLimit(n) {
		for _, h := range s.hot[i] {
			if h.waits(i) && (n <= lowFrom || !h.low) {
				return true
			}
		}
	}
	return false
}

// waits reports whether an entry of the hot list is still to be sent.
func (h *held) waits(sends int) bool {
	return !h.gone && h.sends == sends && h.useless < uselessBound
}

// Next appends to the bundle the changes that were sent least often, up to the
// number of bytes, and counts them as sent to the peer in a fleet of n. A
// change is not sent back to the peer that told it.
//
// It is made for a burst of changes, such as a lost rack: the newest changes
// overtake those that most peers have already, and the bound keeps the cost of
// each message fixed, whatever the fleet's size.
func (s *Store) Next(b *Bundle, peer string, n, maxBytes int, now time.Time) {
	limit := SendLimit(n)
	left := s.next(b, peer, limit, maxBytes, false, now)
	s.next(b, peer, limit, left, true, now)
}

// next appends the changes that are low or not, and returns the bytes left.
func (s *Store) next(b *Bundle, peer string, limit, maxBytes int, low bool, now time.Time) int {
	var sent []*held
	for i := 0; i < limit && maxBytes > 0; i++ {
		queue := s.hot[i]
		kept := queue[:0]
		for _, h := range queue {
			switch {
			case !h.waits(i):
			case h.low != low || maxBytes <= 0:
				kept = append(kept, h)
			default:
				if h.source != peer || peer == "" {
					maxBytes -= s.send(b, h, now)
				}
				sent = append(sent, h)
			}
		}
		clear(queue[len(kept):])
		s.hot[i] = kept
	}
	for _, h := range sent {
		h.sends++
		if h.sends < limit {
			s.hot[h.sends] = append(s.hot[h.sends], h)
		}
	}
	return maxBytes
}

// Known takes what a peer says it knew already of the items and summaries that
// the bundle told it.
func (b *Bundle) Known(indexes []uint32) {
	for _, index := range indexes {
		i := int(index)
		if i < len(b.toldItems) {
			b.toldItems[i].useless++
		}
		if i -= len(b.Items); i >= 0 && i < len(b.toldSummaries) {
			b.toldSummaries[i].useless++
		}
	}
}

// Agreed is called when a peer of a fleet of n turned out to hold the same: all
// changes count as sent to it. Without it, an instance that starts with a few
// thousand items would tell each of them to peers that have had them for long.
func (s *Store) Agreed(n int) {
	limit := SendLimit(n)
	for i := limit - 1; i >= 0; i-- {
		queue := s.hot[i]
		s.hot[i] = nil
		for _, h := range queue {
			if !h.waits(i) {
				continue
			}
			if h.TTL > 0 {
				s.hot[i] = append(s.hot[i], h)
				continue
			}
			if h.sends++; h.sends < limit {
				s.hot[h.sends] = append(s.hot[h.sends], h)
			}
		}
	}
}

// send adds the item, or its summary where it is large, and returns its bytes.
func (s *Store) send(b *Bundle, h *held, now time.Time) int {
	if len(h.Value) > inlineBytes {
		b.Summaries = append(b.Summaries, h.summary())
		b.toldSummaries = append(b.toldSummaries, h)
		return overheadBytes + len(h.Key.Name)
	}
	b.Items = append(b.Items, h.message(now))
	b.toldItems = append(b.toldItems, h)
	return overheadBytes + len(h.Key.Name) + len(h.Value)
}

func (h *held) summary() *fleetpb.Summary {
	return &fleetpb.Summary{Key: h.Key.message(), Epoch: h.Epoch, Version: h.Version}
}

func (h *held) message(now time.Time) *fleetpb.Item {
	m := &fleetpb.Item{Key: h.Key.message(), Epoch: h.Epoch, Version: h.Version, Value: h.Value}
	if !h.expires.IsZero() {
		m.TtlMs = max(1, h.expires.Sub(now).Milliseconds())
	}
	return m
}

// Take merges the items of a message from the peer and returns those that were
// new here.
func (s *Store) Take(items []*fleetpb.Item, peer string, now time.Time) []Item {
	var changed []Item
	for _, m := range items {
		it := Item{
			Key:     keyOf(m.GetKey()),
			Epoch:   m.GetEpoch(),
			Version: m.GetVersion(),
			Value:   m.GetValue(),
			TTL:     time.Duration(m.GetTtlMs()) * time.Millisecond,
		}
		if s.Put(it, peer, now) {
			changed = append(changed, it)
		}
	}
	return changed
}

// Correct adds to the bundle what is held in a newer version than the peer's
// items. Without it a peer would keep, and show in every compare, a state that
// was replaced by one with a TTL, such as a dead member's.
func (s *Store) Correct(b *Bundle, items []*fleetpb.Item, now time.Time) {
	for _, m := range items {
		h := s.items[keyOf(m.GetKey())]
		if h != nil && less(m.GetEpoch(), m.GetVersion(), h.Epoch, h.Version) {
			b.Items = append(b.Items, h.message(now))
		}
	}
}

// Stale lists the indexes of the items, and after them of the summaries, that
// would tell this store nothing new.
func (s *Store) Stale(items []*fleetpb.Item, summaries []*fleetpb.Summary) (known []uint32) {
	for i, m := range items {
		h := s.items[keyOf(m.GetKey())]
		if h != nil && !less(h.Epoch, h.Version, m.GetEpoch(), m.GetVersion()) {
			known = append(known, uint32(i))
		}
	}
	for i, m := range summaries {
		h := s.items[keyOf(m.GetKey())]
		if h != nil && !less(h.Epoch, h.Version, m.GetEpoch(), m.GetVersion()) {
			known = append(known, uint32(len(items)+i))
		}
	}
	return known
}

// Adopt merges all that a peer holds into the store of a starting instance. The
// peer's peers have it, so it is not told on.
func (s *Store) Adopt(items []*fleetpb.Item, peer string, now time.Time) []Item {
	s.quiet = true
	defer func() { s.quiet = false }()
	return s.Take(items, peer, now)
}

// Answer adds to the bundle what the peer has asked for or, by its summaries,
// holds in an older version, and asks for what it holds in a newer one.
func (s *Store) Answer(b *Bundle, want []*fleetpb.ItemKey, summaries []*fleetpb.Summary, now time.Time) {
	for _, k := range want {
		if h := s.items[keyOf(k)]; h != nil {
			b.Items = append(b.Items, h.message(now))
		}
	}
	for _, sum := range summaries {
		h := s.items[keyOf(sum.GetKey())]
		if h == nil || less(h.Epoch, h.Version, sum.GetEpoch(), sum.GetVersion()) {
			b.Want = append(b.Want, sum.GetKey())
		} else if less(sum.GetEpoch(), sum.GetVersion(), h.Epoch, h.Version) {
			b.Items = append(b.Items, h.message(now))
		}
	}
}

func less(epochA, versionA, epochB, versionB uint64) bool {
	return epochA < epochB || epochA == epochB && versionA < versionB
}
