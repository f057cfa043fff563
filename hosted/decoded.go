package hosted

import (
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/objectapi"
)

// decoded keeps what objects of one kind say, so that a change of one of them costs
// the decoding of one: with 95 endpoints that take new weights, decoding all at each
// change was the same work 95 times over at each of the instances. Only the follower
// of the kind may use it.
type decoded[T any] struct {
	byName map[string]decodedObject[T]
}

type decodedObject[T any] struct {
	version objectapi.Version
	value   T
}

// all returns what the objects say; one that is not understood is left out, with a
// line.
func (d *decoded[T]) all(objects map[string]objectapi.Object, decode func(objectapi.Object) (T, error)) []T {
	list := make([]T, 0, len(objects))
	next := make(map[string]decodedObject[T], len(objects))
	for name, obj := range objects {
		known, ok := d.byName[name]
		if !ok || known.version != obj.Version {
			value, err := decode(obj)
			if err != nil {
				log.WithError(err).WithField("kind", obj.Kind).WithField("name", name).Error("object not understood")
				continue
			}
			known = decodedObject[T]{obj.Version, value}
		}
		next[name] = known
		list = append(list, known.value)
	}
	d.byName = next
	return list
}
