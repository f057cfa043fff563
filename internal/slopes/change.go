package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

const (
	changeInstances    = 8
	changePollInterval = time.Millisecond
	// maxSeeds is the number of first instances that the others get as seeds.
	maxSeeds      = 3
	changeTimeout = 30 * time.Second
	// changePause keeps a change from being sent along with messages about the previous one.
	changePause = 150 * time.Millisecond
)

// measureChange measures how long an operator's change takes to be in force at all of eight
// instances, with the object API reachable from all of them and from half of them.
func measureChange(o Options, out io.Writer) error {
	fmt.Fprintf(out, "change in force at all of %d instances, %d changes\n", changeInstances, o.Changes)
	fmt.Fprintf(out, "%24s %10s %10s %10s\n", "object API in reach of", "p50", "p99", "slowest")
	for _, reach := range []int{changeInstances, changeInstances / 2} {
		if err := measureChangeReach(o, out, reach); err != nil {
			return err
		}
	}
	return nil
}

func measureChangeReach(o Options, out io.Writer, reach int) error {
	store, err := emulator.StartStore("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	if err := setMaxWait(store, 1); err != nil {
		return err
	}
	list, err := startInstances(store.Addr(), changeInstances, reach)
	defer stopInstances(list)
	if err != nil {
		return err
	}
	var took []time.Duration
	for n := range o.Changes {
		wait := int64(n + 2)
		begin := time.Now()
		if err := setMaxWait(store, wait); err != nil {
			return err
		}
		if err := awaitMaxWait(list, wait); err != nil {
			return err
		}
		took = append(took, time.Since(begin))
		time.Sleep(changePause)
	}
	slices.Sort(took)
	fmt.Fprintf(out, "%24d %10v %10v %10v\n", reach, quantile(took, 0.5).Round(time.Millisecond),
		quantile(took, 0.99).Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	return nil
}

// setMaxWait writes the class record whose propagation is timed.
func setMaxWait(store *emulator.Store, wait int64) error {
	r := &recordspb.Record{SchemaVersion: 1, Name: "quote", Spec: &recordspb.Record_Class{
		Class: &recordspb.RequestClass{MaxWaitMs: wait, TimeoutMs: 1000},
	}}
	value, err := record.Marshal(r)
	if err == nil {
		store.Set(string(record.Classes), r.GetName(), value)
	}
	return err
}

// startInstances starts count instances. Only the first reach of them can reach the object API;
// the others are given an address where nothing listens.
func startInstances(store string, count, reach int) ([]*instance.Instance, error) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	unreachable := unused.Addr().String()
	_ = unused.Close()
	var list []*instance.Instance
	var seeds []string
	for k := range count {
		address := store
		if k >= reach {
			address = unreachable
		}
		text := fmt.Sprintf("fleet: slopes\ninstance: entry-%d\ndata_centre: accra-1\nplatform: {address: %q}\nseeds: [%s]\n"+
			"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n", k, address, strings.Join(seeds, ", "))
		s, faults := settings.Parse([]byte(text))
		if len(faults) > 0 {
			return list, fault.New(fault.Internal, "report this", "%s", settings.Lines("slopes", faults))
		}
		i, err := instance.Start(context.Background(), s)
		if err != nil {
			return list, err
		}
		list = append(list, i)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", i.Fleet()))
		}
	}
	return list, awaitMaxWait(list, 1)
}

func stopInstances(list []*instance.Instance) {
	for _, i := range list {
		i.Kill()
	}
}

// awaitMaxWait returns once the change is in force at all instances, or an error after
// changeTimeout.
func awaitMaxWait(list []*instance.Instance, wait int64) error {
	for begin := time.Now(); ; time.Sleep(changePollInterval) {
		pending := slices.ContainsFunc(list, func(i *instance.Instance) bool {
			s := i.Records()
			if s == nil {
				return true
			}
			c, ok := s.Class("quote")
			return !ok || c.GetMaxWaitMs() != wait
		})
		if !pending {
			return nil
		}
		if time.Since(begin) > changeTimeout {
			return fault.New(fault.Internal, "look at the instances' logs", "change %d is not in force everywhere after %v", wait, changeTimeout)
		}
	}
}
