package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// fault is one kind of fault, or of planned work.
type fault struct {
	name string
	// run injects the fault and returns when it is over. duration is how long it is to
	// last, for the kinds that can choose.
	run func(s *soak, rng *rand.Rand, duration time.Duration)
}

// faults are the kinds of faults that all runs but those of planned work draw from.
var faults = []fault{
	{"instance killed", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) {
			if !i.lifecycle.TryLock() {
				return
			}
			defer i.lifecycle.Unlock()
			i.signal(syscall.SIGKILL)
			i.waitExit(5 * time.Second)
			time.Sleep(duration / 4)
			i.start()
		})
	}},
	{"instance terminated", func(s *soak, rng *rand.Rand, _ time.Duration) { s.restart(s.pickInstance(rng)) }},
	{"all instances terminated in turn", func(s *soak, _ *rand.Rand, duration time.Duration) {
		for _, i := range s.instances {
			go s.restart(i)
			time.Sleep(duration / 8)
		}
	}},
	{"all instances killed", func(s *soak, _ *rand.Rand, duration time.Duration) { s.killAll(duration / 8) }},
	{"instance paused", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) {
			end := i.suspensions.begin()
			i.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			i.signal(syscall.SIGCONT)
			end()
		})
	}},
	{"instance reloaded", func(s *soak, rng *rand.Rand, _ time.Duration) { s.pickInstance(rng).signal(syscall.SIGHUP) }},
	{"callers' connections reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbInstance(rng, func(i *instance) { i.callers.reset(1 + rng.IntN(2)) })
	}},
	{"callers' connections blackholed", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbInstance(rng, func(i *instance) { i.callers.blackhole() })
	}},
	{"callers slow to reach an instance", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) { s.impairFor(i.callers, impairment{delay: 40 * time.Millisecond}, duration) })
	}},
	{"instance cut from the store", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) { s.impairFor(i.store, impairment{cutUp: true, cutDown: true}, duration) })
	}},
	{"instance gets no replies from the store", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) { s.impairFor(i.store, impairment{cutDown: true}, duration) })
	}},
	{"store slow for an instance", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbInstance(rng, func(i *instance) { s.impairFor(i.store, impairment{delay: 150 * time.Millisecond}, duration) })
	}},
	{"connections to the store blackholed", func(s *soak, _ *rand.Rand, _ time.Duration) {
		s.disturbStore(func() { s.store.StallOpen() })
	}},
	{"connections to the store reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbInstance(rng, func(i *instance) { i.store.reset(1) })
	}},
	{"store down", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbStore(func() {
			s.store.Refuse([]int{503, 429}[rng.IntN(2)])
			time.Sleep(duration)
			s.store.Refuse(0)
		})
	}},
	{"store drops its watch history", func(s *soak, _ *rand.Rand, _ time.Duration) { s.disturbStore(s.store.DropHistory) }},
	{"replies to writes to the store lost", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbStore(func() { s.store.LoseWriteReplies(1 + rng.IntN(4)) })
	}},
	{"endpoint crashes", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) {
			x.remove()
			time.Sleep(duration / 4)
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
	{"endpoint cut off", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { s.impairFor(x.link, impairment{cutUp: true, cutDown: true}, duration) })
	}},
	{"replies from an endpoint blackholed", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { s.impairFor(x.link, impairment{cutDown: true}, duration) })
	}},
	{"endpoint slow to reach", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { s.impairFor(x.link, impairment{delay: 60 * time.Millisecond}, duration) })
	}},
	{"connections to an endpoint blackholed", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { x.link.blackhole() })
	}},
	{"connections to an endpoint reset", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { x.link.reset(1 + rng.IntN(2)) })
	}},
	{"endpoint closes connections without an answer", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { x.behaveFor(losing, duration) })
	}},
	{"endpoint misbehaves", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { x.behaveFor(behaviour(1+rng.IntN(int(behaviours)-1)), duration) })
	}},
	{"records change", func(s *soak, rng *rand.Rand, _ time.Duration) { s.changeRecords(rng.IntN(2) == 0) }},
	{"weights version published", func(s *soak, _ *rand.Rand, _ time.Duration) { s.publishVersion() }},
}

// firstRestartSeed is the first seed whose endpoints publish their start time, restart under the
// same id and have their entries overwritten by other writers. Lower seeds draw from the original
// faults, so that they still produce the same schedules.
const firstRestartSeed = 8000

// restartFaults are the additional faults of seeds from firstRestartSeed on.
var restartFaults = []fault{
	{"endpoint restarts", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbEndpoint(rng, func(x *server) { x.restart() })
	}},
	{"endpoint restarts twice", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbEndpoint(rng, func(x *server) {
			x.restart()
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			x.restart()
		})
	}},
	{"entry corrupted by another writer", func(s *soak, rng *rand.Rand, _ time.Duration) {
		s.disturbEndpoint(rng, func(x *server) {
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
			x.overwriteEntry(entry)
		})
	}},
	{"invalid entry without an endpoint", func(s *soak, rng *rand.Rand, duration time.Duration) {
		entryName := fmt.Sprintf("ghost-%d", rng.Uint64())
		s.store.Put("servers", entryName, map[string]any{"service": s.pickServer(rng).service, "state": "ready", "address": 7})
		time.Sleep(duration)
		s.store.Remove("servers", entryName)
	}},
}

// firstPlannedWorkSeed is the first seed that draws planned work only: instances are terminated
// and reloaded, singly and in turn, and records and weights change. No request may be lost then.
const firstPlannedWorkSeed = 70000

// plannedWork are the names of those faults that are planned work.
var plannedWork = []string{"instance terminated", "all instances terminated in turn", "instance reloaded", "records change", "weights version published"}

// faultsOf returns the faults that a seed draws from.
func faultsOf(seed uint64) []fault {
	switch {
	case seed >= firstCrowdSeed:
		return withOwnFault(crowdFault)
	case seed >= firstExtraSeed:
		return withOwnFault(extraFault)
	case seed >= firstEndlessSeed:
		return withOwnFault(endlessFault)
	case seed >= firstRetrySeed:
		return retryFaultsOf()
	case seed >= firstScarceSeed:
		return scarceFaultsOf()
	case seed >= firstCrashingSeed:
		return crashingFaultsOf()
	case seed >= firstStatementSeed:
		return statementFaultsOf()
	case seed >= firstPlannedWorkSeed:
		return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(plannedWork, f.name) })
	case seed >= firstRestartSeed:
		return slices.Concat(faults, restartFaults)
	}
	return faults
}

func (s *soak) pickInstance(rng *rand.Rand) *instance { return s.instances[rng.IntN(len(s.instances))] }

// disturbInstance calls run with a random instance and records the time of the disturbance.
func (s *soak) disturbInstance(rng *rand.Rand, run func(*instance)) {
	i := s.pickInstance(rng)
	end := i.faults.begin()
	run(i)
	end()
}

// killAll kills all instances that are not being restarted, and starts them again after a pause.
func (s *soak) killAll(pause time.Duration) {
	var killed []*instance
	var ends []func()
	for _, i := range s.instances {
		if !i.lifecycle.TryLock() {
			continue
		}
		killed, ends = append(killed, i), append(ends, i.faults.begin())
		i.signal(syscall.SIGKILL)
	}
	for _, i := range killed {
		i.waitExit(5 * time.Second)
	}
	time.Sleep(pause)
	for k, i := range killed {
		i.start()
		i.lifecycle.Unlock()
		ends[k]()
	}
}

// disturbStore calls run and records its time as a disturbance of all instances.
func (s *soak) disturbStore(run func()) {
	var ends []func()
	for _, i := range s.instances {
		ends = append(ends, i.faults.begin())
	}
	run()
	for _, end := range ends {
		end()
	}
}

// disturbEndpoint calls run with a random endpoint and records the time of the fault.
func (s *soak) disturbEndpoint(rng *rand.Rand, run func(*server)) {
	end := s.endpointFaults.begin()
	run(s.pickServer(rng))
	end()
}

// impairFor impairs a link for the given duration.
func (s *soak) impairFor(l *link, i impairment, duration time.Duration) {
	l.set(i)
	time.Sleep(duration)
	l.set(impairment{})
}

// restart ends an instance gracefully, as planned work does, and starts it again.
func (s *soak) restart(i *instance) {
	if !i.lifecycle.TryLock() {
		return
	}
	defer i.lifecycle.Unlock()
	signalledAt := time.Now()
	i.signal(syscall.SIGTERM)
	if !i.waitExit(graceSeconds*time.Second + 500*time.Millisecond) {
		// A process that was paused in the meantime is allowed to take longer.
		if i.undisturbed(signalledAt, time.Now()) {
			s.checker.addViolation("GRACE: %s has not ended %d s after SIGTERM", i.name, graceSeconds)
		}
		i.signal(syscall.SIGKILL)
		i.waitExit(5 * time.Second)
	}
	i.start()
}

// event is one fault in a run's schedule.
type event struct {
	at       time.Duration
	duration time.Duration
	fault    fault
	// seed is the seed of the fault's own random choices.
	seed uint64
}

// A run has at least minFaults faults and fewer than faultSpread more, not counting repetitions:
// enough that most seeds find a router that breaks one guarantee, and few enough that requests
// are served between them.
const (
	minFaults   = 12
	faultSpread = 12
)

// schedule draws faults and their times. Faults may overlap, and some are repeated.
func schedule(rng *rand.Rand, choices []fault, length time.Duration) []event {
	var list []event
	for range minFaults + rng.IntN(faultSpread) {
		e := event{
			at: time.Duration(rng.Int64N(int64(length))), duration: time.Duration(200+rng.IntN(2500)) * time.Millisecond,
			fault: choices[rng.IntN(len(choices))], seed: rng.Uint64(),
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
