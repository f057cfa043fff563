package balance

import (
	"fmt"
	"testing"

	"github.com/sardinedock/sardinedock/prefix"
)

// All routers are killed together and come back a second later. The endpoints
// still hold every catalogue, but a router that knows nothing of it has them all
// read again, and callers wait for seconds at the worst moment.
func TestNewInstanceUsesWhatEndpointsHold(t *testing.T) {
	old, fresh := newPool(3, 1), newPool(3, 1)
	id, p := send(t, old, start, prompt(1, 1))
	old.Moved(start, id, Answering)
	holder := p.Endpoint.ID
	fresh.Cached(CacheNews{Holder: holder, Model: model, Whole: true, Added: old.CachedParts(holder, model)})
	got, _ := fresh.Choose(start, prompt(1, 2))
	if got.Uncached != 1000 {
		t.Errorf("%d tokens count as uncached, want the request's own 1000", got.Uncached)
	}
}

// Requests wait for a moment after a start until endpoints have told what they hold;
// an endpoint that leaves must not make them wait.
func TestWarmOnceAllEndpointsHaveTold(t *testing.T) {
	s := newPool(2, 1)
	if s.Warm("pool") {
		t.Error("warm before any endpoint has told")
	}
	s.Cached(CacheNews{Holder: "e0", Model: model, Whole: true})
	if s.Warm("pool") {
		t.Error("warm with one endpoint missing")
	}
	s.Gone("e1")
	if !s.Warm("pool") {
		t.Error("not warm though the only endpoint that stays has told")
	}
}

// An endpoint evicts a catalogue that the router still counts on. Requests that
// are sent there to use it read it again, one after the other.
func TestEvictedPartsAreForgotten(t *testing.T) {
	s := newPool(1, 1)
	id, p := send(t, s, start, prompt(1, 1))
	s.Moved(start, id, Answering)
	s.Cached(CacheNews{Holder: p.Endpoint.ID, Model: model, Removed: []prefix.PartKey{p.Keys[0]}})
	if got, _ := s.Choose(start, prompt(1, 2)); got.Uncached != 6000 {
		t.Errorf("%d tokens count as uncached after the eviction, want 6000", got.Uncached)
	}
}

// The store of kept cache restarts empty. Requests that are told to fetch from it
// read everything all the same, after a vain try.
func TestEmptyStoreIsNotFetchedFrom(t *testing.T) {
	s := newPool(2, 1)
	s.SetKept([]KeptStore{{Address: "kept:1", DataCentre: "dc", CacheTokens: 1_000_000}})
	keys := prefix.PartKeys(nil, Scope("all", 1), model, prompt(1, 1).Parts)
	s.Cached(CacheNews{Holder: "kept:1", Added: []CachedPart{{keys[0], 5000}}})
	if got, _ := s.Choose(start, prompt(1, 2)); got.FetchFrom != "kept:1" {
		t.Fatalf("fetched from %q, want the store", got.FetchFrom)
	}
	s.Cached(CacheNews{Holder: "kept:1", Whole: true})
	if got, _ := s.Choose(start, prompt(1, 3)); got.FetchFrom != "" {
		t.Errorf("fetched from %q though the store is empty", got.FetchFrom)
	}
}

// More catalogues are in use than one of three stores holds. With one store
// preferred to the others, it forgets what was read a moment ago while they stay
// empty, and callers wait until engines have read it again.
func TestCataloguesAreSpreadOverTheStores(t *testing.T) {
	s := newPool(4, 1)
	var stores []KeptStore
	for _, address := range []string{"kept:1", "kept:2", "kept:3"} {
		stores = append(stores, KeptStore{Address: address, DataCentre: "dc", CacheTokens: 1_000_000})
	}
	s.SetKept(stores)
	const catalogues = 60
	saved := map[string]int{}
	for i := range catalogues {
		run, p := send(t, s, start, prompt(i, i))
		s.Moved(start, run, Done)
		saved[p.SaveTo]++
		if again := s.saveTo(&chooser{ask: prompt(i, 1000+i)}, p); again != p.SaveTo {
			t.Errorf("catalogue %d is kept by %s and by %s", i, p.SaveTo, again)
		}
	}
	for _, k := range stores {
		if n := saved[k.Address]; n < catalogues/6 {
			t.Errorf("%s keeps %d of %d catalogues: %v", k.Address, n, catalogues, saved)
		}
	}
}

// Short questions with little in common stream past long ones about one catalogue.
// Kept whole, each pushes its own text into the store, and the catalogue is gone from
// it within seconds: the next caller waits until an engine has read it again.
func TestShortPromptsDoNotPushCataloguesOutOfTheStore(t *testing.T) {
	s := newPool(1, 1)
	s.SetKept([]KeptStore{{Address: "kept:1", DataCentre: "dc", CacheTokens: 100_000}})
	finish := func(a Ask) {
		run, _ := send(t, s, start, a)
		s.Moved(start, run, Done)
	}
	finish(prompt(1, 1))
	for i := range 200 {
		finish(Ask{
			Service: "pool", Model: model, Wall: "all", DataCentre: "dc", OutputTokens: 20, PromptTokens: 680,
			Parts: []prefix.Part{{ID: fmt.Sprint("topic", i), Tokens: 80}, {ID: fmt.Sprint("text", i), Tokens: 600}},
		})
	}
	p, _ := s.Choose(start, prompt(1, 2))
	if p.FetchFrom != "kept:1" || p.Uncached != 1000 {
		t.Errorf("the catalogue is read again: %d tokens uncached, fetched from %q", p.Uncached, p.FetchFrom)
	}
}
