package hosted

import (
	"errors"
	"testing"

	"github.com/sardinedock/sardinedock/objectapi"
)

// One of a hundred endpoints writes an entry that nobody can read, and mends it a
// moment later. Callers must not be sent to what its entry said before, and the others
// must not be touched by it.
func TestEntryThatTurnsBadIsGoneAndComesBack(t *testing.T) {
	var d decoded[string]
	decode := func(o objectapi.Object) (string, error) {
		if string(o.Value) == "bad" {
			return "", errors.New("not understood")
		}
		return string(o.Value), nil
	}
	for _, name := range []string{"a", "b"} {
		d.take(objectapi.Object{Name: name, Version: 1, Value: []byte(name)}, decode)
	}
	if _, ok := d.take(objectapi.Object{Name: "b", Version: 2, Value: []byte("bad")}, decode); ok || len(d.all()) != 1 {
		t.Errorf("%q are left after a bad entry, want a", d.all())
	}
	if v, ok := d.take(objectapi.Object{Name: "b", Version: 3, Value: []byte("new")}, decode); !ok || v != "new" || len(d.all()) != 2 {
		t.Errorf("%q after the entry was mended", d.all())
	}
	if _, ok := d.take(objectapi.Object{Name: "a", Version: 4, Deleted: true}, decode); ok || len(d.all()) != 1 {
		t.Errorf("%q after one was removed", d.all())
	}
}
