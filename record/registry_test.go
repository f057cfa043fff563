package record

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/clock"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// classItem returns a stored class whose max_wait_ms equals its version.
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

func newCompleteRegistry() *Registry {
	reg := NewRegistry(clock.System{})
	reg.SetComplete()
	return reg
}

func inForce(reg *Registry, name string) int64 {
	c, ok := reg.Snapshot().Class(name)
	if !ok {
		return 0
	}
	return c.GetMaxWaitMs()
}

// An operator stores an invalid version of a record. The last accepted version must
// stay in force, and the condition must report the fault.
func TestInvalidEditKeepsLastAcceptedVersionInForce(t *testing.T) {
	reg := newCompleteRegistry()
	reg.Offer(classItem("quote", 3), refusedItem("quote", 5))
	if got := inForce(reg, "quote"); got != 3 {
		t.Fatalf("version %d is in force, want 3", got)
	}
	c := reg.Conditions()[0]
	if c.Newest != 5 || !strings.Contains(c.Refused, "max_wait_ms") {
		t.Fatalf("the condition does not report the refused version and field: %+v", c)
	}
}

// During an update, operators store a record with a schema that only the new release
// knows. Instances of the old release must keep the last version they can decode in
// force and forward the new one unchanged.
func TestNewerSchemaIsForwardedButNotUsed(t *testing.T) {
	reg := newCompleteRegistry()
	newest := newerSchemaItem("quote", 9)
	reg.Offer(classItem("quote", 3), newest)
	if got := inForce(reg, "quote"); got != 3 {
		t.Fatalf("version %d is in force, want 3", got)
	}
	if c := reg.Conditions()[0]; !strings.Contains(c.Refused, "schema version 2") {
		t.Fatalf("the condition does not report the schema version: %+v", c)
	}
	if got := reg.Items()[0]; !reflect.DeepEqual(got, newest) {
		t.Fatalf("forwarded %+v, want %+v", got, newest)
	}
}

// A peer that was partitioned sends a record that has been deleted in the meantime.
// The record must not be restored, or a removed organisation would regain access.
func TestStalePeerDoesNotRestoreDeletedRecord(t *testing.T) {
	reg := newCompleteRegistry()
	reg.Offer(classItem("quote", 3))
	reg.OfferListing(Classes, 8, nil)
	reg.Offer(classItem("quote", 3), classItem("quote", 7))
	if got := inForce(reg, "quote"); got != 0 {
		t.Fatalf("version %d was restored", got)
	}
}

// The object API's versions count changes of all objects, including claims and leases.
// An instance that lists later than another has the same records and must have the
// same version; otherwise the status would report the other as behind for minutes.
func TestListVersionDoesNotCountAsRecordVersion(t *testing.T) {
	early, late := newCompleteRegistry(), newCompleteRegistry()
	early.OfferListing(Classes, 14, []Item{classItem("quote", 3)})
	late.OfferListing(Classes, 900, []Item{classItem("quote", 3)})
	if early.Version() != 3 || late.Version() != 3 {
		t.Fatalf("versions %d and %d, want 3", early.Version(), late.Version())
	}
	if got := late.Snapshot().Version; got != 3 {
		t.Fatalf("the snapshot has version %d, want 3", got)
	}
}

// With only some kinds listed, requests would be refused for an unknown key. Nothing
// may be in force until every kind was listed.
func TestNothingIsInForceBeforeAllKindsAreListed(t *testing.T) {
	reg := NewRegistry(clock.System{})
	for _, kind := range Kinds {
		if reg.Snapshot() != nil {
			t.Fatalf("a snapshot before %s was listed", kind)
		}
		reg.OfferListing(kind, 1, nil)
	}
	if reg.Snapshot() == nil {
		t.Fatal("no snapshot after all kinds were listed")
	}
}

// Records can be valid by themselves but not fit each other. They must be in force,
// because a record they refer to may not have arrived yet, and must have warnings.
func TestWarningsOfInconsistentRecords(t *testing.T) {
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
		if got := warnings(s, countEndpointNames(s), c.kind, c.name); len(got) != c.want {
			t.Errorf("%s/%s: warnings %q, want %d", c.kind, c.name, got, c.want)
		}
	}
	if owner, _ := s.OrganisationByKey("key"); owner != "accra" {
		t.Errorf("the shared key belongs to %q, want the first by name", owner)
	}
}

func TestItemEncodingRoundTrip(t *testing.T) {
	reg := newCompleteRegistry()
	reg.Offer(classItem("quote", 3), refusedItem("quote", 5), Item{Kind: Classes, Name: "old", Version: 4, Deleted: true})
	for _, it := range reg.Items() {
		got, err := DecodeItem(it.Key(), it.Version, it.Encode())
		if err != nil || !reflect.DeepEqual(got, it) {
			t.Fatalf("got %+v, %v; want %+v", got, err, it)
		}
	}
}

// history is a sequence of changes in the object API, one per version.
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

// listing returns what a list at that version returns.
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

// wanted returns the version that must be in force at an instance that received the
// whole history.
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

// Watches, lists, stale reads, peers and restarts deliver the same changes in any order
// and more than once. The version in force at an instance must never decrease, or an
// accepted change would be undone, and instances that received the same items must
// converge.
func TestRecordsNeverGoBackAndEndEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		fleet := []*Registry{newCompleteRegistry(), newCompleteRegistry(), newCompleteRegistry()}
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
			for _, reg := range fleet[1:] {
				if a, b := inForce(fleet[0], name), inForce(reg, name); a != b {
					t.Fatalf("%s: versions %d and %d in force after an exchange", name, a, b)
				}
			}
		}
		for _, reg := range fleet {
			for _, n := range rapid.Permutation(indexes(h)).Draw(t, "order") {
				reg.Offer(h[n])
			}
			for _, name := range historyNames {
				if got, want := inForce(reg, name), h.wanted(name); got != want {
					t.Fatalf("%s: version %d in force after all changes, want %d", name, got, want)
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

// step delivers a change, list or exchange to one instance, or restarts it, and checks
// that no version decreases: the Registry asserts it for each record, and step checks it
// for the snapshot's version and for the versions in force.
func step(t *rapid.T, h history, fleet []*Registry, i int) {
	before := fleet[i].Snapshot()
	versionsBefore := map[string]int64{}
	for _, name := range historyNames {
		versionsBefore[name] = inForce(fleet[i], name)
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
		fleet[i] = newCompleteRegistry()
		return
	}
	if fleet[i].Snapshot().Version < before.Version {
		t.Fatalf("the snapshot went from version %d to %d", before.Version, fleet[i].Snapshot().Version)
	}
	for _, name := range historyNames {
		if got := inForce(fleet[i], name); got != 0 && got < versionsBefore[name] {
			t.Fatalf("%s went from version %d to %d", name, versionsBefore[name], got)
		}
	}
}

// BenchmarkConditions measures Conditions, which a lease holder calls every two
// seconds, with 1,100 organisations and 22 pools of 110 endpoints each.
func BenchmarkConditions(b *testing.B) {
	reg := newCompleteRegistry()
	version := uint64(0)
	offer := func(kind Kind, r *recordspb.Record) {
		version++
		r.SchemaVersion = 1
		value, err := Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		reg.mu.Lock()
		defer reg.mu.Unlock()
		reg.take(Item{Kind: kind, Name: r.GetName(), Version: version, Value: value})
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
	reg.Offer(classItem("quote", version+1))
	b.Run("conditions", func(b *testing.B) {
		for b.Loop() {
			reg.Conditions()
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			version++
			reg.Offer(classItem("quote", version+1))
		}
	})
}
