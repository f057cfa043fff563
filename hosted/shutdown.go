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
	// balancerDelay is how long the load balancer goes on sending connections to an instance that
	// is no longer ready: two failed health checks, a second apart, and a margin.
	balancerDelay = 3 * time.Second
	// shutdownMargin is the part of the grace period that is reserved for closing what is left.
	shutdownMargin = 400 * time.Millisecond
	// restartTime is how long an ended process takes until it serves again.
	restartTime = time.Second
)

// Shutdown ends the instance: it becomes not ready at once, serves callers until the load balancer
// sends no more, and finishes open requests within the grace period.
func (i *Instance) Shutdown() {
	began := time.Now()
	grace := i.grace()
	i.leaving.Store(true)
	log.WithField("grace_ms", grace.Milliseconds()).WithField("open", i.server.Open()).Info("stopping")
	i.shutdownAt.Store(&began)
	i.server.Drain(began.Add(grace - shutdownMargin))
	// Broadcast before the release, so that others become candidates for the lease that is released
	// here.
	i.node.BroadcastLeaving()
	i.lease.Stop()
	i.lease.Release()
	// The release of the lease may have waited for an unreachable store.
	_ = clock.Sleep(context.Background(), time.Until(began.Add(i.acceptPeriod())))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-shutdownMargin))
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("requests cut at the end of the grace")
	}
	i.cancel()
	log.WithField("took_ms", time.Since(began).Milliseconds()).Info("stopped")
}

// grace returns how long the platform lets a process run after it has asked it to end.
func (i *Instance) grace() time.Duration { return seconds(i.bounds.Load().GetGraceSeconds()) }

// acceptPeriod returns how long after the start of Shutdown an instance accepts new connections.
func (i *Instance) acceptPeriod() time.Duration {
	return min(balancerDelay, i.grace()/2)
}

// AvailableIn implements gateway.Peers. An instance with nothing left to finish exits once it
// accepts no more connections, and serves again soon after.
func (i *Instance) AvailableIn(now time.Time) time.Duration {
	// An instance that began to shut down longer ago than maxAge and is not back is not expected
	// back soon.
	maxAge := i.grace() + restartTime
	staying, first := i.node.HasRemainingPeer(now, now.Add(-maxAge))
	if staying {
		return 0
	}
	if own := i.shutdownAt.Load(); own != nil && (first.IsZero() || own.Before(first)) {
		first = *own
	}
	return max(first.Add(i.acceptPeriod()+restartTime).Sub(now), 0)
}

// Kill ends the instance as a crash would: no request is finished and no peer notified.
func (i *Instance) Kill() {
	if i.killed.Swap(true) {
		return
	}
	i.leaving.Store(true)
	i.cancel()
	i.lease.Stop()
	i.closeListeners()
	i.relays.closeAll()
	i.peerRelays.closeAll()
}

// answerMetrics serves counters and histograms, and the state dump.
func (i *Instance) answerMetrics(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(ctx, true)
		i.writeLimits(ctx)
	case "/debug/state":
		i.writeDump(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
