package slopes

import (
	"fmt"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
)

// maxInstances bounds the whole instances in one process.
const maxInstances = 32

// measureInstance measures whole instances at rest, with all duties but
// without endpoints and callers: what a process costs, and what the object API
// gets from it.
func measureInstance(o Options, out io.Writer) error {
	fmt.Fprintf(out, "whole instances at rest, %v each\n", o.Rest)
	fmt.Fprintf(out, "%9s %12s %12s %12s %12s %14s %14s %10s\n", "instances", "sent B/s", "received B/s", "cpu % core", "heap MB", "reads/s each", "writes/s each", "watches")
	for _, size := range o.Sizes {
		if size > maxInstances {
			continue
		}
		if err := instancesAtRest(o, out, size); err != nil {
			return err
		}
	}
	return nil
}

func instancesAtRest(o Options, out io.Writer, size int) error {
	store, err := emulator.StartStore("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	if err := setWait(store, 1); err != nil {
		return err
	}
	before := heap()
	list, err := startInstances(store.Addr(), size, size)
	defer stopInstances(list)
	if err != nil {
		return err
	}
	time.Sleep(2 * settle)
	memory := float64(heap()-before) / float64(size) / (1 << 20)
	begin, used, was, calls := time.Now(), cpu(), trafficOf(list), store.Counts()
	time.Sleep(o.Rest)
	seconds := time.Since(begin).Seconds() * float64(size)
	now, after, spent := trafficOf(list), store.Counts(), cpu()-used
	fmt.Fprintf(out, "%9d %12.0f %12.0f %12.3f %12.2f %14.3f %14.3f %10d\n", size,
		float64(now.sent-was.sent)/seconds, float64(now.received-was.received)/seconds, 100*spent.Seconds()/seconds, memory,
		float64(after.Reads-calls.Reads)/seconds, float64(after.Writes-calls.Writes)/seconds, after.Watches)
	return nil
}

func trafficOf(list []*instance.Instance) counts {
	var c counts
	for _, i := range list {
		c.sent += i.Traffic().Sent.Load()
		c.received += i.Traffic().Received.Load()
	}
	return c
}
