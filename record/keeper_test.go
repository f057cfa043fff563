package record

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// classItem is a stored class whose max_wait_ms tells its version.
func classItem(name string, version uint64) Item {
	value, err := Marshal(&recordspb.Record{SchemaVersion: 1, Name: name, Spec: &recordspb.Record_Class{
		Class: &recordspb.RequestClass{MaxWaitMs: int64(version), TimeoutMs: 1000},
	}})
	if err != nil {
		panic(err)
	}
	return Item{Kind: Classes, Name: name, Version: version, Value: value}
}

func refusedItem(name string, version uint64) Item {
	value := fmt.Sprintf(`{"schemaVersion":1,"name":%q,"class":{"maxWaitMs":"-%d"}}`, name, version)
	return Item{Kind: Classes, Name: name, Version: version, Value: []byte(value)}
}

func newerSchemaItem(name string, version uint64) Item {
	value := fmt.Sprintf(`{"schema_version":2,"name":%q,"class":{"colour":%d}}`, name, version)
	return Item{Kind: Classes, Name: name, Version: version, Value: []byte(value)}
}

func complete() *Keeper {
	k := NewKeeper(clock.System{})
	k.SetComplete()
	return k
}

func inForce(k *Keeper, name string) int64 {
	c, ok := k.Snapshot().Class(name)
	if !ok {
		return 0
	}
	return c.GetMaxWaitMs()
}

// An operator makes a typing error in a record. Callers notice nothing: the
// last good version stays in force, and the status says what is wrong.
func TestBadEditLeavesTheLastAcceptedInForce(t *testing.T) {
	k := complete()
	k.Offer(classItem("quote", 3), refusedItem("quote", 5))
	if got := inForce(k, "quote"); got != 3 {
		t.Fatalf("version %d is in force, want 3", got)
	}
	c := k.Conditions()[0]
	if c.Newest != 5 || !strings.Contains(c.Refused, "max_wait_ms") {
		t.Fatalf("the condition does not tell the refused version and field: %+v", c)
	}
}

// Half of the instances are updated and operators use what only the new
// release knows. The old half keeps serving by what it last understood and
// hands the new record on as it is.
func TestNewerSchemaIsHandedOnButNotUsed(t *testing.T) {
	k := complete()
	newest := newerSchemaItem("quote", 9)
	k.Offer(classItem("quote", 3), newest)
	if got := inForce(k, "quote"); got != 3 {
		t.Fatalf("version %d is in force, want 3", got)
	}
	if c := k.Conditions()[0]; !strings.Contains(c.Refused, "schema version 2") {
		t.Fatalf("the condition does not tell the schema: %+v", c)
	}
	if got := k.Items()[0]; !reflect.DeepEqual(got, newest) {
		t.Fatalf("handed on %+v, want %+v", got, newest)
	}
}

// A peer that was cut off comes back and tells of a record that was deleted in
// the meantime. An organisation that was removed must not get in again.
func TestStalePeerDoesNotBringBackADeletedRecord(t *testing.T) {
	k := complete()
	k.Offer(classItem("quote", 3))
	k.OfferListing(Classes, 8, nil)
	k.Offer(classItem("quote", 3), classItem("quote", 7))
	if got := inForce(k, "quote"); got != 0 {
		t.Fatalf("version %d came back", got)
	}
}

// The object API counts versions over all that it holds, claims and leases too.
// An instance that lists later than another has the same records, and is not
// ahead: otherwise the status would name the other as behind for minutes.
func TestListingsOfTheSameRecordsAreOneVersion(t *testing.T) {
	early, late := complete(), complete()
	early.OfferListing(Classes, 14, []Item{classItem("quote", 3)})
	late.OfferListing(Classes, 900, []Item{classItem("quote", 3)})
	if early.Version() != 3 || late.Version() != 3 {
		t.Fatalf("versions %d and %d, want 3", early.Version(), late.Version())
	}
	if got := late.Snapshot().Version; got != 3 {
		t.Fatalf("the snapshot has version %d, want 3", got)
	}
}

// With only some kinds read, callers would hear that their key is not known.
// So nothing is in force until every kind was listed.
func TestNothingIsInForceBeforeAllKindsAreKnown(t *testing.T) {
	k := NewKeeper(clock.System{})
	for _, kind := range Kinds {
		if k.Snapshot() != nil {
			t.Fatalf("a snapshot before %s was listed", kind)
		}
		k.OfferListing(kind, 1, nil)
	}
	if k.Snapshot() == nil {
		t.Fatal("no snapshot after all kinds were listed")
	}
}

// Records that pass their own checks can still not work together. They are in
// force, since the other half may be on its way, and operators are told.
func TestWarningsOfRecordsThatDoNotFit(t *testing.T) {
	twice := []*recordspb.Endpoint{{Name: "engine-1"}, {Name: "engine-1"}}
	shared := []string{HashKey("key")}
	s := NewSnapshot(1, []*recordspb.Record{
		{Name: "empty", Spec: &recordspb.Record_Pool{Pool: &recordspb.EndpointPool{}}},
		{Name: "twice", Spec: &recordspb.Record_Pool{Pool: &recordspb.EndpointPool{Endpoints: twice}}},
		{Name: "counter", Spec: &recordspb.Record_Model{Model: &recordspb.Model{Pool: "none", DefaultClass: "none"}}},
		{Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: &recordspb.Organisation{KeyHashes: shared}}},
		{Name: "tema", Spec: &recordspb.Record_Organisation{Organisation: &recordspb.Organisation{KeyHashes: shared, Models: []string{"none"}}}},
		{Name: "ordering", Spec: &recordspb.Record_Service{Service: &recordspb.Service{Class: "none"}}},
	})
	for _, c := range []struct {
		kind Kind
		name string
		want int
	}{
		{Pools, "empty", 1}, {Pools, "twice", 2}, {Models, "counter", 2},
		{Organisations, "accra", 0}, {Organisations, "tema", 2}, {Services, "ordering", 1},
	} {
		if got := warnings(s, endpointNames(s), c.kind, c.name); len(got) != c.want {
			t.Errorf("%s/%s: warnings %q, want %d", c.kind, c.name, got, c.want)
		}
	}
	if owner, _ := s.OrganisationByKey("key"); owner != "accra" {
		t.Errorf("the shared key belongs to %q, want the first by name", owner)
	}
}

func TestItemsSurviveTheWire(t *testing.T) {
	k := complete()
	k.Offer(classItem("quote", 3), refusedItem("quote", 5), Item{Kind: Classes, Name: "old", Version: 4, Deleted: true})
	for _, it := range k.Items() {
		got, err := DecodeItem(it.Key(), it.Version, it.Encode())
		if err != nil || !reflect.DeepEqual(got, it) {
			t.Fatalf("got %+v, %v; want %+v", got, err, it)
		}
	}
}

// history is what happened in the object API, one change a version.
type history []Item

var historyNames = []string{"a", "b", "c"}

func drawHistory(t *rapid.T) history {
	var h history
	live := map[string]bool{}
	for v := range rapid.IntRange(1, 14).Draw(t, "changes") {
		version := uint64(v + 1)
		name := rapid.SampledFrom(historyNames).Draw(t, "name")
		op := rapid.SampledFrom([]string{"good", "good", "bad", "schema", "delete"}).Draw(t, "op")
		switch {
		case op == "delete" && live[name]:
			h = append(h, Item{Kind: Classes, Name: name, Version: version, Deleted: true})
		case op == "bad":
			h = append(h, refusedItem(name, version))
		case op == "schema":
			h = append(h, newerSchemaItem(name, version))
		default:
			h = append(h, classItem(name, version))
		}
		live[name] = !h[v].Deleted
	}
	return h
}

// listing is what a list returned at that version.
func (h history) listing(version int) []Item {
	last := map[string]Item{}
	for _, it := range h[:version] {
		last[it.Name] = it
	}
	var items []Item
	for _, it := range last {
		if !it.Deleted {
			items = append(items, it)
		}
	}
	return items
}

// wanted is the version that has to be in force for who saw all of it.
func (h history) wanted(name string) int64 {
	var want int64
	for _, it := range h {
		switch {
		case it.Name != name:
		case it.Deleted:
			want = 0
		case reflect.DeepEqual(it, classItem(name, it.Version)):
			want = int64(it.Version)
		}
	}
	return want
}

// Watches, lists, stale reads, peers and restarts bring the same changes in
// any order and more than once. What is in force at an instance never goes
// back, and instances that were told the same end equal; otherwise an operator
// would see an accepted change come undone.
func TestRecordsNeverGoBackAndEndEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		fleet := []*Keeper{complete(), complete(), complete()}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(fleet)-1).Draw(t, "instance")
			step(t, h, fleet, i)
		}
		for range 2 {
			for _, from := range fleet {
				for _, to := range fleet {
					to.Offer(from.Items()...)
				}
			}
		}
		for _, name := range historyNames {
			for _, k := range fleet[1:] {
				if a, b := inForce(fleet[0], name), inForce(k, name); a != b {
					t.Fatalf("%s: versions %d and %d in force after an exchange", name, a, b)
				}
			}
		}
		for _, k := range fleet {
			for _, n := range rapid.Permutation(indexes(h)).Draw(t, "order") {
				k.Offer(h[n])
			}
			for _, name := range historyNames {
				if got, want := inForce(k, name), h.wanted(name); got != want {
					t.Fatalf("%s: version %d in force after all was told, want %d", name, got, want)
				}
			}
		}
	})
}

func indexes(h history) []int {
	list := make([]int, len(h))
	for i := range list {
		list[i] = i
	}
	return list
}

// step lets one instance hear something and checks that nothing goes back:
// the keeper asserts it for each record, the snapshot's version shows it here.
func step(t *rapid.T, h history, fleet []*Keeper, i int) {
	before := fleet[i].Snapshot()
	forced := map[string]int64{}
	for _, name := range historyNames {
		forced[name] = inForce(fleet[i], name)
	}
	switch rapid.SampledFrom([]string{"watch", "list", "peer", "restart"}).Draw(t, "step") {
	case "watch":
		fleet[i].Offer(h[rapid.IntRange(0, len(h)-1).Draw(t, "event")])
	case "list":
		version := rapid.IntRange(1, len(h)).Draw(t, "listed")
		fleet[i].OfferListing(Classes, uint64(version), h.listing(version))
	case "peer":
		fleet[i].Offer(fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "peer")].Items()...)
	case "restart":
		fleet[i] = complete()
		return
	}
	if fleet[i].Snapshot().Version < before.Version {
		t.Fatalf("the snapshot went from version %d to %d", before.Version, fleet[i].Snapshot().Version)
	}
	for _, name := range historyNames {
		if got := inForce(fleet[i], name); got != 0 && got < forced[name] {
			t.Fatalf("%s went from version %d to %d", name, forced[name], got)
		}
	}
}

// BenchmarkConditions tells what a look at all records costs that a holder of a
// lease makes every two seconds: 1,100 organisations, 22 pools of 110 endpoints.
func BenchmarkConditions(b *testing.B) {
	k := complete()
	version := uint64(0)
	offer := func(kind Kind, r *recordspb.Record) {
		version++
		r.SchemaVersion = 1
		value, err := Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.take(Item{Kind: kind, Name: r.GetName(), Version: version, Value: value})
	}
	for p := range 22 {
		pool := &recordspb.EndpointPool{}
		for e := range 110 {
			pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("e-%d-%d", p, e), Address: "127.0.0.1:9000"})
		}
		offer(Pools, &recordspb.Record{Name: fmt.Sprintf("pool-%d", p), Spec: &recordspb.Record_Pool{Pool: pool}})
	}
	for o := range 1100 {
		name := fmt.Sprintf("org-%d", o)
		org := &recordspb.Organisation{Weight: 1, KeyHashes: []string{HashKey(name)}}
		offer(Organisations, &recordspb.Record{Name: name, Spec: &recordspb.Record_Organisation{Organisation: org}})
	}
	k.Offer(classItem("quote", version+1))
	b.Run("conditions", func(b *testing.B) {
		for b.Loop() {
			k.Conditions()
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			version++
			k.Offer(classItem("quote", version+1))
		}
	})
}
