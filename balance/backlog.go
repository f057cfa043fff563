package balance

// ranks is the number of priorities that endpoints distinguish; 0 is the most urgent.
const ranks = 10

// backlog is the prompt work that is queued at an endpoint, by the rank of the requests.
//
// It is kept by rank because long prompts may fill the pool while short urgent requests keep
// arriving. In a single sum, the long prompts make an endpoint look late for urgent
// requests, which it would run first; these are then refused although they would have been
// on time.
type backlog struct {
	tokens [ranks]int64
	// prompts is the number of prompts that the tokens are of.
	prompts [ranks]int64
}

// clampRank limits a rank to those that endpoints distinguish.
func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }

// add adds a prompt of which the endpoint has to read the given number of tokens.
func (b *backlog) add(rank int, tokens int64) { b.change(rank, tokens, 1) }

// remove removes a prompt that was added.
func (b *backlog) remove(rank int, tokens int64) { b.change(rank, -tokens, -1) }

func (b *backlog) change(rank int, tokens, prompts int64) {
	if tokens == 0 {
		return
	}
	b.tokens[clampRank(rank)] += tokens
	b.prompts[clampRank(rank)] += prompts
}

// total returns the work of all ranks in tokens.
func (b *backlog) total() int64 {
	var n int64
	for _, tokens := range b.tokens {
		n += tokens
	}
	return n
}

// ahead returns the work in tokens that delays a request of the rank: all of the same and of more urgent ranks, and
// of the less urgent ones a single prompt, the one that is being read when the request arrives. The endpoint
// goes on with the request before the others, however many there are.
func (b *backlog) ahead(rank int) int64 {
	var first, later, prompts int64
	for r, tokens := range b.tokens {
		if r <= clampRank(rank) {
			first += tokens
			continue
		}
		later += tokens
		prompts += b.prompts[r]
	}
	return first + later/max(prompts, 1)
}
