package hosted

import (
	"errors"
	"testing"

	"github.com/sardinedock/sardinedock/objectapi"
)

// One of a hundred endpoints takes new weights. An instance that decodes the entries
// of all of them at each such change spends more on a rollout than on its requests.
func TestOnlyWhatHasChangedIsDecoded(t *testing.T) {
	var d decoded[string]
	calls := 0
	decode := func(o objectapi.Object) (string, error) {
		calls++
		if string(o.Value) == "bad" {
			return "", errors.New("not understood")
		}
		return string(o.Value), nil
	}
	objects := map[string]objectapi.Object{}
	for _, name := range []string{"a", "b", "c"} {
		objects[name] = objectapi.Object{Name: name, Version: 1, Value: []byte(name)}
	}
	if n := len(d.all(objects, decode)); n != 3 || calls != 3 {
		t.Fatalf("%d objects after %d decodings", n, calls)
	}
	objects["b"] = objectapi.Object{Name: "b", Version: 2, Value: []byte("bad")}
	if list := d.all(objects, decode); len(list) != 2 || calls != 4 {
		t.Errorf("%q after %d decodings, want one more and the bad one left out", list, calls)
	}
	objects["b"] = objectapi.Object{Name: "b", Version: 3, Value: []byte("new")}
	delete(objects, "c")
	if list := d.all(objects, decode); len(list) != 2 || calls != 5 {
		t.Errorf("%q after %d decodings, want a and the new b", list, calls)
	}
}
