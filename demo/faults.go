package demo

import (
	"context"
	"io"

	"github.com/sardinedock/sardinedock/emulator"
)

func faultScenario(o Options) *scenario { return kwabena(o) }

func runFaults(ctx context.Context, d *driver, e *emulator.Emulator, f *fleet, r *Report, progress io.Writer) {
	d.run(ctx, progress)
}
