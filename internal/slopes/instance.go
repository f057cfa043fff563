package slopes

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const (
	// maxInstances bounds the whole instances in one process; with the engines
	// that each follows, maxWithEngines, so that the open files of a process
	// suffice.
	maxInstances   = 32
	maxWithEngines = 8
)

// enginesEach is how many engines each instance owns at the target.
const enginesEach = 7

// measureInstance measures whole instances at rest, with all duties but
// without callers: what a process costs, and what the object API gets from it.
// The engines are stand-ins in the same process, so that their part of the
// processor time is in the figures.
func measureInstance(o Options, out io.Writer) error {
	for _, engines := range []int{0, enginesEach} {
		fmt.Fprintf(out, "whole instances at rest, %d engines each, %v each\n", engines, o.Rest)
		fmt.Fprintf(out, "%9s %14s %16s %12s %12s %14s %14s %10s\n", "instances", "exchange B/s", "all sockets B/s", "cpu % core", "heap MB", "reads/s each", "writes/s each", "watches")
		for _, size := range o.Sizes {
			if size > maxInstances || engines > 0 && size > maxWithEngines {
				continue
			}
			if err := instancesAtRest(o, out, size, engines); err != nil {
				return err
			}
		}
	}
	return nil
}

// enginePool is a pool whose engines the emulator starts.
func enginePool(engines int) []*recordspb.Record {
	if engines == 0 {
		return nil
	}
	pool := &recordspb.EndpointPool{Slots: 16, BlockTokens: blockTokens, CacheBlocks: 4096, PrefillTokensPerSecond: 20000,
		SuspectAfterMs: 1000, ExpelAfterMs: 5000, LoadsAtOnce: 1}
	for i := range engines {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%04d", i), Address: "127.0.0.1:0"})
	}
	return []*recordspb.Record{{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}}}
}

func instancesAtRest(o Options, out io.Writer, size, engines int) error {
	e, err := emulator.Start("127.0.0.1:0", enginePool(size*engines))
	if err != nil {
		return err
	}
	defer e.Close()
	if err := setWait(e.Store, 1); err != nil {
		return err
	}
	before := heap()
	list, err := startInstances(e.Store.Addr(), size, size)
	defer stopInstances(list)
	if err != nil {
		return err
	}
	time.Sleep(2 * settle)
	memory := float64(heap()-before) / float64(size) / (1 << 20)
	begin, used, was, calls, written := time.Now(), cpu(), trafficOf(list), e.Store.Counts(), writtenBytes()
	time.Sleep(o.Rest)
	seconds := time.Since(begin).Seconds() * float64(size)
	now, after, spent := trafficOf(list), e.Store.Counts(), cpu()-used
	fmt.Fprintf(out, "%9d %14.0f %16.0f %12.3f %12.2f %14.3f %14.3f %10d\n", size,
		float64(now.sent-was.sent)/seconds, float64(writtenBytes()-written)/seconds, 100*spent.Seconds()/seconds, memory,
		float64(after.Reads-calls.Reads)/seconds, float64(after.Writes-calls.Writes)/seconds, after.Watches)
	return nil
}

// writtenBytes is what the process has written to all its sockets and files;
// 0 where the system does not tell. Both ends of each connection are in the
// process, so that this is the traffic of one direction and the other.
func writtenBytes() uint64 {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var read, written uint64
	_, _ = fmt.Sscanf(string(data), "rchar: %d\nwchar: %d", &read, &written)
	return written
}

func trafficOf(list []*instance.Instance) counts {
	var c counts
	for _, i := range list {
		c.sent += i.Traffic().Sent.Load()
		c.received += i.Traffic().Received.Load()
	}
	return c
}
