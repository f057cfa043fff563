package hosted

import (
	"errors"
	"testing"

	"github.com/sardinedock/sardinedock/objectapi"
)

// One of a hundred endpoints writes an entry that can't be decoded, and corrects it a moment later.
// Requests must not be sent according to its previous entry, and the entries of the others must
// stay.
func TestUndecodableEntryIsDroppedUntilCorrected(t *testing.T) {
	var d decoded[string]
	decode := func(o objectapi.Object) (string, error) {
		if string(o.Value) == "bad" {
			return "", errors.New("can't be decoded")
		}
		return string(o.Value), nil
	}
	for _, name := range []string{"a", "b"} {
		d.apply(objectapi.Object{Name: name, Version: 1, Value: []byte(name)}, decode)
	}
	if _, ok := d.apply(objectapi.Object{Name: "b", Version: 2, Value: []byte("bad")}, decode); ok || len(d.all()) != 1 {
		t.Errorf("%q remain after a bad entry, want only a", d.all())
	}
	if v, ok := d.apply(objectapi.Object{Name: "b", Version: 3, Value: []byte("new")}, decode); !ok || v != "new" || len(d.all()) != 2 {
		t.Errorf("%q after the entry was corrected", d.all())
	}
	if _, ok := d.apply(objectapi.Object{Name: "a", Version: 4, Deleted: true}, decode); ok || len(d.all()) != 1 {
		t.Errorf("%q after one was removed", d.all())
	}
}
