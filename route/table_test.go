package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/fault"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

func records(prefixes ...string) Records {
	r := Records{Version: 1, Services: []Service{{Name: "pool"}, {Name: "other"}}}
	for _, p := range prefixes {
		r.Routes = append(r.Routes, Route{Name: p, Host: "Desk.example", PathPrefix: p, Timeout: time.Second, Targets: []Target{{Service: "pool", Weight: 1}}})
	}
	return r
}

// An operator splits a route by adding one with a longer prefix. If the order of the records
// decided, requests below the longer prefix would still go to the old service.
func TestLongestPrefixWins(t *testing.T) {
	table, err := NewTable(records("/a/", "/a/b/", "/a/b/c/"))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/a/x": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/c/", "/a/bc": "/a/"} {
		if got := table.Match("desk.example:8080", path); got == nil || got.Name != want {
			t.Errorf("%s: route %v, want %s", path, got, want)
		}
	}
	for _, c := range [][2]string{{"desk.example", "/b/"}, {"other.example", "/a/"}} {
		if got := table.Match(c[0], c[1]); got != nil {
			t.Errorf("%v: route %s, want none", c, got.Name)
		}
	}
}

// A route that names an undeclared service could not be served. The whole version is rejected, and
// the one in force stays.
func TestRouteToUnknownServiceIsRejected(t *testing.T) {
	r := records("/a/")
	r.Routes[0].Targets[0].Service = "unknown"
	if _, err := NewTable(r); !fault.Is(err, fault.Invalid) {
		t.Fatalf("error %v, want one of kind invalid", err)
	}
}

// Weights are honoured whatever their sum, and one request always goes to the same service.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.IntRange(0, 50).Draw(t, "a"), rapid.IntRange(1, 50).Draw(t, "b")
		r := Route{Targets: []Target{{"pool", a}, {"other", b}}}
		count := 0
		for draw := range uint64(a + b) {
			if r.Pick(draw) == "pool" {
				count++
			}
		}
		if count != a {
			t.Fatalf("%d of %d picks, want %d", count, a+b, a)
		}
	})
}
