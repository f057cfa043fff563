package status

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/rollout"
)

type lease struct {
	mu   sync.Mutex
	held bool
}

func (l *lease) set(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

func (l *lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1, l.held
}

// describer returns a status whose version tests change.
type describer struct {
	mu      sync.Mutex
	version uint64
}

func (d *describer) set(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
}

func (d *describer) describe() (Object, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Object{Version: d.version}, true
}

func startWriter(s *objecttest.Store, self string, l *lease) (*Writer, *describer) {
	d := &describer{version: 1}
	w := NewWriter(Config{Store: s, Name: FleetName, Self: self, Lease: l, Describe: d.describe})
	w.Start()
	return w, d
}

func read(t *testing.T, s *objecttest.Store) Object {
	t.Helper()
	list, err := Read(context.Background(), s)
	if err != nil || len(list) != 1 {
		t.Fatalf("%d objects, %v", len(list), err)
	}
	return list[0].Object
}

// The status changes all the time. The writes of an object must stay bounded, or the status of
// many pools would use up the object API's rate.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		w, d := startWriter(s, "entry-0", &lease{held: true})
		defer w.Stop()
		for v := range uint64(600) {
			d.set(v)
			time.Sleep(100 * time.Millisecond)
		}
		if puts := s.Counts().Puts; puts < 5 || puts > 13 {
			t.Fatalf("%d writes in a minute of changes", puts)
		}
		before := s.Counts().Puts
		time.Sleep(10 * time.Minute)
		if puts := s.Counts().Puts - before; puts > 11 {
			t.Fatalf("%d writes in ten minutes without a change", puts)
		}
	})
}

// The writer fails and another instance takes over. Operators must still see what the first one
// decided, and an instance without the lease must write nothing.
func TestNextHolderKeepsTheDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		first, second := &lease{held: true}, &lease{}
		a, _ := startWriter(s, "entry-0", first)
		defer a.Stop()
		b, d := startWriter(s, "entry-1", second)
		defer b.Stop()
		a.AddDecision(time.Now(), "expelled engine-3")
		time.Sleep(10 * time.Second)
		if got := read(t, s); got.WrittenBy != "entry-0" || len(got.Decisions) != 1 {
			t.Fatalf("got %+v", got)
		}
		first.set(false)
		second.set(true)
		d.set(2)
		time.Sleep(time.Second)
		b.AddDecision(time.Now(), "expelled engine-4")
		time.Sleep(10 * time.Second)
		got := read(t, s)
		if got.WrittenBy != "entry-1" || got.Version != 2 || len(got.Decisions) != 2 {
			t.Fatalf("got %+v", got)
		}
	})
}

// The object API is down, and the reply to the first write after the outage is lost. A decision
// made meanwhile must reach operators, and only once.
func TestLostReplyAndOutageLoseNoDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		w, d := startWriter(s, "entry-0", &lease{held: true})
		defer w.Stop()
		time.Sleep(10 * time.Second)
		s.SetDown(true)
		w.AddDecision(time.Now(), "expelled engine-3")
		d.set(2)
		time.Sleep(time.Minute)
		s.LoseReplies(1)
		s.SetDown(false)
		time.Sleep(20 * time.Second)
		if got := read(t, s); got.Version != 2 || len(got.Decisions) != 1 {
			t.Fatalf("got %+v", got)
		}
	})
}

func TestTextForOperators(t *testing.T) {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	since := now.Add(-time.Minute)
	o := Object{WrittenBy: "entry-0", WrittenAt: now, Version: 9}
	o.SetRecords([]record.Condition{
		{Kind: record.Classes, Name: "sort", InForce: 9, Newest: 9, Since: since},
		{Kind: record.Pools, Name: "counters", InForce: 3, Newest: 8, Since: since, Refused: "pool.slots: found 0"},
	})
	o.SetInstances([]Instance{{"entry-0", 9}, {"entry-1", 7}})
	o.Endpoints = []Endpoint{{Name: "engine-3", Status: "suspect", Reason: "silent"}}
	o.Rollout = &rollout.Progress{Wanted: []string{"counter@2"}, Endpoints: 9, Converged: 8, Behind: []string{"engine-3"}, Unanswered: 1, Since: since}
	var b strings.Builder
	if err := (Named{Name: FleetName, Object: o}).WriteText(&b, now); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"fleet: records up to version 9, 2 instances; told by entry-0 0s ago",
		"pools/counters: version 3 in force since 1m0s ago; version 8 refused: pool.slots: found 0",
		"classes/sort: version 9 in force since 1m0s ago",
		"instance entry-1 is at version 7",
		"endpoint engine-3: suspect; silent",
		"rollout of counter@2: 8 of 9 endpoints have it; 0 load, 1 do not answer; behind since 1m0s ago: engine-3",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in:\n%s", want, b.String())
		}
	}
}

// A fleet has over a thousand records. Its object must stay far below the size limit of a value
// and must list the faulty ones.
func TestObjectStaysSmall(t *testing.T) {
	var list []record.Condition
	for i := range 5000 {
		list = append(list, record.Condition{Kind: record.Organisations, Name: fmt.Sprintf("org-%d", i), InForce: uint64(i + 1), Newest: uint64(i + 1)})
	}
	list[0].Refused = "bad"
	var o Object
	o.SetRecords(list)
	if len(o.Records) != maxRecords || o.Omitted != 5000-maxRecords || o.Records[0].Name != "org-0" {
		t.Fatalf("%d records, %d omitted, first %+v", len(o.Records), o.Omitted, o.Records[0])
	}
}
