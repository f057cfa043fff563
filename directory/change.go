package directory

import "github.com/sardinedock/sardinedock/objectapi"

// Source is the way by which a change reached this instance.
type Source string

const (
	// FromWatch is a change delivered by this instance's own watch.
	FromWatch Source = "watch"
	// FromPeer is a change sent by another instance.
	FromPeer Source = "peer"
	// FromRead is a change found by this instance when it listed the kind.
	FromRead Source = "read"
)

// Change is a changed object and the source of the change.
type Change struct {
	objectapi.Object
	Source Source
}
