package hosted

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/objectapi"
)

// decoded holds the decoded objects of one kind by name. It is not safe for concurrent use; only
// the follower of the kind uses it.
type decoded[T any] struct {
	byName map[string]T
}

// apply decodes one changed object and replaces the previous value of its name. ok is false if the
// object was deleted or can't be decoded, which is logged. The previous value is dropped in either
// case.
func (d *decoded[T]) apply(obj objectapi.Object, decode func(objectapi.Object) (T, error)) (value T, ok bool) {
	delete(d.byName, obj.Name)
	if obj.Deleted {
		return value, false
	}
	value, err := decode(obj)
	if err != nil {
		log.WithError(err).WithField("kind", obj.Kind).WithField("name", obj.Name).WithField("revision", uint64(obj.Version)).
			Error("object not understood; it is left aside")
		return value, false
	}
	if d.byName == nil {
		d.byName = map[string]T{}
	}
	d.byName[obj.Name] = value
	return value, true
}

// all returns the values of all objects that could be decoded.
func (d *decoded[T]) all() []T { return slices.Collect(maps.Values(d.byName)) }
