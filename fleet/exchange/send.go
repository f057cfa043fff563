package exchange

import (
	"math/bits"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Bundle is the part of the shared state that one message carries.
type Bundle struct {
	Items     []*fleetpb.Item
	Summaries []*fleetpb.Summary
	Want      []*fleetpb.ItemKey

	// itemEntries and summaryEntries are the pending changes that Items and
	// Summaries begin with. MarkRedundant counts sends that a peer did not need.
	itemEntries, summaryEntries []*entry
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

// maxLowPriorityPushFleet is the largest fleet in which low-priority changes
// trigger pushes. These are use by organisation and minor changes. In a larger
// fleet they go out with heartbeats only: each instance makes them all the time,
// and a push for each would cost more than a delay of seconds does.
const maxLowPriorityPushFleet = 16

// maxRedundant is the number of sends of one change to peers that already had it,
// after which the change is not sent any more. Most changes end at a third of the
// sends that SendLimit allows; instances left out are found by the compare.
const maxRedundant = 3

// overheadBytes estimates the size of an item on the wire without its name and
// value.
const overheadBytes = 32

// SendLimit returns how often each instance sends a change in a fleet of n. Each
// send goes to a random peer, so that a few times log n sends reach all but a
// handful of instances; the compare finds these.
func SendLimit(n int) int {
	return min(maxSends, 2+bits.Len(uint(max(n, 1)))*3/2)
}

// HasPending reports whether there is a pending change to push in a fleet of n.
func (s *Store) HasPending(n int) bool {
	for i := range SendLimit(n) {
		for _, e := range s.pending[i] {
			if e.isPending(i) && (n <= maxLowPriorityPushFleet || !e.lowPriority) {
				return true
			}
		}
	}
	return false
}

// isPending reports whether an entry in the queue of entries sent that often is
// still to be sent.
func (e *entry) isPending(sends int) bool {
	return !e.removed && e.sends == sends && e.redundant < maxRedundant
}

// AddPending adds the pending changes that were sent least often to the bundle, up to
// about maxBytes, and counts them as sent to the peer, in a fleet of n. A change
// is not sent back to the peer that it came from.
//
// The order and the limit are made for a burst of changes, such as the loss of a
// rack: the newest changes overtake those that most peers already have, and the
// size of a message does not depend on the fleet's size.
func (s *Store) AddPending(b *Bundle, peer string, n, maxBytes int, now time.Time) {
	limit := SendLimit(n)
	left := s.addPending(b, peer, limit, maxBytes, false, now)
	s.addPending(b, peer, limit, left, true, now)
}

// addPending adds the pending changes of one priority and returns the bytes left.
func (s *Store) addPending(b *Bundle, peer string, limit, maxBytes int, lowPriority bool, now time.Time) int {
	var sent []*entry
	for i := 0; i < limit && maxBytes > 0; i++ {
		queue := s.pending[i]
		kept := queue[:0]
		for _, e := range queue {
			switch {
			case !e.isPending(i):
			case e.lowPriority != lowPriority || maxBytes <= 0:
				kept = append(kept, e)
			default:
				if e.source != peer || peer == "" {
					maxBytes -= s.send(b, e, now)
				}
				sent = append(sent, e)
			}
		}
		clear(queue[len(kept):])
		s.pending[i] = kept
	}
	for _, e := range sent {
		e.sends++
		if e.sends < limit {
			s.pending[e.sends] = append(s.pending[e.sends], e)
		}
	}
	return maxBytes
}

// MarkRedundant counts as redundant the changes of the bundle that the peer already had.
// indexes count the items first and then the summaries, as returned by AlreadyKnown.
func (b *Bundle) MarkRedundant(indexes []uint32) {
	for _, index := range indexes {
		i := int(index)
		if i < len(b.itemEntries) {
			b.itemEntries[i].redundant++
		}
		if i -= len(b.Items); i >= 0 && i < len(b.summaryEntries) {
			b.summaryEntries[i].redundant++
		}
	}
}

// MarkInSync counts all pending changes without a TTL as sent to a peer. It is called
// when the peer, in a fleet of n, has the same root checksum. Without it, an
// instance that starts with a few thousand items would send each of them to peers
// that already have them.
func (s *Store) MarkInSync(n int) {
	limit := SendLimit(n)
	for i := limit - 1; i >= 0; i-- {
		queue := s.pending[i]
		s.pending[i] = nil
		for _, e := range queue {
			if !e.isPending(i) {
				continue
			}
			if e.TTL > 0 {
				s.pending[i] = append(s.pending[i], e)
				continue
			}
			if e.sends++; e.sends < limit {
				s.pending[e.sends] = append(s.pending[e.sends], e)
			}
		}
	}
}

// send adds the item, or its summary if the value is too large to send without a
// request, to the bundle and returns the estimated size in bytes.
func (s *Store) send(b *Bundle, e *entry, now time.Time) int {
	if len(e.Value) > maxInlineBytes {
		b.Summaries = append(b.Summaries, e.summary())
		b.summaryEntries = append(b.summaryEntries, e)
		return overheadBytes + len(e.Key.Name)
	}
	b.Items = append(b.Items, e.message(now))
	b.itemEntries = append(b.itemEntries, e)
	return overheadBytes + len(e.Key.Name) + len(e.Value)
}

func (e *entry) summary() *fleetpb.Summary {
	return &fleetpb.Summary{Key: e.Key.message(), Epoch: e.Epoch, Version: e.Version}
}

func (e *entry) message(now time.Time) *fleetpb.Item {
	m := &fleetpb.Item{Key: e.Key.message(), Epoch: e.Epoch, Version: e.Version, Value: e.Value}
	if !e.expires.IsZero() {
		m.TtlMs = max(1, e.expires.Sub(now).Milliseconds())
	}
	return m
}

// Merge merges the items of a message from the peer and returns those that were
// newer than the ones in the store.
func (s *Store) Merge(items []*fleetpb.Item, peer string, now time.Time) []Item {
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

// AddNewer adds to the bundle the items of which this store has a newer version
// than the peer sent. Without it a peer would keep, and report as a difference in
// every compare, an item that was replaced by one with a TTL, such as the state of
// a dead member.
func (s *Store) AddNewer(b *Bundle, items []*fleetpb.Item, now time.Time) {
	for _, m := range items {
		e := s.items[keyOf(m.GetKey())]
		if e != nil && less(m.GetEpoch(), m.GetVersion(), e.Epoch, e.Version) {
			b.Items = append(b.Items, e.message(now))
		}
	}
}

// AlreadyKnown returns the indexes of the received items and summaries that are not newer
// than the store's. Indexes of summaries follow those of items.
func (s *Store) AlreadyKnown(items []*fleetpb.Item, summaries []*fleetpb.Summary) (known []uint32) {
	for i, m := range items {
		e := s.items[keyOf(m.GetKey())]
		if e != nil && !less(e.Epoch, e.Version, m.GetEpoch(), m.GetVersion()) {
			known = append(known, uint32(i))
		}
	}
	for i, m := range summaries {
		e := s.items[keyOf(m.GetKey())]
		if e != nil && !less(e.Epoch, e.Version, m.GetEpoch(), m.GetVersion()) {
			known = append(known, uint32(len(items)+i))
		}
	}
	return known
}

// MergeSnapshot merges a page of a peer's full state into the store of a starting
// instance. It does not propagate the items, as the rest of the fleet has them.
func (s *Store) MergeSnapshot(items []*fleetpb.Item, peer string, now time.Time) []Item {
	s.skipPropagation = true
	defer func() { s.skipPropagation = false }()
	return s.Merge(items, peer, now)
}

// Reconcile adds to the bundle the items that the peer requested and those that it
// has in an older version according to its summaries. It requests the items that
// the peer has in a newer version.
func (s *Store) Reconcile(b *Bundle, want []*fleetpb.ItemKey, summaries []*fleetpb.Summary, now time.Time) {
	for _, k := range want {
		if e := s.items[keyOf(k)]; e != nil {
			b.Items = append(b.Items, e.message(now))
		}
	}
	for _, sum := range summaries {
		e := s.items[keyOf(sum.GetKey())]
		if e == nil || less(e.Epoch, e.Version, sum.GetEpoch(), sum.GetVersion()) {
			b.Want = append(b.Want, sum.GetKey())
		} else if less(sum.GetEpoch(), sum.GetVersion(), e.Epoch, e.Version) {
			b.Items = append(b.Items, e.message(now))
		}
	}
}

// less reports whether the version of A is older than that of B.
func less(epochA, versionA, epochB, versionB uint64) bool {
	return epochA < epochB || epochA == epochB && versionA < versionB
}
