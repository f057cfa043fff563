package record

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
)

func put(s *objecttest.Store, version int64) {
	it := classItem("quote", uint64(version))
	s.Set(string(Classes), "quote", it.Value)
}

func startProvider(s *objecttest.Store, self string, spread time.Duration) (*Keeper, *Provider) {
	k := NewKeeper(clock.System{})
	p := NewProvider(ProviderConfig{Store: s, Keeper: k, Self: self, Spread: func(context.Context) time.Duration { return spread }})
	p.Start()
	return k, p
}

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{Name: fmt.Sprintf("entry-%d", i), StoreReachable: true}
	}
	return list
}

func TestChangeComesByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		k, p := startProvider(s, "entry-0", 0)
		defer p.Stop()
		time.Sleep(membersGrace + time.Second)
		put(s, 2)
		synctest.Wait()
		if got := inForce(k, "quote"); got != 2 {
			t.Fatalf("version %d is in force, want 2", got)
		}
	})
}

// An instance starts while the object API is down for an hour. It must not
// give up, must not hammer, and must have the records soon after the end.
func TestStartDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		s.SetDown(true)
		k, p := startProvider(s, "entry-0", 0)
		defer p.Stop()
		time.Sleep(time.Hour)
		if k.Snapshot() != nil {
			t.Fatal("records are in force that nobody told")
		}
		if lists := s.Counts().Lists; lists > 5*2000 {
			t.Fatalf("%d lists in an hour of outage", lists)
		}
		s.SetDown(false)
		time.Sleep(2 * longestPause)
		if got := inForce(k, "quote"); got != 1 {
			t.Fatalf("version %d is in force, want 1", got)
		}
	})
}

// The object API is away while operators go on with another client of it, and
// it forgets old versions meanwhile. No change may stay unheard of.
func TestWatchResumesAfterAnOutageAndRelistsWhenTooOld(t *testing.T) {
	for _, forget := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &objecttest.Store{}
			put(s, 1)
			k, p := startProvider(s, "entry-0", 0)
			defer p.Stop()
			time.Sleep(membersGrace + time.Second)
			s.SetDown(true)
			time.Sleep(time.Minute)
			put(s, 2)
			if forget {
				s.DropHistory()
			}
			lists := s.Counts().Lists
			s.SetDown(false)
			time.Sleep(2 * longestPause)
			if got := inForce(k, "quote"); got != 2 {
				t.Fatalf("forgotten %v: version %d is in force, want 2", forget, got)
			}
			if relisted := s.Counts().Lists > lists; relisted != forget {
				t.Fatalf("forgotten %v: listed again %v", forget, relisted)
			}
		})
	}
}

// All instances restart at once. Each list is read once by each of them, and
// they do not all come in the same moment.
func TestHerdRestartListsOnceAndSpread(t *testing.T) {
	const instances = 40
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		for i := range instances {
			_, p := startProvider(s, members(instances)[i].Name, 2*time.Second)
			p.SetMembers(members(instances))
			defer p.Stop()
		}
		time.Sleep(time.Second)
		if lists := s.Counts().Lists; lists > instances*len(Kinds)*3/4 {
			t.Fatalf("%d of %d lists in the first half of the spread", lists, instances*len(Kinds))
		}
		time.Sleep(10 * time.Second)
		c := s.Counts()
		if c.Lists != instances*len(Kinds) || c.Watches != WatchersPerKind*len(Kinds) {
			t.Fatalf("%d lists and %d watches, want %d and %d", c.Lists, c.Watches, instances*len(Kinds), WatchersPerKind*len(Kinds))
		}
	})
}

// The instances that watch are lost, or cut off from the object API. Others
// have to watch in their place.
func TestWatchDutyMovesOn(t *testing.T) {
	list := members(8)
	watchers := func() []int {
		var found []int
		for i, m := range list {
			if m.StoreReachable && WatchDuty(list, m.Name, Pools) {
				found = append(found, i)
			}
		}
		return found
	}
	first := watchers()
	if len(first) != WatchersPerKind {
		t.Fatalf("%d instances watch, want %d", len(first), WatchersPerKind)
	}
	for _, i := range first {
		list[i].StoreReachable = false
	}
	if got := watchers(); len(got) != WatchersPerKind {
		t.Fatalf("%d instances watch after the first were cut off, want %d", len(got), WatchersPerKind)
	}
	for i := range list {
		list[i].StoreReachable = false
	}
	trying := 0
	for _, m := range list {
		if WatchDuty(list, m.Name, Pools) {
			trying++
		}
	}
	if trying != WatchersPerKind {
		t.Fatalf("%d instances try while no one reaches the object API, want %d", trying, WatchersPerKind)
	}
}

// An instance is cut off from the object API while others are not. It has to
// say so at once, so that others watch in its place, and to say when it is back.
func TestReachabilityIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		told := make(chan bool, 64)
		var p *Provider
		p = NewProvider(ProviderConfig{
			Store: s, Keeper: NewKeeper(clock.System{}), Self: "entry-0",
			ReachableChanged: func() { told <- p.StoreReachable() },
		})
		p.Start()
		defer p.Stop()
		time.Sleep(membersGrace + time.Second)
		for len(told) > 0 {
			if !<-told {
				t.Fatal("a loss was told that never was")
			}
		}
		s.SetDown(true)
		synctest.Wait()
		if len(told) == 0 || <-told {
			t.Fatal("the loss was not told")
		}
		p.SetMembers(append(members(8)[1:], Member{Name: "entry-0"}))
		s.SetDown(false)
		time.Sleep(2 * recheckInterval)
		if !p.StoreReachable() {
			t.Fatal("an instance without a watch does not find that the object API answers again")
		}
	})
}

// BenchmarkStoreCallsAtRest tells how many calls a second the instances make
// when nothing changes, each waiting watch counted as one call a second.
func BenchmarkStoreCallsAtRest(b *testing.B) {
	for _, n := range []int{8, 64, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			most, total := 0, 0
			for b.Loop() {
				most, total = watchesAtRest(n)
			}
			lists := float64(len(Kinds)) / listInterval.Seconds()
			b.ReportMetric(float64(total)+lists*float64(n), "fleet-calls/s")
			b.ReportMetric(float64(total)/float64(n)+lists, "mean-calls/s/instance")
			b.ReportMetric(math.Round(1000*(float64(most)+lists))/1000, "most-calls/s/instance")
		})
	}
}

// watchesAtRest counts the watches of the instance that has most, and of all.
func watchesAtRest(n int) (most, total int) {
	list := members(n)
	for _, m := range list {
		own := 0
		for _, kind := range Kinds {
			if WatchDuty(list, m.Name, kind) {
				own++
			}
		}
		most, total = max(most, own), total+own
	}
	return most, total
}
