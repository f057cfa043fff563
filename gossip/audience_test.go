package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A fleet spans several data centres, and each instance tells all others what it
// does. Sent one by one, every instance is woken by every other; passed on by relays,
// the word must still reach everybody, whichever instances are dead.
func TestEveryPeerIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for c := range rapid.IntRange(1, 5).Draw(t, "data centres") {
			for i := range rapid.IntRange(0, 30).Draw(t, "instances") {
				link := rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "link")
				peers = append(peers, Peer{Name: fmt.Sprintf("%d-%d", c, i), DataCentre: fmt.Sprintf("dc-%d", c), LinkMbps: link})
			}
		}
		dead := map[string]bool{}
		for _, p := range peers {
			dead[p.Name] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		}
		self := Peer{Name: "self", DataCentre: "dc-0", LinkMbps: 10}
		a := newAudience(self, peers, func(name string) bool { return !dead[name] })
		told := map[string]int{}
		for _, p := range a.direct {
			told[p.Name]++
		}
		for _, relays := range a.relays {
			if len(relays) > mostRelays {
				t.Fatalf("%d relays", len(relays))
			}
			relay := pickRelay(relays, "self", rapid.Bool().Draw(t, "heartbeat"), rapid.Uint64().Draw(t, "number"))
			if dead[relay.Name] {
				t.Fatalf("%s is to pass the word on and is dead", relay.Name)
			}
			for _, p := range append(peers, self) {
				if p.DataCentre == relay.DataCentre {
					told[p.Name]++
				}
			}
		}
		for _, p := range peers {
			if told[p.Name] != 1 {
				t.Fatalf("%s is told %d times", p.Name, told[p.Name])
			}
		}
		if len(peers) < directFleet && len(a.relays) > 0 {
			t.Fatalf("a fleet of %d has relays", len(peers)+1)
		}
	})
}

// Most instances have a narrow link and a few a wide one. A relay with a narrow link
// would fill it with what it passes on, and its own callers' answers would wait.
func TestWideLinksPassTheWordOn(t *testing.T) {
	var group []Peer
	for i := range 18 {
		group = append(group, Peer{Name: fmt.Sprint("narrow-", i), LinkMbps: 10})
	}
	group = append(group, Peer{Name: "wide-0", LinkMbps: 200}, Peer{Name: "wide-1", LinkMbps: 200})
	alive := func(string) bool { return true }
	relays := relaysOf(group, alive)
	if len(relays) != 2 || relays[0].LinkMbps != 200 || relays[1].LinkMbps != 200 {
		t.Errorf("relays %v", relays)
	}
	withoutWide := func(name string) bool { return name != "wide-0" && name != "wide-1" }
	if relays := relaysOf(group, withoutWide); len(relays) != 4 {
		t.Errorf("%d relays with narrow links, want 4 that share the load", len(relays))
	}
}
