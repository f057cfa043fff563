package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A fleet spans several data centres, and each instance tells all others what it
// does. Sent one by one, the bytes between data centres grow with the square of the
// fleet; passed on by a relay, the word must still reach everybody once.
func TestEveryPeerIsToldOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for c := range rapid.IntRange(1, 5).Draw(t, "data centres") {
			for i := range rapid.IntRange(0, 30).Draw(t, "instances") {
				peers = append(peers, Peer{Name: fmt.Sprintf("%d-%d", c, i), DataCentre: fmt.Sprintf("dc-%d", c)})
			}
		}
		dead := map[string]bool{}
		for _, p := range peers {
			dead[p.Name] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		}
		list := fanout("dc-0", peers, func(name string) bool { return !dead[name] }, rapid.Uint64().Draw(t, "turn"))
		told := map[string]int{}
		far := map[string]int{}
		for _, x := range list {
			if x.DataCentre != "dc-0" {
				far[x.DataCentre]++
			}
			if !x.relays {
				told[x.Name]++
				continue
			}
			if dead[x.Name] {
				t.Fatalf("%s is to pass the word on and is not live", x.Name)
			}
			for _, p := range peers {
				if p.DataCentre == x.DataCentre {
					told[p.Name]++
				}
			}
		}
		for _, p := range peers {
			if told[p.Name] != 1 {
				t.Fatalf("%s is told %d times", p.Name, told[p.Name])
			}
		}
		for dc, n := range far {
			group := 0
			for _, p := range peers {
				if p.DataCentre == dc {
					group++
				}
			}
			anyLive := false
			for _, p := range peers {
				anyLive = anyLive || p.DataCentre == dc && !dead[p.Name]
			}
			if group > directPeers && anyLive && n != 1 {
				t.Fatalf("%d datagrams into %s with %d instances", n, dc, group)
			}
		}
	})
}
