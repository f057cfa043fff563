package placement

import "testing"

func TestChooseLocallyLimitsOwnShare(t *testing.T) {
	for _, c := range []struct {
		name           string
		running        []int
		slots, members int
		want           int
	}{
		{"first while below the equal share", []int{1, 0, 0}, 16, 8, 0},
		{"next once the share is used", []int{2, 0, 0}, 16, 8, 1},
		{"fewest own requests when all shares are used", []int{5, 3, 4}, 16, 8, 1},
		{"none when its own requests fill all slots", []int{16, 16, 16}, 16, 8, -1},
		{"at least one slot each with many members", []int{0, 0}, 4, 360, 0},
		{"a single member may use all slots", []int{15, 0}, 16, 1, 0},
		{"no candidate", nil, 16, 8, -1},
	} {
		list := make([]candidate, len(c.running))
		for i, n := range c.running {
			list[i].running = n
		}
		if got := chooseLocally(list, c.slots, c.members); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}
