// Package slopes measures what the duties between instances cost, at several
// sizes in one process, over real loopback connections. The figures are what
// docs/CAPACITY.md works out the target from.
package slopes

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Options choose what is measured.
type Options struct {
	// Parts are the names of the parts to run; empty runs all.
	Parts []string
	// Sizes are the numbers of instances.
	Sizes []int
	// Rest is how long the exchange at rest is measured at each size.
	Rest time.Duration
	// Endpoints and Records are the numbers of items that each instance holds.
	Endpoints int
	Records   int
	// ValueBytes is the size of a record that is changed.
	ValueBytes int
	// Changes is the number of record changes that are timed.
	Changes int
}

// part is one measurement.
type part struct {
	name string
	run  func(o Options, out io.Writer) error
}

var parts = []part{
	{"exchange", measureExchange},
	{"spread", measureSpread},
	{"ask", measureAsk},
	{"decision", measureDecision},
	{"owner", measureOwner},
	{"connection", measureConnection},
	{"state", measureState},
	{"change", measureChange},
	{"instance", measureInstance},
}

// PartNames lists the parts.
func PartNames() []string {
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}

// Run measures and writes a table for each part.
func Run(o Options, out io.Writer) error {
	for _, p := range parts {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		if err := p.run(o, out); err != nil {
			return fmt.Errorf("part %s: %w", p.name, err)
		}
		fmt.Fprintln(out)
	}
	return nil
}

// cpu is the processor time that the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is the memory in use after a collection; signed, for differences.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// quantile of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
