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

func startProvider(s *objecttest.Store, self string, spread time.Duration) (*Registry, *Provider) {
	k := NewRegistry(clock.System{})
	p := NewProvider(ProviderConfig{Store: s, Registry: k, Self: self, Spread: func(context.Context) time.Duration { return spread }})
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

func TestChangeIsReceivedByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		k, p := startProvider(s, "entry-0", 0)
		defer p.Stop()
		time.Sleep(membersWait + time.Second)
		put(s, 2)
		synctest.Wait()
		if got := inForce(k, "quote"); got != 2 {
			t.Fatalf("version %d is in force, want 2", got)
		}
	})
}

// An instance starts while the object API is down for an hour. It must keep trying at
// a bounded rate and must have the records soon after the outage.
func TestStartDuringOutageRetriesAtBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		s.SetDown(true)
		k, p := startProvider(s, "entry-0", 0)
		defer p.Stop()
		time.Sleep(time.Hour)
		if k.Snapshot() != nil {
			t.Fatal("a snapshot is in force during the outage")
		}
		if lists := s.Counts().Lists; lists > 5*2000 {
			t.Fatalf("%d lists in an hour of outage", lists)
		}
		s.SetDown(false)
		time.Sleep(2 * maxBackoff)
		if got := inForce(k, "quote"); got != 1 {
			t.Fatalf("version %d is in force, want 1", got)
		}
	})
}

// The object API is unreachable from this instance while operators change a record, and
// it may compact old versions meanwhile. The instance must still receive the change.
func TestWatchResumesAfterOutageOrListsAgainIfCompacted(t *testing.T) {
	for _, compact := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &objecttest.Store{}
			put(s, 1)
			k, p := startProvider(s, "entry-0", 0)
			defer p.Stop()
			time.Sleep(membersWait + time.Second)
			s.SetDown(true)
			time.Sleep(time.Minute)
			put(s, 2)
			if compact {
				s.DropHistory()
			}
			lists := s.Counts().Lists
			s.SetDown(false)
			time.Sleep(2 * maxBackoff)
			if got := inForce(k, "quote"); got != 2 {
				t.Fatalf("old versions compacted %v: version %d is in force, want 2", compact, got)
			}
			if relisted := s.Counts().Lists > lists; relisted != compact {
				t.Fatalf("old versions compacted %v: listed again %v", compact, relisted)
			}
		})
	}
}

// All instances restart at once. Each must list each kind once, and the lists must be
// spread over time.
func TestSimultaneousRestartsSpreadTheirLists(t *testing.T) {
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

// The watching instances lose their connection to the object API. Others have to watch
// in their place.
func TestWatchDutyMovesToReachableInstances(t *testing.T) {
	list := members(8)
	watchers := func() []int {
		var found []int
		for i, m := range list {
			if m.StoreReachable && IsWatcher(list, m.Name, Pools) {
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
		if IsWatcher(list, m.Name, Pools) {
			trying++
		}
	}
	if trying != WatchersPerKind {
		t.Fatalf("%d instances try while no one reaches the object API, want %d", trying, WatchersPerKind)
	}
}

// One instance loses its connection to the object API while others do not. It has to
// report this at once, so that others watch in its place, and to notice when the
// object API is reachable again.
func TestReachabilityIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		reported := make(chan bool, 64)
		var p *Provider
		p = NewProvider(ProviderConfig{
			Store: s, Registry: NewRegistry(clock.System{}), Self: "entry-0",
			ReachableChanged: func() { reported <- p.StoreReachable() },
		})
		p.Start()
		defer p.Stop()
		time.Sleep(membersWait + time.Second)
		for len(reported) > 0 {
			if !<-reported {
				t.Fatal("the object API was reported unreachable while it was reachable")
			}
		}
		s.SetDown(true)
		synctest.Wait()
		if len(reported) == 0 || <-reported {
			t.Fatal("the object API was not reported unreachable")
		}
		p.SetMembers(append(members(8)[1:], Member{Name: "entry-0"}))
		s.SetDown(false)
		time.Sleep(2 * recheckInterval)
		if !p.StoreReachable() {
			t.Fatal("an instance without a watch does not notice that the object API is reachable again")
		}
	})
}

// BenchmarkStoreCallsAtRest reports how many calls a second the instances make while
// no record changes, with each pending watch counted as one call a second.
func BenchmarkStoreCallsAtRest(b *testing.B) {
	for _, n := range []int{8, 64, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			most, total := 0, 0
			for b.Loop() {
				most, total = idleWatches(n)
			}
			lists := float64(len(Kinds)) / listInterval.Seconds()
			b.ReportMetric(float64(total)+lists*float64(n), "fleet-calls/s")
			b.ReportMetric(float64(total)/float64(n)+lists, "mean-calls/s/instance")
			b.ReportMetric(math.Round(1000*(float64(most)+lists))/1000, "most-calls/s/instance")
		})
	}
}

// idleWatches returns the largest number of watches at one instance, and the total of
// all instances.
func idleWatches(n int) (most, total int) {
	list := members(n)
	for _, m := range list {
		own := 0
		for _, kind := range Kinds {
			if IsWatcher(list, m.Name, kind) {
				own++
			}
		}
		most, total = max(most, own), total+own
	}
	return most, total
}
