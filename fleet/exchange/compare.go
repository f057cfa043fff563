package exchange

import (
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// maxSummaries limits the summaries of one compare; a later compare finds the
// differences that do not fit.
const maxSummaries = 400

// BucketSums returns the checksums of all buckets, for a peer to compare.
func (s *Store) BucketSums() []uint64 {
	sums := make([]uint64, Buckets)
	for i := range s.buckets {
		sums[i] = s.buckets[i].sum
	}
	return sums
}

// Differing returns summaries of the items without a TTL in the buckets whose
// checksums differ from sums, and the numbers of these buckets, counted from 1.
// It begins at bucket start: with a different start each time, two stores that
// differ everywhere get to compare all buckets, although one compare is limited
// to about maxSummaries.
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
		for _, e := range s.buckets[at].keys {
			if e.TTL == 0 {
				list = append(list, e.summary())
			}
		}
		covered = append(covered, uint32(at+1))
	}
	return list, covered
}

// AddRecent adds summaries of the latest changes of items without a TTL to the
// bundle.
func (s *Store) AddRecent(b *Bundle) {
	for _, e := range s.recent {
		if !e.removed {
			b.Summaries = append(b.Summaries, e.summary())
		}
	}
}

// AddMissing adds to the bundle the items without a TTL that are in the covered
// buckets, counted from 1, and not among the peer's summaries.
func (s *Store) AddMissing(b *Bundle, covered []uint32, summaries []*fleetpb.Summary, now time.Time) {
	named := make(map[Key]bool, len(summaries))
	for _, sum := range summaries {
		named[keyOf(sum.GetKey())] = true
	}
	for _, number := range covered {
		if number == 0 || number > Buckets {
			continue
		}
		for k, e := range s.buckets[number-1].keys {
			if e.TTL == 0 && !named[k] {
				b.Items = append(b.Items, e.message(now))
			}
		}
	}
}

// Page returns the items of whole buckets, beginning with bucket from, counted
// from 1, until they reach about maxBytes. It also returns the bucket that the
// next page begins with, or 0 after the last one.
func (s *Store) Page(from uint32, maxBytes int, now time.Time) ([]*fleetpb.Item, uint32) {
	var items []*fleetpb.Item
	for at := from; at >= 1 && at <= Buckets; at++ {
		if maxBytes <= 0 {
			return items, at
		}
		for _, e := range s.buckets[at-1].keys {
			items = append(items, e.message(now))
			maxBytes -= overheadBytes + len(e.Key.Name) + len(e.Value)
		}
	}
	return items, 0
}
