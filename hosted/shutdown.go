package hosted

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/clock"
)

const (
	// outOfRotation is how long the balancer goes on sending connections to an
	// instance that is not ready any more: two missed questions, a second apart,
	// and some room.
	outOfRotation = 3 * time.Second
	// endRoom is kept of the grace for closing what is left.
	endRoom = 400 * time.Millisecond
)

// Shutdown ends the instance: it is not ready at once, serves callers until the
// balancer sends none, and finishes what is open within the grace.
func (i *Instance) Shutdown() {
	began := time.Now()
	grace := seconds(i.settings.GetBounds().GetGraceSeconds())
	i.leaving.Store(true)
	log.WithField("grace_ms", grace.Milliseconds()).WithField("open", i.server.Open()).Info("stopping")
	i.server.Drain()
	// Told at once, so that others count themselves among the candidates for the
	// lease that is given up here.
	i.node.TellLeaving()
	i.lease.Stop()
	i.lease.Release()
	_ = clock.Sleep(context.Background(), min(outOfRotation, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-endRoom))
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		log.WithError(err).WithField("open", i.server.Open()).Warn("requests cut at the end of the grace")
	}
	i.cancel()
	log.WithField("took_ms", time.Since(began).Milliseconds()).Info("stopped")
}

// Kill ends the instance as a crash would: nothing is finished and nobody told.
func (i *Instance) Kill() {
	if i.killed.Swap(true) {
		return
	}
	i.leaving.Store(true)
	i.cancel()
	i.lease.Stop()
	i.closeListeners()
	i.relays.closeAll()
}

// answerMetrics serves counters and histograms, and the state dump.
func (i *Instance) answerMetrics(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(ctx, true)
	case "/debug/state":
		i.writeDump(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
