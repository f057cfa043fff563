package place

import "testing"

func TestChooseOwn(t *testing.T) {
	for _, c := range []struct {
		name           string
		running        []int
		slots, members int
		want           int
	}{
		{"first while under its part", []int{1, 0, 0}, 16, 8, 0},
		{"next once the part is used", []int{2, 0, 0}, 16, 8, 1},
		{"least of its own when all parts are used", []int{5, 3, 4}, 16, 8, 1},
		{"none when all slots are its own", []int{16, 16, 16}, 16, 8, -1},
		{"one slot for each even of many members", []int{0, 0}, 4, 360, 0},
		{"alone it may use all", []int{15, 0}, 16, 1, 0},
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
