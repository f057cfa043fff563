package endpoint

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/clock"
)

const (
	// crashProbes connections that an endpoint accepts, CrashProbeInterval apart, show that it has not
	// crashed. One is not enough: the connections of a process that ends may break before its listener
	// is closed.
	crashProbes        = 2
	CrashProbeInterval = 100 * time.Millisecond
)

// Prober makes new connections to an endpoint.
type Prober interface {
	// Probe returns an error if no connection can be made.
	Probe(ctx context.Context) error
}

// ProbeCrash checks whether an endpoint that has broken a connection has crashed. It returns the error of
// a connection that could not be made, and nil if the endpoint accepts connections, since one that has
// crashed takes seconds to start again. It blocks for CrashProbeInterval in that case.
func ProbeCrash(ctx context.Context, p Prober) error {
	for n := range crashProbes {
		if n > 0 {
			if err := clock.Sleep(ctx, CrashProbeInterval); err != nil {
				return nil
			}
		}
		if err := p.Probe(ctx); err != nil {
			return err
		}
	}
	return nil
}
