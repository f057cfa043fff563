package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/kvoffload"
)

// newKVOffloadCoordinator returns the component that has engines save shared prefixes to the KV
// store.
func (i *Instance) newKVOffloadCoordinator() *kvoffload.Coordinator {
	return kvoffload.NewCoordinator(kvoffload.Config{
		Clock:   clock.System{},
		Dial:    func(address string) kvoffload.Engine { return i.clients.Engine(address) },
		Publish: func(_ context.Context, p kvoffload.Prefix, ttl time.Duration) { i.peers.placer.PublishStored(p, ttl) },
	})
}
