// Package objectapi defines the interface of the platform's object API, the store that holds
// operators' records, status and sardinedock's own objects. It also provides a client of the object
// API over HTTP and JSON, with rate limits, a circuit breaker and conditional writes.
package objectapi

import "context"

// Version orders all changes in the object API. Each change gets a higher one than all before it.
type Version uint64

// Object is one stored value.
type Object struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// Attempt is the ID of the write that stored this version. A writer whose reply was lost
	// reads the object back and compares the ID.
	Attempt string `json:"attempt"`
	// Value has at most MaxValueBytes.
	Value []byte `json:"value"`
	// Deleted is set only in the changes that a watch returns.
	Deleted bool `json:"deleted,omitempty"`
}

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Listing contains all objects of a kind at one version.
type Listing struct {
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
}

// InstanceEntry is an entry in the platform's list of instances, which lags behind the actual state.
type InstanceEntry struct {
	Name string `json:"name"`
	// Address is where other instances reach this instance.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Store is the object API. All methods may block until ctx ends. Errors have the kinds
// fault.NotFound, Conflict, Expired, RateLimited, Unavailable, and Unknown for a write of which it is
// not known whether it took effect.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Put writes obj.Value if the stored version equals expected, where 0 means that the object
	// must not exist. It returns the new version.
	Put(ctx context.Context, obj Object, expected Version) (Version, error)
	// Delete removes an object if its stored version equals expected.
	Delete(ctx context.Context, kind, name string, expected Version) error
	// Watch returns the changes of a kind after version from, in order.
	Watch(ctx context.Context, kind string, from Version) (Watch, error)
	// Instances reads the list of live and leaving instances.
	Instances(ctx context.Context) ([]InstanceEntry, error)
}

// Watch is an open watch. It is not safe for concurrent use, except for Close.
type Watch interface {
	// Next blocks until the next change and returns it.
	Next() (Object, error)
	// Close ends the watch and unblocks Next.
	Close()
}

// Progress is implemented by watches that know the version up to which Next has returned every change. It advances
// without changes too. It may be called concurrently with Next.
type Progress interface{ Progress() Version }
