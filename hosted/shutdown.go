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
	// restartTime is how long a process that has ended takes until it serves again.
	restartTime = time.Second
)

// Shutdown ends the instance: it is not ready at once, serves callers until the
// balancer sends none, and finishes what is open within the grace.
func (i *Instance) Shutdown() {
	began := time.Now()
	grace := i.grace()
	i.leaving.Store(true)
	log.WithField("grace_ms", grace.Milliseconds()).WithField("open", i.server.Open()).Info("stopping")
	i.toldToEnd.Store(&began)
	i.server.Drain(began.Add(grace - endRoom))
	// Told at once, so that others count themselves among the candidates for the
	// lease that is given up here.
	i.node.BroadcastLeaving()
	i.lease.Stop()
	i.lease.Release()
	// The lease's release may have waited for a store that is away.
	_ = clock.Sleep(context.Background(), time.Until(began.Add(i.listensOn())))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-endRoom))
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("requests cut at the end of the grace")
	}
	i.cancel()
	log.WithField("took_ms", time.Since(began).Milliseconds()).Info("stopped")
}

// grace is how long the platform lets a process go on that it has told to end.
func (i *Instance) grace() time.Duration { return seconds(i.bounds.Load().GetGraceSeconds()) }

// listensOn is how long after it was told to end an instance takes new connections.
func (i *Instance) listensOn() time.Duration {
	return min(outOfRotation, i.grace()/2)
}

// TakesAgainIn implements gateway.Peers. An instance with nothing left to finish ends once
// it takes no more connections, and serves again soon after.
func (i *Instance) TakesAgainIn(now time.Time) time.Duration {
	// What was told to end longer ago and is not back does not come back soon.
	most := i.grace() + restartTime
	staying, first := i.node.HasRemainingPeer(now, now.Add(-most))
	if staying {
		return 0
	}
	if own := i.toldToEnd.Load(); own != nil && (first.IsZero() || own.Before(first)) {
		first = *own
	}
	return max(first.Add(i.listensOn()+restartTime).Sub(now), 0)
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
