// Package instance puts the duties of one entry instance together and runs
// them from start to graceful shutdown.
package instance

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/admin"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/entry"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Instance is one entry instance.
type Instance struct {
	settings *settingspb.Settings
	store    *objectapi.Client
	keeper   *record.Registry
	provider *record.Provider
	// tellNow wakes the duty that tells peers what is in force here.
	tellNow chan struct{}
	entry   *entry.Server
	claims  *claim.Book
	callers *cutListener
	admin   *admin.Handler
	adminLn net.Listener
	peers   *peers
	clients *endpoint.Clients
	// following and pools are the duties towards endpoints.
	following *following
	pools     *poolDuties
	// onKill ends what other duties listen on.
	onKill []func()
}

// Start brings the duties up in the order in which they need each other and
// begins to serve callers.
func Start(ctx context.Context, s *settingspb.Settings) (*Instance, error) {
	i := &Instance{settings: s, admin: admin.NewHandler()}
	i.provisionStore()
	i.provisionPools()
	if err := i.provisionFleet(); err != nil {
		return nil, err
	}
	i.provisionEntry()
	i.startFleet(ctx)
	i.startRecords(ctx)
	i.startPlacing(ctx)
	i.startMonitor()
	i.startPools()
	if err := i.startAdmin(); err != nil {
		i.endDuties(ctx)
		return nil, err
	}
	if err := i.startCallers(); err != nil {
		i.endDuties(ctx)
		_ = i.adminLn.Close()
		return nil, err
	}
	i.admin.Require("records", i.keeper.Complete)
	i.admin.SetReady(true)
	return i, nil
}

func (i *Instance) startAdmin() error {
	ln, err := net.Listen("tcp", i.settings.GetListen().GetAdmin())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "choose a free address for listen.admin", "listen for operators")
	}
	i.adminLn = ln
	server := &fasthttp.Server{Handler: i.admin.Serve, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Callers returns the address that serves callers.
func (i *Instance) Callers() string { return i.callers.Addr().String() }

// Admin returns the address that serves operators.
func (i *Instance) Admin() string { return i.adminLn.Addr().String() }

// Shutdown ends the instance gracefully. It says "not ready" first and goes on
// serving for the time that the balancer needs to notice; then it stops
// listening and waits for open requests, for the time that settings.shutdown
// gives. The end of ctx ends both waits.
func (i *Instance) Shutdown(ctx context.Context) error {
	i.admin.SetReady(false)
	i.entry.Drain()
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

// Stop ends the instance once its open requests are done, without notice.
// Requests that are open at the end of ctx end with an error that says so.
func (i *Instance) Stop(ctx context.Context) error {
	i.admin.SetReady(false)
	defer func() { _ = i.adminLn.Close() }()
	defer i.endDuties(ctx)
	i.leaveFleet(ctx)
	// What became of the last requests is recorded before the process ends.
	defer i.claims.Close(ctx)
	return i.entry.Shutdown(ctx)
}

// endDuties ends what runs beside the serving of callers. The leases go first,
// so that others take them while the rest winds down.
func (i *Instance) endDuties(ctx context.Context) {
	i.pools.end(true)
	i.following.end()
	i.stopFleet(ctx)
	i.provider.Stop()
}
