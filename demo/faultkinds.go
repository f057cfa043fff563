package demo

import (
	"fmt"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// faultKind is one kind of fault with the relative frequency at which it is drawn.
type faultKind struct {
	name   string
	weight int
	inject func(*injector)
}

// faultKinds lists all injected faults. Requests that crash engines are not among them, since they
// are part of the load.
var faultKinds = []faultKind{
	{"engine crash", 3, engineCrash},
	{"engine connections silent", 3, func(in *injector) { in.engine().StallOpen() }},
	{"engine connections cut", 2, func(in *injector) { in.engine().CutOpen() }},
	{"engine frozen", 2, engineFrozen},
	{"engine slow", 2, engineSlow},
	{"engine pieces disturbed", 3, enginePiecesDisturbed},
	{"engine leaving", 1, engineLeaving},
	{"store refuses", 2, func(in *injector) { storeOutage(in, emulator.OutageRefuse) }},
	{"store silent", 2, func(in *injector) { storeOutage(in, emulator.OutageSilent) }},
	{"store down", 1, storeDown},
	{"store slow", 2, storeSlow},
	{"store replies lost", 4, storeRepliesLost},
	{"store connections silent", 2, func(in *injector) { in.emulator.Store.StallOpen() }},
	{"service crash", 2, serviceCrash},
	{"service silent", 2, serviceSilent},
	{"service slow", 1, serviceSlow},
	{"service connections silent", 2, func(in *injector) { in.service().StallOpen() }},
	{"peer connections silent", 2, func(in *injector) { in.member().link.StallOpen() }},
	{"peer connections cut", 1, func(in *injector) { in.member().link.CutOpen() }},
	{"instance killed", 3, instanceKilled},
	{"instances restarted in a herd", 1, allRestarted},
	{"instance stopped", 1, instanceStopped},
}

func engineCrash(in *injector) {
	e, down := in.engine(), time.Duration(100+in.rng.IntN(1900))*time.Millisecond
	in.wg.Go(func() { e.Crash(down) })
}

func engineFrozen(in *injector) {
	e := in.engine()
	in.changeEngine(e, func(f *emulator.EngineFaults) { f.Frozen = true })
	in.endAfter(200*time.Millisecond, 3*time.Second, func() {
		in.changeEngine(e, func(f *emulator.EngineFaults) { f.Frozen = false })
	})
}

func engineSlow(in *injector) {
	e, factor := in.engine(), 2+8*in.rng.Float64()
	in.changeEngine(e, func(f *emulator.EngineFaults) { f.Slow = factor })
	in.endAfter(time.Second, 3*time.Second, func() {
		in.changeEngine(e, func(f *emulator.EngineFaults) { f.Slow = 0 })
	})
}

// enginePiecesDisturbed disturbs the delivery of a small share of the pieces.
func enginePiecesDisturbed(in *injector) {
	e := in.engine()
	share := func() float64 { return 0.03 * in.rng.Float64() }
	cross, repeat, lose, late := share(), share(), share(), share()
	in.changeEngine(e, func(f *emulator.EngineFaults) {
		f.Cross, f.Repeat, f.Lose, f.Late, f.LateMS = cross, repeat, lose, late, 300
	})
	in.endAfter(time.Second, 4*time.Second, func() {
		in.changeEngine(e, func(f *emulator.EngineFaults) { f.Cross, f.Repeat, f.Lose, f.Late = 0, 0, 0, 0 })
	})
}

// engineLeaving has an engine report that it is leaving, and writes the same to the pool's record
// as an operator would. Both last longer than maxStartAfterLeaving, so that late requests are
// detected.
func engineLeaving(in *injector) {
	e := in.engine()
	e.SetLeaving(true)
	in.setLeaving(e.Name(), true)
	in.endAfter(maxStartAfterLeaving+time.Second, maxStartAfterLeaving+3*time.Second, func() {
		if late := e.Stats().LastStartAfterLeaving; late > maxStartAfterLeaving {
			in.mu.Lock()
			in.late = append(in.late, fmt.Sprintf("late start: %s got new work %s after it said that it leaves", e.Name(), late))
			in.mu.Unlock()
		}
		e.SetLeaving(false)
		in.setLeaving(e.Name(), false)
	})
}

func storeOutage(in *injector, kind emulator.OutageKind) {
	in.changeStore(func(f *emulator.StoreFaults) { f.Outage = kind })
	in.endAfter(500*time.Millisecond, 4*time.Second, func() {
		in.changeStore(func(f *emulator.StoreFaults) { f.Outage = emulator.OutageNone })
	})
}

func storeDown(in *injector) {
	_ = in.emulator.Store.Down()
	in.endAfter(200*time.Millisecond, 3*time.Second, func() { _ = in.emulator.Store.Up() })
}

func storeSlow(in *injector) {
	slow := int64(50 + in.rng.IntN(450))
	in.changeStore(func(f *emulator.StoreFaults) { f.SlowMS = slow })
	in.endAfter(time.Second, 3*time.Second, func() {
		in.changeStore(func(f *emulator.StoreFaults) { f.SlowMS = 0 })
	})
}

// storeRepliesLost loses responses of writes that took effect. The connection is either closed or
// left open and unresponsive.
func storeRepliesLost(in *injector) {
	share, silently := 0.1+0.6*in.rng.Float64(), in.rng.IntN(2) == 0
	in.changeStore(func(f *emulator.StoreFaults) { f.LoseProbability, f.LoseSilently = share, silently })
	in.endAfter(time.Second, 3*time.Second, func() {
		in.changeStore(func(f *emulator.StoreFaults) { f.LoseProbability = 0 })
	})
}

func serviceCrash(in *injector) {
	s, down, after := in.service(), int64(100+in.rng.IntN(1400)), in.rng.IntN(2) == 0
	in.changeService(s, func(f *emulator.ServiceFaults) {
		f.DownMS = down
		if after {
			f.CrashAfter++
		} else {
			f.CrashBefore++
		}
	})
}

func serviceSilent(in *injector) {
	s := in.service()
	if in.rng.IntN(2) == 0 {
		in.changeService(s, func(f *emulator.ServiceFaults) { f.SilentAfter += 2 })
		return
	}
	in.changeService(s, func(f *emulator.ServiceFaults) { f.Silent = true })
	in.endAfter(300*time.Millisecond, 2*time.Second, func() {
		in.changeService(s, func(f *emulator.ServiceFaults) { f.Silent = false })
	})
}

func serviceSlow(in *injector) {
	s, slow := in.service(), int64(100+in.rng.IntN(1900))
	in.changeService(s, func(f *emulator.ServiceFaults) { f.SlowMS = slow })
	in.endAfter(time.Second, 3*time.Second, func() {
		in.changeService(s, func(f *emulator.ServiceFaults) { f.SlowMS = 0 })
	})
}

func instanceKilled(in *injector) {
	m := in.fleet.kill(in.rng.IntN(len(in.fleet.members)))
	in.endAfter(100*time.Millisecond, 2*time.Second, func() { in.fleet.restart(m) })
}

// allRestarted kills every instance and starts all of them at the same time.
func allRestarted(in *injector) {
	killed := make([]*member, 0, len(in.fleet.members))
	for n := range in.fleet.members {
		killed = append(killed, in.fleet.kill(n))
	}
	in.endAfter(100*time.Millisecond, time.Second, func() {
		for _, m := range killed {
			in.wg.Go(func() { in.fleet.restart(m) })
		}
	})
}

// instanceStopped shuts an instance down gracefully, which must not interrupt any request.
func instanceStopped(in *injector) {
	n := in.rng.IntN(len(in.fleet.members))
	in.wg.Go(func() {
		if m := in.fleet.drain(n); m != nil {
			in.fleet.restart(m)
		}
	})
}

// storeRecord writes a record without a version check, as an operator's tool would.
func storeRecord(store *emulator.Store, r *recordspb.Record) {
	value, err := record.Marshal(r)
	if err != nil {
		return
	}
	kind, _ := record.KindOf(r)
	store.Set(string(kind), r.GetName(), value)
}
