package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// columns are the column headings of the table. Times are in seconds from arrival to first token.
var columns = []string{"hit rate", "of bound", "computed / bound", "p50", "p95", "p99", "urgent p99", "in time", "goodput", "refused", "late refusal ms", "asks"}

// worse has 1 for each column where a higher value is worse, -1 where a lower one is.
var worse = []int{-1, -1, 1, 1, 1, 1, 1, -1, -1, 1, 1, 1}

type figures []float64

// figures returns the results for the requests that arrived after the warm-up. A request that
// still waits at the end of the run, half a minute or more after the last arrival, counts with
// that wait.
func (m *sim) figures() figures {
	var all, urgent []float64
	var prompt, cached, inTime, refused, offered int64
	var lateRefusal time.Duration
	for _, r := range m.requests {
		if r.at < m.s.warm {
			continue
		}
		offered++
		if r.refused > 0 {
			refused++
			lateRefusal = max(lateRefusal, r.refused-r.at-r.maxWait)
		}
		if r.refused > 0 {
			continue
		}
		wait := (m.now - r.at).Seconds()
		if r.first > 0 {
			wait = (r.first - r.at).Seconds()
			prompt += r.tokens
			cached += int64(r.cached)
			if r.started <= r.at+r.maxWait {
				inTime++
			}
		}
		all = append(all, wait)
		if r.urgent {
			urgent = append(urgent, wait)
		}
	}
	b := computeBound(m.requests, m.s.endpoints*m.s.cacheBlocks, m.s.warm)
	hit := float64(cached) / float64(prompt)
	span := m.s.measured.Seconds()
	return figures{hit, hit / b.hitRate(), (1 - hit) / (1 - b.hitRate()), quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99),
		quantile(urgent, 0.99), float64(inTime) / float64(offered), float64(inTime) / span, float64(refused) / float64(offered),
		float64(lateRefusal.Milliseconds()), float64(m.asks) / float64(len(m.requests))}
}

// capacity returns the rate of requests that no placement can exceed. It is limited by the
// endpoints' prefill rate at the minimum amount of computation, or by their slots.
func (s scenario) capacity() float64 {
	const trial = 100
	list := s.arrivals(1, trial)
	b := computeBound(list, s.endpoints*s.cacheBlocks, s.warm)
	var decode, count float64
	for _, r := range list {
		if r.at >= s.warm {
			decode += float64(r.output) * s.tokenTime.Seconds()
			count++
		}
	}
	prefill := float64(b.computed) / count / s.prefillRate
	slots := (decode/count + prefill) / float64(s.slots)
	return float64(s.endpoints) / max(prefill, slots)
}

func (m *sim) hitsIn(from, to time.Duration) float64 {
	var prompt, cached int64
	for _, r := range m.requests {
		if r.first >= from && r.first < to {
			prompt += r.tokens
			cached += int64(r.cached)
		}
	}
	return float64(cached) / float64(max(prompt, 1))
}

func (m *sim) refusedIn(from, to time.Duration) float64 {
	n := 0
	for _, r := range m.requests {
		if r.refused >= from && r.refused < to && r.refused > 0 {
			n++
		}
	}
	return float64(n)
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1)+0.5)]
}

// medianAndWorst formats the median and the worst value of one column over the seeds.
func medianAndWorst(rows []figures, column, worse int) string {
	var list []float64
	for _, row := range rows {
		list = append(list, row[column])
	}
	slices.Sort(list)
	last := list[len(list)-1]
	if worse < 0 {
		last = list[0]
	}
	return fmt.Sprintf("%.3g (%.3g)", list[len(list)/2], last)
}

func summary(list []figures) string {
	cells := make([]string, len(columns))
	for c := range columns {
		cells[c] = medianAndWorst(list, c, worse[c])
	}
	return strings.Join(cells, "\t")
}
