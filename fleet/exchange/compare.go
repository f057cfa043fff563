package exchange

import (
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// maxSummaries bounds the summaries of one compare; what does not fit is found
// by a later one.
const maxSummaries = 400

// BucketSums returns the sums of all buckets, for a peer to compare.
func (s *Store) BucketSums() []uint64 {
	sums := make([]uint64, Buckets)
	for i := range s.buckets {
		sums[i] = s.buckets[i].sum
	}
	return sums
}

// Differing returns summaries of this store's lasting items in the buckets
// whose sums differ, and the buckets that they cover, counted from 1. It
// begins at the bucket that start selects, so that a store that differs
// everywhere gets to all buckets in time.
func (s *Store) Differing(sums []uint64, start int) ([]*fleetpb.Summary, []uint32) {
	if len(sums) != Buckets {
		return nil, nil
	}
	var list []*fleetpb.Summary
	var covered []uint32
	for i := range Buckets {
		at := (start + i) % Buckets
		if s.buckets[at].sum == sums[at] {
			continue
		}
		if len(list) >= maxSummaries {
			break
		}
		for _, h := range s.buckets[at].keys {
			if h.TTL == 0 {
				list = append(list, h.summary())
			}
		}
		covered = append(covered, uint32(at+1))
	}
	return list, covered
}

// Recent adds summaries of the latest changes to the bundle.
func (s *Store) Recent(b *Bundle) {
	for _, h := range s.recent {
		if !h.gone {
			b.Summaries = append(b.Summaries, h.summary())
		}
	}
}

// Missing adds to the bundle the lasting items of the covered buckets that the
// peer's summaries do not name.
func (s *Store) Missing(b *Bundle, covered []uint32, summaries []*fleetpb.Summary, now time.Time) {
	named := make(map[Key]bool, len(summaries))
	for _, sum := range summaries {
		named[keyOf(sum.GetKey())] = true
	}
	for _, number := range covered {
		if number == 0 || number > Buckets {
			continue
		}
		for k, h := range s.buckets[number-1].keys {
			if h.TTL == 0 && !named[k] {
				b.Items = append(b.Items, h.message(now))
			}
		}
	}
}

// Page returns all items of the buckets from the given one on, counted from 1,
// up to about maxBytes, and the bucket to go on with, or 0 after the last.
func (s *Store) Page(from uint32, maxBytes int, now time.Time) ([]*fleetpb.Item, uint32) {
	var items []*fleetpb.Item
	for at := from; at >= 1 && at <= Buckets; at++ {
		if maxBytes <= 0 {
			return items, at
		}
		for _, h := range s.buckets[at-1].keys {
			items = append(items, h.message(now))
			maxBytes -= overheadBytes + len(h.Key.Name) + len(h.Value)
		}
	}
	return items, 0
}
