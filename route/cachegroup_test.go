package route

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// isolation is which organisations the records have, and which of them are isolated.
type isolation map[string]bool

func (o isolation) table(t rapid.TB, version int64) *Table {
	r := Records{Version: version}
	for name, isolated := range o {
		r.Organisations = append(r.Organisations, Organisation{Name: name, Keys: []string{"key-" + name}, Isolated: isolated})
	}
	table, err := NewTable(r)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against cached parts that stay within reach of others when their organisation becomes isolated, in any order of
// versions that are skipped, applied late or of an earlier content, and for requests that were admitted under an older one.
func TestIsolatedOrganisationsShareNoPartWheneverItWasMade(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		now := isolation{"a": false, "b": false, "c": false}
		tables := []*Table{now.table(t, 1)}
		// instances are the indexes of the tables that instances have in force, made the organisations that made parts, by group.
		instances := [3]int{}
		made := map[string]map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "organisation")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				now[name] = rapid.Bool().Draw(t, "isolated")
				tables = append(tables, now.table(t, int64(len(tables)+1)))
			case 1:
				delete(now, name)
				tables = append(tables, now.table(t, int64(len(tables)+1)))
			case 2:
				k := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
				instances[k] = rapid.IntRange(instances[k], len(tables)-1).Draw(t, "version")
			default:
				inForce := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "instance")]
				admitted := tables[rapid.IntRange(0, inForce).Draw(t, "admitted")]
				o := admitted.Organisation("key-" + name)
				if o == nil {
					continue
				}
				group := tables[inForce].CacheGroup(o)
				for maker := range made[group] {
					if newest := inForce == len(tables)-1; newest && maker != name && (now[name] || now[maker]) {
						t.Fatalf("%s uses what %s made in %s; isolated: %v", name, maker, group, now)
					}
				}
				if made[group] == nil {
					made[group] = map[string]bool{}
				}
				made[group][name] = true
			}
		}
	})
}

// Guards against a change that makes all cached parts useless though it touches no isolated organisation, and against instances
// that disagree on a group since they have seen other versions before.
func TestCacheGroupDependsOnIsolatedOrganisationsOnly(t *testing.T) {
	before := isolation{"a": true, "b": false, "c": false}.table(t, 1)
	for what, o := range map[string]isolation{
		"restart":      {"a": true, "b": false, "c": false},
		"one added":    {"a": true, "b": false, "c": false, "d": false},
		"one removed":  {"a": true, "c": false},
		"only changes": {"a": true, "x": false},
	} {
		if got := o.table(t, 7).CacheGroup(nil); got != before.CacheGroup(nil) {
			t.Errorf("%s: group %s, before %s", what, got, before.CacheGroup(nil))
		}
	}
	groups := map[string]isolation{}
	for _, o := range []isolation{{}, {"a": true}, {"b": true}, {"a": true, "b": true}, {"ab": true}, {"a-b": true}} {
		group := o.table(t, 1).CacheGroup(nil)
		if other, taken := groups[group]; taken {
			t.Errorf("%v and %v have the same group %s", o, other, group)
		}
		groups[group] = o
	}
	if got := (isolation{}).table(t, 1).CacheGroup(nil); got != "all" {
		t.Errorf("group %q without isolated organisations; endpoints keep parts under the name that earlier releases use", got)
	}
}
