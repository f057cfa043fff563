// Package instance assembles the components of one instance that serves the router's own HTTP
// interface and runs them from start to graceful shutdown. Package hosted does the same for an
// instance on the users' platform.
package instance

import (
	"context"
	"net"
	"time"

	"github.com/sardinedock/sardinedock/admin"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/frontend"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// maxAdminConnections bounds the connections of operators and of their tools.
const maxAdminConnections = 32

// Instance is one instance of the router.
type Instance struct {
	settings *settingspb.Settings
	store    *objectapi.Client
	registry *record.Registry
	provider *record.Provider
	// publishNow triggers runStatePublisher before its interval is over.
	publishNow chan struct{}
	frontend   *frontend.Server
	claims     *claim.Book
	callers    *trackingListener
	admin      *admin.Handler
	adminLn    net.Listener
	peers      *peers
	clients    *endpoint.Clients
	// monitorBridge has the endpoints monitored that this instance owns; leases runs the tasks
	// that one instance at a time may run.
	monitorBridge *monitorBridge
	leases        *leaseManager
	// onKill holds the functions that Kill calls to stop components at once.
	onKill []func()
}

// Start starts the components in the order of their dependencies and begins to serve callers.
func Start(ctx context.Context, s *settingspb.Settings) (*Instance, error) {
	i := &Instance{settings: s, admin: admin.NewHandler()}
	i.provisionStore()
	i.provisionLeases()
	if err := i.provisionFleet(); err != nil {
		return nil, err
	}
	i.provisionFrontend()
	i.startFleet(ctx)
	i.startRecords(ctx)
	i.startPlacing(ctx)
	i.startMonitor()
	i.startLeases()
	if err := i.startAdmin(); err != nil {
		i.stopComponents(ctx)
		return nil, err
	}
	if err := i.startCallers(); err != nil {
		i.stopComponents(ctx)
		_ = i.adminLn.Close()
		return nil, err
	}
	i.admin.Require("records", i.registry.Complete)
	i.admin.SetReady(true)
	return i, nil
}

func (i *Instance) startAdmin() error {
	ln, err := net.Listen("tcp", i.settings.GetListen().GetAdmin())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "choose a free address for listen.admin", "listen for operators")
	}
	i.adminLn = ln
	go func() {
		_ = inbound.NewProbeServer(i.admin.Serve).Serve(inbound.Limit(ln, "admin", maxAdminConnections))
	}()
	return nil
}

// Callers returns the address at which callers are served.
func (i *Instance) Callers() string { return i.callers.Addr().String() }

// Admin returns the address at which operators are served.
func (i *Instance) Admin() string { return i.adminLn.Addr().String() }

// Shutdown stops the instance gracefully. It first reports "not ready" and goes on serving for
// the notice period, in which the balancer detects this; then it stops listening and waits for
// open requests, for the drain period. Both periods come from settings.shutdown. The end of ctx
// ends both waits.
func (i *Instance) Shutdown(ctx context.Context) error {
	i.admin.SetReady(false)
	i.frontend.Drain()
	notice := time.NewTimer(time.Duration(i.settings.GetShutdown().GetNoticeMs()) * time.Millisecond)
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
	drain := time.Duration(i.settings.GetShutdown().GetDrainMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, drain)
	defer cancel()
	return i.Stop(ctx)
}

// Stop stops the instance once its open requests are complete, without a notice period. Requests
// that are open at the end of ctx end with an error that says so.
func (i *Instance) Stop(ctx context.Context) error {
	i.admin.SetReady(false)
	defer func() { _ = i.adminLn.Close() }()
	defer i.stopComponents(ctx)
	i.leaveFleet(ctx)
	// The outcomes of the last requests have to be recorded before the process exits.
	defer i.claims.Close(ctx)
	return i.frontend.Shutdown(ctx)
}

// stopComponents stops the components other than the listener for callers. The leases are
// released first, so that other instances acquire them while the rest shuts down.
func (i *Instance) stopComponents(ctx context.Context) {
	i.leases.stop(true)
	i.monitorBridge.stop()
	i.stopFleet(ctx)
	i.provider.Stop()
}
