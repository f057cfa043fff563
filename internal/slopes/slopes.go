// Package slopes measures how the resource costs of the communication between instances grow with
// the size of the fleet. All instances run in one process, over real loopback connections.
// docs/CAPACITY.md sizes the target fleet from these figures.
package slopes

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Options selects what to measure.
type Options struct {
	// Parts are the names of the parts to run; all if empty.
	Parts []string
	// Sizes are the numbers of instances to measure with.
	Sizes []int
	// Rest is how long the exchange without load is measured at each size.
	Rest time.Duration
	// Endpoints and Records are the numbers of items that each instance holds.
	Endpoints int
	Records   int
	// ValueBytes is the size of a record that is changed.
	ValueBytes int
	// Changes is the number of record changes to time.
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

// Run runs the selected parts and writes a table for each.
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

// cpuTime returns the CPU time that the process has used; 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the heap and stack memory in use after a garbage collection, in bytes. It is
// signed so that callers can subtract.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// quantile returns the q-quantile of sorted durations; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
