// Package fairshare decides which organisations and ranks get less than their share of a service. It does no I/O and
// takes the time as an argument.
//
// The load that it addresses: a service is asked for more work than it can do, by callers of several organisations
// and ranks. In order of arrival, each is served in proportion to what it asks for: an organisation that asks for a
// tenth of the capacity is refused as often as its neighbour that asks for twice the capacity, and urgent requests
// as often as those that can wait.
//
// Work is a number in any unit that is the same for all requests of a service, such as seconds in a slot or tokens.
// Nothing is reserved: the shares follow from what was asked for in the last seconds.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/internal/ewma"
)

const (
	// memory is the time constant with which past work is forgotten: long enough for the share of an organisation
	// that sends ten requests a second, and short enough to follow a burst.
	memory = 1500 * time.Millisecond
	// maxOrganisations is how many organisations of a service are tracked. The others share one entry.
	maxOrganisations = 64
	// levelInterval is how long a computed fair share is used: a small part of memory, so that computing it costs
	// little per request.
	levelInterval = 25 * time.Millisecond
	// underShare is the part of the fair share below which an organisation is under it. Where one organisation is
	// served alone its share is all that is admitted, and without a margin noise would decide.
	underShare = 0.95
	// contention is the least ratio of work asked for to work admitted at which shares are needed. Estimates that turn out
	// wrong change both sides alike.
	contention = 1.01
	// forgottenWork is the recent work, relative to that of an average request, below which an organisation is no
	// longer tracked. One request is forgotten after 10 s.
	forgottenWork = 0.001
	// workWeight is the smoothing factor of the average work of an organisation's requests.
	workWeight = 0.05
	// ranks is the number of priorities; 0 is the most urgent.
	ranks = 10
	// urgentFactor is how much more often than any less urgent rank a rank is served at least, while there are
	// refusals. It is near the preference of a rank in quotas, and above 1 by more than noise.
	urgentFactor = 1.3
	// minimumRank is the least rate at which a rank is served, relative to all requests that compete.
	minimumRank = 0.5
	// comparableRequests is the number of recent requests of a rank, decayed, with which other ranks are compared.
	comparableRequests = 3
)

// Flow identifies what is tracked.
type Flow struct {
	// Organisation is a hash of its name; 0 for requests without one.
	Organisation uint32
	// Rank is the priority; 0 is the most urgent.
	Rank int
}

// Standing is what a request's organisation and rank get, relative to their shares.
type Standing struct {
	// Organisation and Rank report whether they are under their share.
	Organisation, Rank bool
	// Contended reports whether several organisations compete, RanksContended whether several ranks do.
	Contended, RanksContended bool
}

// Shares tracks the work of one service. It is not safe for concurrent use.
type Shares struct {
	at      time.Time
	tracked map[uint32]*organisation
	// others are all organisations that are not tracked. challenger is the one of them that may replace the smallest
	// tracked one: the majority of recent work among them if there is one, and lead by how much.
	others     organisation
	challenger uint32
	lead       float64
	// all is the average work of a request.
	all ewma.Average
	// ranks counts the requests that compete with others: those of organisations that are not under their share.
	ranks [ranks]rank
	// level is the fair share of an organisation that asks for more than it; infinite without contention. It was
	// computed at levelAt, when competing organisations asked for something.
	level     float64
	levelAt   time.Time
	competing int
}

// organisation is the recent work of one organisation.
type organisation struct {
	asked, admitted float64
	work            ewma.Average
}

// rank is the recent number of requests of one rank.
type rank struct{ asked, admitted float64 }

// ratio returns the rate at which the rank's requests are admitted.
func (r rank) ratio() float64 {
	if r.asked <= 0 {
		return 1
	}
	return r.admitted / r.asked
}

// New returns the shares of a service without requests.
func New() *Shares { return &Shares{tracked: map[uint32]*organisation{}, level: math.Inf(1)} }

// Expect returns the work that a request is expected to need, from the organisation's last ones.
func (s *Shares) Expect(f Flow) float64 {
	o := s.tracked[f.Organisation]
	if o == nil {
		o = &s.others
	}
	switch {
	case o.work.N > 0:
		return o.work.Value
	case s.all.N > 0:
		return s.all.Value
	}
	return 1
}

// Standing returns what a request's organisation and rank get before it.
func (s *Shares) Standing(now time.Time, f Flow) Standing {
	s.decay(now)
	s.updateLevel(now)
	v := Standing{Organisation: s.entry(f.Organisation).admitted < underShare*s.level, Contended: s.competing > 1}
	v.Rank, v.RanksContended = s.rankUnder(clampRank(f.Rank))
	return v
}

// Decided records that a request with the given standing has asked for work, and whether it is admitted. A request
// that waits and is decided again is recorded once.
func (s *Shares) Decided(now time.Time, f Flow, work float64, st Standing, admitted bool) {
	s.decay(now)
	o := s.organisationOf(f.Organisation, work)
	o.asked += work
	r := &s.ranks[clampRank(f.Rank)]
	if !st.Organisation {
		r.asked++
	}
	if !admitted {
		return
	}
	o.admitted += work
	if !st.Organisation {
		r.admitted++
	}
}

// Reverted records that an admitted request did not run.
func (s *Shares) Reverted(now time.Time, f Flow, work float64) {
	s.decay(now)
	o := s.entry(f.Organisation)
	o.admitted, o.asked = max(0, o.admitted-work), max(0, o.asked-work)
}

// Completed records that an admitted request has needed other work than was expected.
func (s *Shares) Completed(now time.Time, f Flow, expected, needed float64) {
	s.decay(now)
	o := s.entry(f.Organisation)
	o.admitted = max(0, o.admitted+needed-expected)
	o.asked = max(0, o.asked+needed-expected)
	o.work.Add(needed, workWeight)
	s.all.Add(needed, workWeight)
}

// decay forgets past work, in steps of levelInterval. Organisations without recent work are not tracked any more.
func (s *Shares) decay(now time.Time) {
	d := now.Sub(s.at)
	if d < levelInterval && !s.at.IsZero() {
		return
	}
	factor := math.Exp(-d.Seconds() / memory.Seconds())
	s.at = now
	for h, o := range s.tracked {
		o.asked *= factor
		o.admitted *= factor
		if max(o.asked, o.admitted) < forgottenWork*s.all.Value {
			delete(s.tracked, h)
		}
	}
	s.others.asked *= factor
	s.others.admitted *= factor
	s.lead *= factor
	for i := range s.ranks {
		s.ranks[i].asked *= factor
		s.ranks[i].admitted *= factor
	}
}

// entry returns the entry in which an organisation is counted.
func (s *Shares) entry(hash uint32) *organisation {
	if o := s.tracked[hash]; o != nil {
		return o
	}
	return &s.others
}

// organisationOf is entry, and begins to track the organisation if there is room, or if it asks for more than the
// smallest tracked one.
func (s *Shares) organisationOf(hash uint32, work float64) *organisation {
	o := s.tracked[hash]
	if o != nil {
		return o
	}
	if len(s.tracked) >= maxOrganisations && !s.replaceSmallest(hash, work) {
		return &s.others
	}
	o = &organisation{}
	s.tracked[hash] = o
	return o
}

// replaceSmallest reports whether an organisation that is not tracked asks for more than the smallest tracked one,
// which then is not tracked any more. The candidate is found by majority vote, so that one entry is enough.
func (s *Shares) replaceSmallest(hash uint32, work float64) bool {
	if hash != s.challenger {
		if s.lead -= work; s.lead < 0 {
			s.challenger, s.lead = hash, -s.lead
		}
		return false
	}
	s.lead += work
	smallest, least := uint32(0), math.Inf(1)
	for h, o := range s.tracked {
		if o.asked < least {
			smallest, least = h, o.asked
		}
	}
	if s.lead <= least {
		return false
	}
	s.others.asked += least
	s.others.admitted += s.tracked[smallest].admitted
	delete(s.tracked, smallest)
	s.lead = 0
	return true
}

// updateLevel computes the max-min fair share: the level at which the organisations, each with what it asks for but
// at most the level, take up what is admitted.
func (s *Shares) updateLevel(now time.Time) {
	if now.Sub(s.levelAt) < levelInterval && !s.levelAt.IsZero() {
		return
	}
	s.levelAt = now
	asked := make([]float64, 0, maxOrganisations+1)
	var admitted, sum float64
	for _, o := range s.tracked {
		asked = append(asked, o.asked)
		admitted += o.admitted
	}
	asked = append(asked, s.others.asked)
	admitted += s.others.admitted
	for _, a := range asked {
		sum += a
	}
	s.competing = 0
	for _, a := range asked {
		if a > sum/(10*maxOrganisations) {
			s.competing++
		}
	}
	s.level = maxMin(asked, admitted)
}

// maxMin returns the max-min fair level of a capacity; infinite if it covers what is asked.
func maxMin(asked []float64, capacity float64) float64 {
	slices.SortFunc(asked, cmp.Compare)
	sum := 0.0
	for _, a := range asked {
		sum += a
	}
	if sum <= contention*capacity {
		return math.Inf(1)
	}
	left := capacity
	for i, a := range asked {
		level := left / float64(len(asked)-i)
		if a > level {
			return level
		}
		left -= a
	}
	return math.Inf(1)
}

// rankUnder reports whether a rank is under its share, and whether it competes with others.
func (s *Shares) rankUnder(r int) (under, contended bool) {
	// The request itself has asked too, so that a rank without recent requests is not taken to be served.
	own := rank{s.ranks[r].asked + 1, s.ranks[r].admitted}.ratio()
	var all rank
	for i, other := range s.ranks {
		all.asked += other.asked
		all.admitted += other.admitted
		if i == r || other.asked < comparableRequests {
			continue
		}
		contended = true
		if i > r && own < urgentFactor*other.ratio() {
			under = true
		}
	}
	if contended && own < minimumRank*all.ratio() {
		under = true
	}
	return under && own < 1, contended
}

func clampRank(r int) int { return min(max(r, 0), ranks-1) }

// View is a service's shares in the state dump. Work is that of the last seconds, decayed.
type View struct {
	// FairShare is the admitted work up to which an organisation is under its share; 0 without contention.
	FairShare float64 `json:"fair_share"`
	// Organisations are those that ask for most, by the hash of their name.
	Organisations []OrganisationView `json:"organisations"`
	Ranks         []RankView         `json:"ranks"`
}

// OrganisationView is one organisation in the state dump.
type OrganisationView struct {
	Hash     uint32  `json:"hash"`
	Asked    float64 `json:"asked"`
	Admitted float64 `json:"admitted"`
}

// RankView counts the requests of one rank that compete with others.
type RankView struct {
	Rank     int     `json:"rank"`
	Asked    float64 `json:"asked"`
	Admitted float64 `json:"admitted"`
}

// View returns the shares in force.
func (s *Shares) View(now time.Time) View {
	s.decay(now)
	s.updateLevel(now)
	var v View
	if !math.IsInf(s.level, 1) {
		v.FairShare = s.level
	}
	for h, o := range s.tracked {
		v.Organisations = append(v.Organisations, OrganisationView{h, o.asked, o.admitted})
	}
	slices.SortFunc(v.Organisations, func(a, b OrganisationView) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Hash, b.Hash))
	})
	for i, r := range s.ranks {
		if r.asked > 0.01 {
			v.Ranks = append(v.Ranks, RankView{i, r.asked, r.admitted})
		}
	}
	return v
}
