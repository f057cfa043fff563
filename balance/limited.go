package balance

import (
	"cmp"
	"slices"
	"time"
)

// Limiter decides which endpoints take no more requests for now, by the rate limits that
// they advertise.
type Limiter interface {
	// Limited reports whether an endpoint has a rate limit.
	Limited(endpoint string) bool
	// Free reports whether an endpoint with a rate limit takes another request now. reserve
	// is the fraction of its burst, from 0 to 1, that must be left afterwards.
	Free(now time.Time, endpoint string, reserve float64) bool
	// FreeIn returns the time until the endpoint takes a request that is refused now. ok is
	// false while this instance has just started and does not yet know what other instances
	// have sent.
	FreeIn(now time.Time, endpoint string) (d time.Duration, ok bool)
}

// unlimited is the Limiter of endpoints without rate limits.
type unlimited struct{}

func (unlimited) Limited(string) bool                            { return false }
func (unlimited) Free(time.Time, string, float64) bool           { return true }
func (unlimited) FreeIn(time.Time, string) (time.Duration, bool) { return 0, true }

// lowestRank is the rank of the least urgent requests.
const lowestRank = 9

// considerLimited chooses the cheapest endpoint with a rate limit that is cheaper than all
// endpoints without one and takes the request. smaller is the fraction of the service's
// recent requests that are smaller than this one.
//
// A limit is a number of requests, and in a busy pool it is far below what the endpoint
// would get. Spent on requests in order of arrival, it relieves the other endpoints of
// little work; spent on the largest requests, of most of it. Requests also must not wait for
// a limited endpoint that has their prompt cached while others idle.
//
// If there is no endpoint without a limit, urgent requests are preferred.
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
		if c.overLimit.endpoint == nil {
			c.overLimit = l
		}
	}
}

// reserve returns the fraction of an endpoint's burst that must be left for requests that
// make better use of its limit. A retry need not leave any.
func (c *chooser) reserve(smaller float64) float64 {
	switch {
	case c.ask.Again:
		return 0
	case c.best.endpoint != nil:
		return 1 - smaller
	}
	return float64(min(max(c.ask.Rank, 0), lowestRank)) / lowestRank
}

// sizeSamples is the number of recent requests of a service with which a request's size is
// compared.
const sizeSamples = 64

// sizes is a ring buffer of the sizes, in tokens, of the latest requests sent to a service.
type sizes struct {
	ring [sizeSamples]int64
	next int
	full bool
}

func (z *sizes) add(size int64) {
	z.ring[z.next] = size
	z.next = (z.next + 1) % sizeSamples
	z.full = z.full || z.next == 0
}

// smaller returns the fraction of the sizes that are below size; equal ones count half.
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

// sizesOf returns the sizes of a service's requests. The caller must hold s.mu.
func (s *State) sizesOf(service string) *sizes {
	z := s.sizes[service]
	if z == nil {
		z = &sizes{}
		s.sizes[service] = z
	}
	return z
}
