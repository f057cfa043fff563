// Command policybench runs the policy package's decisions in virtual time against a simple model
// of an endpoint and prints the results that callers get with each placement policy side by side.
// Instances are copies of the decision state; there is no network, and requests between instances
// take no time.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

var (
	seeds    = kingpin.Flag("seeds", "Number of seeds.").Default("20").Int()
	loads    = kingpin.Flag("load", "Loads as fractions of capacity.").Default("0.5", "0.8", "1.0", "1.3").Float64List()
	chosen   = kingpin.Flag("scenario", "Scenarios: kwabena, khangai, target.").Default("kwabena", "khangai").Strings()
	policies = kingpin.Flag("policy", "Policies to compare.").Default(roundRobin, leastLoaded, rendezvous, ownView, owners).Strings()
	herd     = kingpin.Flag("herd", "Restart all instances in the burst.").Bool()
	deferral = kingpin.Flag("deferral", "Measure the effect of deferring expulsion.").Bool()
)

func init() {
	kingpin.Flag("candidates", "Number of candidate endpoints.").IntVar(&params.candidates)
	kingpin.Flag("patience", "Longest wait at the first candidate for which the others are not asked.").DurationVar(&params.patience)
	kingpin.Flag("recompute", "Weight of the recomputation time.").Float64Var(&params.recompute)
}

func main() {
	kingpin.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, s := range scenarios {
		if !slices.Contains(*chosen, s.name) {
			continue
		}
		s.fullRate = s.capacity()
		switch {
		case *deferral:
			printDeferral(w, s)
		case *herd:
			printHerd(w, s)
		default:
			printPolicies(w, s)
		}
	}
}

// perSeed calls run for each seed, using all processors.
func perSeed(run func(seed uint64) figures) []figures {
	list := make([]figures, *seeds)
	sem := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() {
			sem <- struct{}{}
			list[i] = run(uint64(i + 1))
			<-sem
		})
	}
	wg.Wait()
	return list
}

func simulate(s scenario, policyName string, load float64, seed uint64, prepare func(*sim)) figures {
	requests := s.arrivals(seed, load*s.fullRate)
	m := newSim(s, policyName, requests)
	if prepare != nil {
		prepare(m)
	}
	m.play()
	return m.figures()
}

func printPolicies(w *tabwriter.Writer, s scenario) {
	fmt.Fprintf(w, "\n%s: %d endpoints, capacity %.1f requests/s, %d seeds, median (worst)\n", s.name, s.endpoints, s.fullRate, *seeds)
	fmt.Fprintln(w, strings.Join(append([]string{"load", "policy"}, columns...), "\t")+"\t")
	for _, load := range *loads {
		for _, p := range *policies {
			list := perSeed(func(seed uint64) figures { return simulate(s, p, load, seed, nil) })
			fmt.Fprintf(w, "%.1f\t%s\t%s\t\n", load, p, summary(list))
		}
		baseline := perSeed(func(seed uint64) figures {
			urgentOnly := s
			urgentOnly.urgentOnly = true
			return simulate(urgentOnly, owners, load, seed, nil)
		})
		fmt.Fprintf(w, "%.1f\t%s\t%s\t\n", load, "owners, urgent alone", summary(baseline))
	}
	_ = w.Flush()
}

// printHerd restarts all instances two seconds into the burst and compares the hit rates of the
// two seconds before the restart, the two seconds after it, and the two after those.
func printHerd(w *tabwriter.Writer, s scenario) {
	fmt.Fprintf(w, "\n%s, all instances restarted in the burst: hit rate and refusals by 2 s\n", s.name)
	fmt.Fprintln(w, "load\t2 s before\tfirst 2 s\tnext 2 s\trefused in 10 s\tthe same without restart\t")
	at := s.warm + 2*time.Second
	for _, load := range *loads {
		var rows [2][]figures
		for i, restart := range []bool{false, true} {
			rows[i] = perSeed(func(seed uint64) figures {
				m := newSim(s, owners, s.arrivals(seed, load*s.fullRate))
				if restart {
					m.after(at, m.herdRestart)
				}
				m.play()
				return figures{m.hitsIn(at-2*time.Second, at), m.hitsIn(at, at+2*time.Second),
					m.hitsIn(at+2*time.Second, at+4*time.Second), m.refusedIn(at, at+10*time.Second)}
			})
		}
		baseline, restarted := rows[0], rows[1]
		fmt.Fprintf(w, "%.1f\t%s\t%s\t%s\t%s\t%s\t\n", load, medianAndWorst(restarted, 0, -1), medianAndWorst(restarted, 1, -1),
			medianAndWorst(restarted, 2, -1), medianAndWorst(restarted, 3, 1), medianAndWorst(baseline, 3, 1))
	}
	_ = w.Flush()
}

// printDeferral pauses one endpoint after the other and prints the results for each time by which
// expulsion is deferred after suspicion.
func printDeferral(w *tabwriter.Writer, s scenario) {
	fmt.Fprintf(w, "\n%s at load 0.8, an endpoint pauses every 8 s: deferral of expulsion after suspicion\n", s.name)
	fmt.Fprintln(w, "pause\tdeferral\t"+strings.Join(columns, "\t")+"\t")
	for _, length := range []time.Duration{1, 2, 5, 15, 30} {
		for _, d := range []time.Duration{0, 1, 5, 15, 60} {
			list := perSeed(func(seed uint64) figures {
				return simulate(s, owners, 0.8, seed, func(m *sim) {
					for i, at := 0, s.warm; at < s.warm+s.measured; i, at = i+1, at+8*time.Second {
						m.after(at, func() { m.pause(i%s.endpoints, length*time.Second, d*time.Second) })
					}
				})
			})
			fmt.Fprintf(w, "%ds\t%ds\t%s\t\n", length, d, summary(list))
		}
	}
	_ = w.Flush()
}
