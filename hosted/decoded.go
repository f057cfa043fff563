package hosted

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/objectapi"
)

// decoded keeps what objects of one kind say, by name. Only the follower of the kind
// may use it.
type decoded[T any] struct {
	byName map[string]T
}

// take decodes one changed object. ok is false where it says nothing that can be used:
// it is gone, or is not understood, which is told in a line. What it said before does
// not hold any more in either case.
func (d *decoded[T]) take(obj objectapi.Object, decode func(objectapi.Object) (T, error)) (value T, ok bool) {
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

// all returns what all objects say that are understood.
func (d *decoded[T]) all() []T { return slices.Collect(maps.Values(d.byName)) }
