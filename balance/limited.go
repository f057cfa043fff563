package balance

import (
	"cmp"
	"slices"
	"time"
)

// Limiter says which endpoints take no more requests for now, by the rates that they name.
type Limiter interface {
	// Limited reports whether an endpoint names a rate.
	Limited(endpoint string) bool
	// Free reports whether an endpoint that names one takes another request now. reserve is
	// the part of what it takes at once that has to be left afterwards, from 0 to 1.
	Free(now time.Time, endpoint string, reserve float64) bool
	// FreeIn returns how long it is until it takes one that is refused now. ok is false while
	// this instance has just started and does not know yet what others have sent.
	FreeIn(now time.Time, endpoint string) (d time.Duration, ok bool)
}

// unlimited is the Limiter of endpoints that name no rates.
type unlimited struct{}

func (unlimited) Limited(string) bool                            { return false }
func (unlimited) Free(time.Time, string, float64) bool           { return true }
func (unlimited) FreeIn(time.Time, string) (time.Duration, bool) { return 0, true }

// lowestRank is that of the least urgent requests.
const lowestRank = 9

// considerLimited chooses an endpoint that names a rate where one is better than the others
// and takes the request. smaller is the share of the service's requests that are smaller than
// this one.
//
// Load: some endpoints of a busy pool name a rate, in requests, far below what they got.
// Harm prevented: spent on the requests that happen to come, the rate relieves the others of
// little; spent on the largest, of most of the work. And requests that wait for an endpoint
// which caches their prompt while others idle.
//
// Where no other endpoint takes the request, the urgent ones come first.
func (c *chooser) considerLimited(smaller float64) {
	slices.SortFunc(c.limited, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	reserve := c.reserve(smaller)
	for _, l := range c.limited {
		if c.best.endpoint != nil && l.cost >= c.best.cost {
			return
		}
		if c.limits.Free(c.now, l.ID, reserve) {
			c.best = l
			return
		}
		if c.passedOver == "" {
			c.passedOver = l.ID
		}
	}
}

// reserve is the part of what an endpoint takes at once that has to be left for requests
// that are worth more of its rate. One that has begun elsewhere leaves none.
func (c *chooser) reserve(smaller float64) float64 {
	switch {
	case c.ask.Again:
		return 0
	case c.best.endpoint != nil:
		return 1 - smaller
	}
	return float64(min(max(c.ask.Rank, 0), lowestRank)) / lowestRank
}

// sizesKept is how many requests of a service are compared with.
const sizesKept = 64

// sizes are those of the requests that were sent to a service lately, in tokens.
type sizes struct {
	ring [sizesKept]int64
	next int
	full bool
}

func (z *sizes) add(size int64) {
	z.ring[z.next] = size
	z.next = (z.next + 1) % sizesKept
	z.full = z.full || z.next == 0
}

// smaller is the share of the sizes that are below one; equal ones count half.
func (z *sizes) smaller(size int64) float64 {
	list := z.ring[:z.next]
	if z.full {
		list = z.ring[:]
	}
	if len(list) == 0 {
		return 0.5
	}
	n := 0.0
	for _, other := range list {
		switch {
		case other < size:
			n++
		case other == size:
			n += 0.5
		}
	}
	return n / float64(len(list))
}

// sizesOf returns the sizes of a service's requests; the mutex is held.
func (s *State) sizesOf(service string) *sizes {
	z := s.sizes[service]
	if z == nil {
		z = &sizes{}
		s.sizes[service] = z
	}
	return z
}
