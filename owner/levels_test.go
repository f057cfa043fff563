package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
)

// Each of many instances places a shared prefix rarely, so none sees it from two customers
// for minutes. The owner of its endpoint does. If the owner does not report the prefix
// length, the prefix is not exported until the engines have computed it many times.
func TestGrantReportsSharedLevels(t *testing.T) {
	b := NewRegistry(policy.CostModel{})
	b.Add(config()).Status(epoch, live, 1)
	catalogue := make([]byte, 40*256)
	salt := prefix.Salt("accra", "m", "1")
	granted := func(instance int) Decision {
		text := append(slices.Clone(catalogue), make([]byte, 10*256)...)
		for i := len(catalogue); i < len(text); i++ {
			text[i] = byte(instance + 1)
		}
		a := ask(fmt.Sprint("r", instance), "accra", true, prefix.Blocks(nil, salt, text, 64))
		a.Caller = fmt.Sprint("i", instance)
		d := b.Ask(epoch, a, []string{"engine-1"})
		if d.Kind != Granted {
			t.Fatalf("%+v", d)
		}
		return d
	}
	if d := granted(1); len(d.Levels) != 0 {
		t.Fatalf("levels %v of a prompt that is not shared yet", d.Levels)
	}
	if d := granted(2); !slices.Equal(d.Levels, []int{40}) {
		t.Fatalf("levels %v, want the shared prefix's 40 blocks", d.Levels)
	}
}
