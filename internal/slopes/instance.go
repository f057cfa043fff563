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
	// maxInstances is the maximum number of complete instances in one process, and
	// maxWithEngines the maximum if each also monitors engines. Larger numbers exceed the
	// process's limit of open files.
	maxInstances   = 32
	maxWithEngines = 8
)

// enginesPerInstance is the number of engines that each instance owns in the target fleet.
const enginesPerInstance = 7

// measureInstance measures complete instances without callers: the cost of a process and its
// calls to the object API. The engines are emulated in the same process, so the figures include
// their CPU time.
func measureInstance(o Options, out io.Writer) error {
	for _, engines := range []int{0, enginesPerInstance} {
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

// enginePool returns the record of a pool whose engines the emulator starts; none for 0 engines.
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
	if err := setMaxWait(e.Store, 1); err != nil {
		return err
	}
	before := heapInUse()
	list, err := startInstances(e.Store.Addr(), size, size)
	defer stopInstances(list)
	if err != nil {
		return err
	}
	time.Sleep(2 * settleTime)
	memory := float64(heapInUse()-before) / float64(size) / (1 << 20)
	begin, startCPU, startTraffic, calls, written := time.Now(), cpuTime(), trafficOf(list), e.Store.Counts(), writtenBytes()
	time.Sleep(o.Rest)
	seconds := time.Since(begin).Seconds() * float64(size)
	now, after, spent := trafficOf(list), e.Store.Counts(), cpuTime()-startCPU
	fmt.Fprintf(out, "%9d %14.0f %16.0f %12.3f %12.2f %14.3f %14.3f %10d\n", size,
		float64(now.sent-startTraffic.sent)/seconds, float64(writtenBytes()-written)/seconds, 100*spent.Seconds()/seconds, memory,
		float64(after.Reads-calls.Reads)/seconds, float64(after.Writes-calls.Writes)/seconds, after.Watches)
	return nil
}

// writtenBytes returns the number of bytes that the process has written to sockets and files; 0
// if the system does not report it. Both ends of each connection are in the process, so this
// covers the traffic in both directions.
func writtenBytes() uint64 {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var read, written uint64
	_, _ = fmt.Sscanf(string(data), "rchar: %d\nwchar: %d", &read, &written)
	return written
}

func trafficOf(list []*instance.Instance) trafficCounts {
	var c trafficCounts
	for _, i := range list {
		c.sent += i.Traffic().Sent.Load()
		c.received += i.Traffic().Received.Load()
	}
	return c
}
