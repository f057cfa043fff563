package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Options control the tables.
type Options struct {
	// Window is the length of one time window.
	Window time.Duration
	// Slow is the time above which a first token, or an answer without tokens, counts
	// as slow; 0 disables the check.
	Slow time.Duration
	// Worst is the number of windows to print, the worst first.
	Worst int
}

// Row counts requests by reason.
type Row struct {
	Count  [Reasons]int
	Tokens int64
	// Shared is the part of Tokens in prompt parts that other requests use too.
	Shared int64
	// Waited and WaitedMemory are sums over all requests.
	Waited, WaitedMemory time.Duration
}

func (r *Row) add(q Request, slow time.Duration) {
	r.Count[q.reason(slow)]++
	r.Tokens += q.Uncached
	r.Shared += q.Shared
	r.Waited += q.Waited
	r.WaitedMemory += q.WaitedMemory
}

// servable counts the requests that should have been served: all but those that were not
// allowed, over quota or abandoned by their caller.
func (r *Row) servable() int {
	n := 0
	for reason, count := range r.Count {
		if r := Reason(reason); r != NotAllowed && r != CallerDisconnected && r != OverQuota {
			n += count
		}
	}
	return n
}

// failureRatio returns the share of the servable requests that were not served well.
func (r *Row) failureRatio() float64 {
	if r.servable() == 0 {
		return 0
	}
	return 1 - float64(r.Count[Served])/float64(r.servable())
}

// Window counts the requests of one time window; From is its offset from the first request.
type Window struct {
	From time.Duration
	Row
}

// ByRoute counts requests by route.
func (l *Log) ByRoute(o Options) map[string]*Row {
	rows := map[string]*Row{}
	for _, q := range l.Requests {
		if rows[q.Route] == nil {
			rows[q.Route] = &Row{}
		}
		rows[q.Route].add(q, o.Slow)
	}
	return rows
}

// ByWindow counts requests by arrival time. Windows without requests are left out.
func (l *Log) ByWindow(o Options) []Window {
	var list []Window
	for _, q := range l.Requests {
		from := q.ArrivedAt().Sub(l.Requests[0].ArrivedAt()).Truncate(o.Window)
		if len(list) == 0 || list[len(list)-1].From != from {
			list = append(list, Window{From: from})
		}
		list[len(list)-1].add(q, o.Slow)
	}
	return list
}

// Write prints what is missing from the logs, the requests by route, and the worst
// windows.
func (l *Log) Write(out io.Writer, o Options) {
	fmt.Fprintf(out, "%d requests in %d lines", len(l.Requests), l.Lines)
	if l.Truncated > 0 {
		fmt.Fprintf(out, "; %d lines break off", l.Truncated)
	}
	if l.Dropped > 0 {
		fmt.Fprintf(out, "; %d lines were dropped by the instances", l.Dropped)
	}
	fmt.Fprintln(out)
	if len(l.SlowClosed) > 0 {
		fmt.Fprint(out, "connections closed since their peers read slowly:")
		for _, kind := range slices.Sorted(maps.Keys(l.SlowClosed)) {
			fmt.Fprintf(out, " %d (%s)", l.SlowClosed[kind], kind)
		}
		fmt.Fprintln(out)
	}
	if len(l.Unfinished) > 0 {
		fmt.Fprintf(out, "no word of the end of: %v\n", l.Unfinished)
	}
	if len(l.Resumed) > 0 {
		fmt.Fprint(out, "streams resumed by callers, by how their release was found:")
		for _, how := range slices.Sorted(maps.Keys(l.Resumed)) {
			fmt.Fprintf(out, " %s %d", how, l.Resumed[how])
		}
		fmt.Fprintln(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = w.Flush() }()
	header(w, "route")
	routes := l.ByRoute(o)
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return routes[b].servable() - routes[a].servable() })
	for _, name := range names {
		routes[name].write(w, name)
	}
	l.writeSlots(w)
	l.writeQuotas(w, o)
	l.writeRetries(w)
	header(w, "from second")
	windows := l.ByWindow(o)
	slices.SortStableFunc(windows, func(a, b Window) int { return int(1e6*b.failureRatio()) - int(1e6*a.failureRatio()) })
	for _, x := range windows[:min(o.Worst, len(windows))] {
		x.write(w, fmt.Sprintf("%.1f", x.From.Seconds()))
	}
}

// Flow is an organisation and the rank of its requests.
type Flow struct {
	Organisation string
	Rank         int
}

// SlotRefusals counts the requests of one flow that were refused since the endpoints were at their concurrency limits.
type SlotRefusals struct {
	Refused int
	// OverOrganisationShare and OverRankShare are those whose organisation, or only whose rank, had its share.
	OverOrganisationShare, OverRankShare int
}

// RefusedForSlotsBy counts, by flow, the requests that were refused since the endpoints were at their limits.
func (l *Log) RefusedForSlotsBy() map[Flow]SlotRefusals {
	flows := map[Flow]SlotRefusals{}
	for _, q := range l.Requests {
		if q.reason(0) != RefusedForSlots {
			continue
		}
		f := Flow{q.Organisation, q.Rank}
		n := flows[f]
		n.Refused++
		switch q.OverShare {
		case "organisation":
			n.OverOrganisationShare++
		case "rank":
			n.OverRankShare++
		}
		flows[f] = n
	}
	return flows
}

// writeSlots prints the refusals for full slots by organisation and rank, if there were any.
func (l *Log) writeSlots(w io.Writer) {
	flows := l.RefusedForSlotsBy()
	if len(flows) == 0 {
		return
	}
	fmt.Fprintln(w, "\norganisation\trank\trefused: slots in use\torganisation had its share\trank had its share\t")
	list := slices.SortedFunc(maps.Keys(flows), func(a, b Flow) int {
		return cmp.Or(flows[b].Refused-flows[a].Refused, cmp.Compare(a.Organisation, b.Organisation), a.Rank-b.Rank)
	})
	for _, f := range list {
		n := flows[f]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", cmp.Or(f.Organisation, "-"), f.Rank, n.Refused, n.OverOrganisationShare, n.OverRankShare)
	}
}

func header(w io.Writer, first string) {
	fmt.Fprintf(w, "\n%s\tlost\t", first)
	for _, name := range reasonNames {
		fmt.Fprintf(w, "%s\t", name)
	}
	fmt.Fprintln(w, "tokens read\tshared\twaited s\tfor memory s\t")
}

func (r *Row) write(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%.3f\t", name, r.failureRatio())
	for _, n := range r.Count {
		fmt.Fprintf(w, "%d\t", n)
	}
	fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t\n", r.Tokens, r.Shared, r.Waited.Seconds(), r.WaitedMemory.Seconds())
}
