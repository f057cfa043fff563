// Package objectapi is the client of the platform's object API, which holds
// operators' records, status and the system's own objects.
package objectapi

import "context"

// Version orders all changes of the object API. It only rises.
type Version uint64

// Object is one stored value.
type Object struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// Attempt is the id of the write that made this version. A writer whose
	// reply was lost reads the object back and compares the id.
	Attempt string `json:"attempt"`
	// Value is at most MaxValueBytes long.
	Value []byte `json:"value"`
	// Deleted is set on the events of a watch only.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Listing is all objects of a kind at one version.
type Listing struct {
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
}

// InstanceEntry is a line of the platform's lagging list of instances.
type InstanceEntry struct {
	Name string `json:"name"`
	// Address is the instance's fleet address.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Store is the object API. All methods may block until ctx ends; errors are of
// the kinds fault.NotFound, Conflict, Expired, RateLimited, Unavailable, and
// Unknown for a write whose reply was lost and could not be settled.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Put writes obj.Value where the stored version still is expected; 0 means
	// that the object must not exist. It returns the new version.
	Put(ctx context.Context, obj Object, expected Version) (Version, error)
	// Delete removes an object under the same condition.
	Delete(ctx context.Context, kind, name string, expected Version) error
	// Watch reports the changes of a kind after version from, in order.
	Watch(ctx context.Context, kind string, from Version) (Watch, error)
	// Instances reads the list of live and leaving instances.
	Instances(ctx context.Context) ([]InstanceEntry, error)
}

// Watch is an open watch. One goroutine may use it.
type Watch interface {
	// Next blocks for the next change.
	Next() (Object, error)
	// Close ends the watch and unblocks Next.
	Close()
}
