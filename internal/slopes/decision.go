package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// decisions is the number of decisions that are timed at each size.
const decisions = 5000

// grantingPeers implements the calls to peers with owners that grant every request immediately.
type grantingPeers struct{ next uint64 }

func (g *grantingPeers) Ask(_ context.Context, _ string, _ time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	g.next++
	return &fleetpb.AskReply{Granted: &fleetpb.Offer{Endpoint: in.GetEndpoints()[0], GrantId: g.next}}, nil
}

func (g *grantingPeers) Report(context.Context, string, time.Duration, *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return &fleetpb.ReportReply{}, nil
}

func (g *grantingPeers) Warn(context.Context, string, time.Duration, *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	return &fleetpb.WarnReply{}, nil
}

func (g *grantingPeers) HandOver(context.Context, string, time.Duration, *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	return &fleetpb.HandOverReply{}, nil
}

// measureDecision measures the entry's own CPU time for placing a request, without the call to
// the owner, and the time to apply a change of members.
func measureDecision(_ Options, out io.Writer) error {
	fmt.Fprintf(out, "decision at the entry, 64 blocks, owners that grant at once\n")
	fmt.Fprintf(out, "%10s %10s %16s %16s\n", "endpoints", "instances", "us a request", "ms a change")
	for _, size := range []struct{ endpoints, instances int }{{24, 8}, {240, 36}, {1200, 180}, {2400, 360}} {
		if err := measureDecisionSize(out, size.endpoints, size.instances); err != nil {
			return err
		}
	}
	return nil
}

func measureDecisionSize(out io.Writer, endpoints, instances int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var names, addresses []string
	for i := range instances {
		names, addresses = append(names, fmt.Sprintf("entry-%03d", i)), append(addresses, "peer")
	}
	ownerServer := placement.NewOwnerServer(placement.OwnerServerConfig{
		Self: "entry", Clock: clock.System{}, HandOver: func(string, string, []byte, func()) {},
		Lost: func(string, uint64, []owner.Fingerprint) {},
	})
	go ownerServer.Run(ctx)
	f := placement.NewFleet(placement.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: fleetName, Instance: "entry"}, Clock: clock.System{}, Peers: &grantingPeers{}, OwnerServer: ownerServer,
		Publish: func(context.Context, exchange.Key, []byte, time.Duration) error { return nil },
	})
	f.SetRecords(ctx, poolRecord(endpoints))
	begin := time.Now()
	f.SetView(ctx, memberView("entry", names, addresses))
	change := time.Since(begin)
	startCPU := cpuTime()
	for i := range decisions {
		g, err := f.Place(ctx, requestOf(i, 64))
		if err != nil {
			return err
		}
		f.Done(g, placement.Result{End: placement.EndDone})
	}
	each := float64((cpuTime() - startCPU).Microseconds()) / decisions
	fmt.Fprintf(out, "%10d %10d %16.1f %16.2f\n", endpoints, instances, each, float64(change.Microseconds())/1000)
	return nil
}
