package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// fault is one thing that goes wrong, or one piece of planned work.
type fault struct {
	name string
	// do carries it out and returns when it is over. lasts is how long it is to
	// take where that is free.
	do func(s *soak, rng *rand.Rand, lasts time.Duration)
}

// faults are all kinds that a run draws from.
var faults = []fault{
	{"instance killed", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) {
			if !i.cycle.TryLock() {
				return
			}
			defer i.cycle.Unlock()
			i.signal(syscall.SIGKILL)
			i.waitEnd(5 * time.Second)
			time.Sleep(lasts / 4)
			i.start()
		})
	}},
	{"instance told to end", func(s *soak, rng *rand.Rand, _ time.Duration) { s.restart(s.pick(rng)) }},
	{"all instances told to end in turn", func(s *soak, _ *rand.Rand, lasts time.Duration) {
		for _, i := range s.instances {
			go s.restart(i)
			time.Sleep(lasts / 8)
		}
	}},
	{"all instances killed", func(s *soak, _ *rand.Rand, lasts time.Duration) {
		var struck []*instance
		var ends []func()
		for _, i := range s.instances {
			if !i.cycle.TryLock() {
				continue
			}
			struck, ends = append(struck, i), append(ends, i.faults.begin())
			i.signal(syscall.SIGKILL)
		}
		for _, i := range struck {
			i.waitEnd(5 * time.Second)
		}
		time.Sleep(lasts / 8)
		for k, i := range struck {
			i.start()
			i.cycle.Unlock()
			ends[k]()
		}
	}},
	{"instance paused", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) {
			i.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			i.signal(syscall.SIGCONT)
		})
	}},
	{"instance told to reload", func(s *soak, rng *rand.Rand, _ time.Duration) { s.pick(rng).signal(syscall.SIGHUP) }},
	{"callers' connections reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmInstance(rng, func(i *instance) { i.callers.reset(1 + rng.IntN(2)) })
	}},
	{"callers' connections silent", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmInstance(rng, func(i *instance) { i.callers.silence() })
	}},
	{"callers far away", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) { s.during(i.callers, harm{delay: 40 * time.Millisecond}, lasts) })
	}},
	{"instance cut from the store", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) { s.during(i.store, harm{cutUp: true, cutDown: true}, lasts) })
	}},
	{"instance hears nothing from the store", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) { s.during(i.store, harm{cutDown: true}, lasts) })
	}},
	{"store slow for an instance", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmInstance(rng, func(i *instance) { s.during(i.store, harm{delay: 150 * time.Millisecond}, lasts) })
	}},
	{"connections to the store silent", func(s *soak, _ *rand.Rand, _ time.Duration) {
		s.harmStore(func() { s.store.SilenceOpen() })
	}},
	{"connections to the store reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmInstance(rng, func(i *instance) { i.store.reset(1) })
	}},
	{"store down", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmStore(func() {
			s.store.Refuse([]int{503, 429}[rng.IntN(2)])
			time.Sleep(lasts)
			s.store.Refuse(0)
		})
	}},
	{"store forgets its history", func(s *soak, _ *rand.Rand, _ time.Duration) { s.harmStore(s.store.DropHistory) }},
	{"answers of the store lost", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmStore(func() { s.store.LoseWriteReplies(1 + rng.IntN(4)) })
	}},
	{"endpoint crashes", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) {
			x.remove()
			time.Sleep(lasts / 4)
			s.addServer(x.service)
			time.Sleep(3 * heartbeatMs * time.Millisecond)
			s.store.Remove("servers", x.ID)
		})
	}},
	{"endpoint replaced", func(s *soak, rng *rand.Rand, _ time.Duration) {
		x := s.pickServer(rng)
		s.addServer(x.service)
		x.leave()
	}},
	{"endpoint cut off", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) { s.during(x.link, harm{cutUp: true, cutDown: true}, lasts) })
	}},
	{"endpoint heard by nobody", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) { s.during(x.link, harm{cutDown: true}, lasts) })
	}},
	{"endpoint slow to reach", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) { s.during(x.link, harm{delay: 60 * time.Millisecond}, lasts) })
	}},
	{"connections to an endpoint silent", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmServer(rng, func(x *server) { x.link.silence() })
	}},
	{"connections to an endpoint reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmServer(rng, func(x *server) { x.link.reset(1 + rng.IntN(2)) })
	}},
	{"endpoint loses answers", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) { x.feel(losing, lasts) })
	}},
	{"endpoint misbehaves", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		s.harmServer(rng, func(x *server) { x.feel(mood(1+rng.IntN(int(moods)-1)), lasts) })
	}},
	{"records change", func(s *soak, rng *rand.Rand, _ time.Duration) { s.changeRecords(rng.IntN(2) == 0) }},
	{"weights named", func(s *soak, _ *rand.Rand, _ time.Duration) { s.nameWeights() }},
}

// firstWithStarts is the first seed whose endpoints tell when they started, start again
// under their ids and meet entries of other writers; those before it draw what they
// always drew.
const firstWithStarts = 8000

// startFaults are drawn too from firstWithStarts on.
var startFaults = []fault{
	{"endpoint starts again", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmServer(rng, func(x *server) { x.restart() })
	}},
	{"endpoint starts again twice", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmServer(rng, func(x *server) {
			x.restart()
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			x.restart()
		})
	}},
	{"entry spoiled by another writer", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.harmServer(rng, func(x *server) {
			entry := platformtest.EntryAt(x.link.address(), x.service, "ready", nil)
			switch rng.IntN(4) {
			case 0:
				entry["state"] = "fenced"
			case 1:
				delete(entry, "address")
			case 2:
				entry["slots"] = "many"
			case 3:
				entry["born"] = 1.5
			}
			x.spoil(entry)
		})
	}},
	{"entry of no endpoint", func(s *soak, rng *rand.Rand, lasts time.Duration) {
		ghost := fmt.Sprintf("ghost-%d", rng.Uint64())
		s.store.Put("servers", ghost, map[string]any{"service": s.pickServer(rng).service, "state": "ready", "address": 7})
		time.Sleep(lasts)
		s.store.Remove("servers", ghost)
	}},
}

// firstOfPlannedWork is the first seed that draws planned work alone: instances are ended and
// told to reload, one by one and in turn, records and weights change. Nothing excuses what
// callers lose then.
const firstOfPlannedWork = 70000

// plannedWork are the names of the faults that are none.
var plannedWork = []string{"instance told to end", "all instances told to end in turn", "instance told to reload", "records change", "weights named"}

// faultsOf returns what a seed draws from.
func faultsOf(seed uint64) []fault {
	switch {
	case seed >= firstOfPlannedWork:
		return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(plannedWork, f.name) })
	case seed >= firstWithStarts:
		return slices.Concat(faults, startFaults)
	}
	return faults
}

func (s *soak) pick(rng *rand.Rand) *instance { return s.instances[rng.IntN(len(s.instances))] }

// harmInstance does something to one instance, and notes that it is disturbed.
func (s *soak) harmInstance(rng *rand.Rand, do func(*instance)) {
	i := s.pick(rng)
	over := i.faults.begin()
	do(i)
	over()
}

// harmStore does something to the store, which disturbs all instances.
func (s *soak) harmStore(do func()) {
	var ends []func()
	for _, i := range s.instances {
		ends = append(ends, i.faults.begin())
	}
	do()
	for _, over := range ends {
		over()
	}
}

// harmServer does something to one endpoint.
func (s *soak) harmServer(rng *rand.Rand, do func(*server)) {
	over := s.endpointFaults.begin()
	do(s.pickServer(rng))
	over()
}

func (s *soak) during(l *link, h harm, lasts time.Duration) {
	l.set(h)
	time.Sleep(lasts)
	l.set(harm{})
}

// restart ends an instance as planned work does, and starts it again.
func (s *soak) restart(i *instance) {
	if !i.cycle.TryLock() {
		return
	}
	defer i.cycle.Unlock()
	told := time.Now()
	i.signal(syscall.SIGTERM)
	if !i.waitEnd(graceSeconds*time.Second + 500*time.Millisecond) {
		// A process that was paused meanwhile has lost that time.
		if i.calm(told, time.Now()) {
			s.ledger.breach("GRACE: %s has not ended %d s after SIGTERM", i.name, graceSeconds)
		}
		i.signal(syscall.SIGKILL)
		i.waitEnd(5 * time.Second)
	}
	i.start()
}

// event of a run's schedule.
type event struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	// seed of the fault's own choices.
	seed uint64
}

// A run has at least leastFaults faults and less than moreFaults more, those of
// series left out: so many that a router with one broken promise is found by most
// seeds, and few enough that callers are served between them.
const (
	leastFaults = 12
	moreFaults  = 12
)

// schedule draws from the faults what goes wrong when. Faults overlap, and some come in series.
func schedule(rng *rand.Rand, drawn []fault, length time.Duration) []event {
	var list []event
	for range leastFaults + rng.IntN(moreFaults) {
		e := event{
			at: time.Duration(rng.Int64N(int64(length))), lasts: time.Duration(200+rng.IntN(2500)) * time.Millisecond,
			fault: drawn[rng.IntN(len(drawn))], seed: rng.Uint64(),
		}
		list = append(list, e)
		if rng.IntN(4) > 0 {
			continue
		}
		for range 1 + rng.IntN(3) {
			e.at += time.Duration(100+rng.IntN(900)) * time.Millisecond
			e.seed = rng.Uint64()
			list = append(list, e)
		}
	}
	return list
}
