package balance

// ranks is the number of priorities that endpoints distinguish; 0 is the most urgent.
const ranks = 10

// lessUrgentShare is the fraction of an endpoint's less urgent prompt work that delays a
// request: prompts that are being read continue beside it for a step or two.
const lessUrgentShare = 0.3

// backlog is the prompt work in tokens that is queued at an endpoint, by the rank of the
// requests.
//
// It is kept by rank because long prompts may fill the pool while short urgent requests keep
// arriving. In a single sum, the long prompts make an endpoint look late for urgent
// requests, which it would run first; these are then refused although they would have been
// on time.
type backlog [ranks]int64

// clampRank limits a rank to those that endpoints distinguish.
func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }

func (b *backlog) add(rank int, tokens int64) { b[clampRank(rank)] += tokens }

// total returns the work of all ranks.
func (b *backlog) total() int64 {
	var n int64
	for _, tokens := range b {
		n += tokens
	}
	return n
}

// ahead returns the work that delays a request of the rank.
func (b *backlog) ahead(rank int) int64 {
	var first, later int64
	for r, tokens := range b {
		if r <= clampRank(rank) {
			first += tokens
			continue
		}
		later += tokens
	}
	return first + int64(lessUrgentShare*float64(later))
}
