package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/frontend"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/internal/sockstate"
	"github.com/sardinedock/sardinedock/outcome/claim"
)

// dialTimeout bounds the dial of an endpoint. Endpoints are milliseconds away; after a second
// the endpoint or the network path to it is down.
const dialTimeout = time.Second

// callerKeepAliveProbes is the number of unanswered TCP keep-alive probes after which a caller's
// connection is closed.
const callerKeepAliveProbes = 3

// bytesPerMB is the unit of memory in the settings.
const bytesPerMB = 1 << 20

func (i *Instance) provisionFrontend() {
	limits := i.settings.GetLimits()
	readTimeout := time.Duration(limits.GetSilenceMs()) * time.Millisecond
	i.clients = endpoint.NewClients(dialTimeout, readTimeout)
	i.claims = claim.Open(i.store, clock.System{})
	i.admin.Register("claims", i.claims.Dump)
	i.onKill = append(i.onKill, i.claims.Kill)
	i.frontend = frontend.NewServer(frontend.Config{
		Limits:         limits,
		Placer:         i.placer(),
		Dial:           func(addr string) frontend.Engine { return i.clients.Engine(addr) },
		DialService:    func(addr string) frontend.Service { return i.clients.Service(addr) },
		Claims:         i.claims,
		Crashes:        i.peers.placer,
		NewID:          newID,
		Requests:       bufferlimit.NewRequestIntake(max(limits.GetRequestMemoryMb()*bytesPerMB, 4*limits.GetBodyBytes())),
		MaxConnections: maxConnections(int(limits.GetConnections())),
	})
	i.admin.Register("callers", i.frontend.Dump)
	i.onKill = append(i.onKill, i.frontend.Kill, i.clients.Close)
}

// maxConnections returns how many connections callers may have: the stated number, and half of the process's descriptors at most.
func maxConnections(stated int) int {
	const callersShare = 2
	if descriptors := inbound.MaxDescriptors(0); descriptors > 0 {
		return min(stated, descriptors/callersShare)
	}
	return stated
}

// startCallers starts serving callers. TCP keep-alive and TCP_USER_TIMEOUT detect callers that
// are unreachable.
func (i *Instance) startCallers() error {
	bound := time.Duration(i.settings.GetLimits().GetWriteTimeoutMs()) * time.Millisecond
	lc := net.ListenConfig{
		Control:         sockstate.UserTimeout(bound),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: bound, Interval: max(bound/callerKeepAliveProbes, time.Second), Count: callerKeepAliveProbes},
	}
	ln, err := lc.Listen(context.Background(), "tcp", i.settings.GetListen().GetCallers())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "choose a free address for listen.callers", "listen for callers")
	}
	i.callers = newTrackingListener(ln)
	go func() { _ = i.frontend.Serve(i.callers) }()
	return nil
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return "req-" + hex.EncodeToString(b[:])
}
