package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/kept"
)

// newPrefixKeeper returns the component that has engines save shared prefixes to the KV store.
func (i *Instance) newPrefixKeeper() *kept.Coordinator {
	return kept.NewCoordinator(kept.Config{
		Clock:   clock.System{},
		Dial:    func(address string) kept.Engine { return i.clients.Engine(address) },
		Publish: func(_ context.Context, p kept.Prefix, ttl time.Duration) { i.peers.placer.PublishKept(p, ttl) },
	})
}
