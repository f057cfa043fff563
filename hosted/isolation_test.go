package hosted

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// sharedCache is what endpoints have cached, and which organisation made it.
type sharedCache struct {
	mu    sync.Mutex
	maker map[string]string
	// isolated are the organisations that are isolated now.
	isolated map[string]bool
	// salts are the last ones by organisation.
	salts  map[string]string
	breach []string
}

// answer records the use of the cache by a request, and serves it.
func (c *sharedCache) answer(x *platformtest.Exchange) bool {
	c.mu.Lock()
	salt, organisation := x.Header("Sardinedock-Cache-Salt"), x.Header("Sardinedock-Tenant-Id")
	c.salts[organisation] = salt
	for part := range strings.SplitSeq(x.Header("Sardinedock-Prompt-Prefix"), ",") {
		key := salt + " " + part
		maker, cached := c.maker[key]
		if cached && maker != organisation && (c.isolated[maker] || c.isolated[organisation]) {
			c.breach = append(c.breach, fmt.Sprintf("%s uses %s of %s", organisation, key, maker))
		}
		if !cached {
			c.maker[key] = organisation
		}
	}
	c.mu.Unlock()
	return oneEvent(x)
}

// salt returns the last salt of an organisation.
func (c *sharedCache) salt(organisation string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.salts[organisation]
}

// groups returns how many salts parts were cached under.
func (c *sharedCache) groups() int {
	salts := map[string]bool{}
	for key := range c.maker {
		salt, _, _ := strings.Cut(key, " ")
		salts[salt] = true
	}
	return len(salts)
}

func newSharedCache() *sharedCache {
	return &sharedCache{maker: map[string]string{}, salts: map[string]string{}, isolated: map[string]bool{}}
}

// configure puts records in force with the given organisations, of which those in upper case are isolated.
func (c *sharedCache) configure(f *fixture, organisations string, endpoints int) {
	isolated := map[string]bool{}
	f.serve(endpoints, func(records map[string]any) {
		var list []any
		for name := range strings.FieldsSeq(organisations) {
			own := strings.ToLower(name)
			isolated[own] = name != own
			list = append(list, map[string]any{"name": own, "apiKeys": []string{"key-" + own}, "priority": 0, "isolated": isolated[own]})
		}
		records["tenants"] = list
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = isolated
}

// from turns a model request into one of an organisation.
func (f *fixture) from(organisation, path string) answer {
	req := prompt(f.request("POST", path, ""))
	req.Header.Set("Authorization", "Bearer key-"+organisation)
	return f.do(req)
}

// Guards against requests that use cached parts of an organisation that has become isolated, through instances that started before
// or after the change.
func TestPartsOfANewlyIsolatedOrganisationAreOutOfReach(t *testing.T) {
	for name, steps := range map[string][]string{
		"isolated":             {"a b c", "A b c"},
		"two in turn":          {"a b c", "A b c", "A B c"},
		"one for another":      {"a B c", "A b c", "a B c"},
		"and back, twice":      {"a b c", "A b c", "a b c", "A b c"},
		"removed, then back":   {"a b c", "b c", "A b c", "b c", "a b c", "A b c"},
		"new and isolated":     {"a b", "a b C", "a b c", "a b C"},
		"nothing but a change": {"a B c", "a B c d", "a B"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			cache := newSharedCache()
			f.endpoint("e1", "pool", cache.answer)
			for k, organisations := range steps {
				if k == len(steps)-1 {
					f.start("late")
				}
				cache.configure(f, organisations, 1)
				for _, caller := range f.callers {
					f.callers[0] = caller
					for o := range strings.FieldsSeq(strings.ToLower(organisations)) {
						if a := f.from(o, "/draft/1"); a.status != 200 {
							t.Fatalf("%s after %q: %+v", o, organisations, a)
						}
					}
				}
			}
			if len(cache.breach) > 0 {
				t.Errorf("%d uses across a wall: %v", len(cache.breach), cache.breach)
			}
			if groups := cache.groups(); name == "nothing but a change" && groups > 2 {
				t.Errorf("%d groups, want that of b and that of all others", groups)
			}
		})
	}
}

// Guards against a request that was placed before an organisation became isolated and reaches an endpoint again long after, with the
// group of the records under which it was admitted.
func TestRequestSentAgainAfterTheChangeUsesTheNewGroup(t *testing.T) {
	f := newFixture(t, 1)
	cache := newSharedCache()
	rejected, changed := make(chan struct{}, 1), make(chan struct{})
	var first sync.Once
	handler := func(x *platformtest.Exchange) bool {
		held := false
		if strings.HasSuffix(string(x.Request.URI().Path()), "/held") {
			first.Do(func() { held = true })
		}
		if held {
			rejected <- struct{}{}
			<-changed
			x.Reject(503)
			return true
		}
		return cache.answer(x)
	}
	f.endpoint("e1", "pool", handler)
	f.endpoint("e2", "pool", handler)
	cache.configure(f, "a b c", 2)
	for _, o := range []string{"a", "b"} {
		f.from(o, "/draft/1")
	}
	answers := make(chan answer, 1)
	go func() { answers <- f.from("b", "/draft/held") }()
	<-rejected
	cache.configure(f, "A b c", 2)
	close(changed)
	if a := <-answers; a.status != 200 {
		t.Fatalf("%+v", a)
	}
	held := cache.salt("b")
	f.eventually("a later request of the same organisation", func() bool { return f.from("c", "/draft/2").status == 200 })
	if len(cache.breach) > 0 || held != cache.salt("c") {
		t.Errorf("salt %q after the change, others %q; uses across the wall: %v", held, cache.salt("c"), cache.breach)
	}
}
