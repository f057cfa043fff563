package directory

import "github.com/sardinedock/sardinedock/objectapi"

// Source is how a change has come to this instance.
type Source string

const (
	// FromWatch is a change that this instance's own watch has brought.
	FromWatch Source = "watch"
	// FromPeer is one that another instance has sent.
	FromPeer Source = "peer"
	// FromRead is one that this instance has found by listing the kind.
	FromRead Source = "read"
)

// Change is an object that has changed, and how the change has come.
type Change struct {
	objectapi.Object
	Source Source
}
