package instance

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/fleet"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/kvoffload"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// listInterval is how often the platform's list of instances is read. The list lags behind
	// anyway; it is only needed to rejoin partitions that have lost contact with each other for
	// long.
	listInterval = time.Minute
	// pullTimeout bounds one pull of the state of a peer, at start or later.
	pullTimeout = 600 * time.Millisecond
	// pullInterval is the time between two pulls while records are missing.
	pullInterval = time.Second
	// publishInterval is how often this instance publishes the version of its records to peers.
	// Each member beyond publishIntervalMembers adds publishIntervalPerMember, so that an
	// instance receives one such update per two seconds whatever the fleet's size.
	publishInterval          = 2 * time.Second
	publishIntervalMembers   = 6
	publishIntervalPerMember = 2 * time.Second
	// dumpTimeout bounds a state dump whose component does not answer.
	dumpTimeout = time.Second
	// sweepInterval is how often idle connections to peers are checked.
	sweepInterval = 10 * time.Second
)

// peers holds the components that connect an instance to the fleet.
type peers struct {
	node        *fleet.Node
	placer      *placement.Fleet
	ownerServer *placement.OwnerServer
	handOvers   *placement.HandOvers
	kvoffload   *kvoffload.Coordinator
	client      *transport.Client
	traffic     *transport.Traffic
	listener    net.Listener
	server      *transport.Server

	views   chan *member.View
	records chan *record.Snapshot
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// fleetServer serves the calls of peers.
type fleetServer struct {
	node   *fleet.Node
	placer *placement.Fleet
}

func (s *fleetServer) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return s.node.Exchange(ctx, in)
}

func (s *fleetServer) Ask(ctx context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return s.placer.Ask(ctx, in)
}

func (s *fleetServer) Report(ctx context.Context, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return s.placer.Report(ctx, in)
}

func (s *fleetServer) Warn(ctx context.Context, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	return s.placer.Warn(ctx, in)
}

func (s *fleetServer) HandOver(ctx context.Context, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	return s.placer.HandOver(ctx, in)
}

// placer returns the component that places requests on endpoints.
func (i *Instance) placer() placement.Placer { return i.peers.placer }

// Fleet returns the address at which peers are served.
func (i *Instance) Fleet() string { return i.peers.listener.Addr().String() }

// Traffic returns the counters of the traffic with peers.
func (i *Instance) Traffic() *transport.Traffic { return i.peers.traffic }

// provisionFleet listens for peers and creates the components of the fleet.
func (i *Instance) provisionFleet() error {
	keys, err := transport.LoadKeys(i.settings.GetFleetTls())
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", i.settings.GetListen().GetFleet())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "choose a free address for listen.fleet", "listen for peers")
	}
	p := &peers{
		listener: ln, traffic: &transport.Traffic{}, handOvers: placement.NewHandOvers(),
		views: make(chan *member.View, 1), records: make(chan *record.Snapshot, 1),
	}
	p.client = transport.NewClient(transport.DialTCP, keys, p.traffic)
	i.peers = p
	self := i.member(ln)
	i.provisionPlacer(self)
	i.provisionNode(self)
	p.server, err = transport.NewServer(i.settings.GetFleet(), &fleetServer{p.node, p.placer}, keys, p.traffic)
	if err != nil {
		_ = ln.Close()
		return err
	}
	i.admin.Register("fleet", i.withDumpTimeout(func(ctx context.Context) any { return p.node.Dump(ctx) }))
	i.admin.Register("kept", func() any { return p.kvoffload.Dump() })
	i.admin.Register("place", i.withDumpTimeout(func(ctx context.Context) any { return p.placer.Dump(ctx) }))
	return nil
}

// member describes this instance. Its incarnation is the time of its start: without a disk, no
// other number increases from start to start. If the clock went back in between, peers remember
// a higher incarnation and the node raises its own above it.
func (i *Instance) member(ln net.Listener) member.Member {
	address := i.settings.GetListen().GetAdvertise()
	if address == "" {
		address = ln.Addr().String()
	}
	return member.Member{
		Name: i.name(), Address: address, DataCentre: i.settings.GetDataCentre(), Region: i.settings.GetRegion(),
		Incarnation: uint64(time.Now().UnixNano()), Callers: i.settings.GetListen().GetCallers(),
	}
}

func (i *Instance) provisionPlacer(self member.Member) {
	p := i.peers
	p.ownerServer = placement.NewOwnerServer(placement.OwnerServerConfig{
		Self: self.Name, Clock: clock.System{}, FirstGrantID: self.Incarnation, HandOver: p.handOvers.Enqueue,
		Lost: func(endpoint string, incarnation uint64, lost []placement.Fingerprint) {
			p.placer.Lost(endpoint, incarnation, lost)
		},
	})
	p.kvoffload = i.newKVOffloadCoordinator()
	p.placer = placement.NewFleet(placement.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: i.settings.GetFleet(), Instance: self.Name, Incarnation: self.Incarnation},
		Clock:  clock.System{}, Peers: p.client, OwnerServer: p.ownerServer, KVOffload: p.kvoffload,
		AskLeaving: func(ctx context.Context, address string) (bool, error) {
			s, err := i.clients.Engine(address).State(ctx)
			return s.Leaving, err
		},
		Publish: func(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error {
			if key.Kind == fleetpb.ItemKind_ITEM_KIND_FINGERPRINT {
				i.reportFingerprint(key.Name, value)
			}
			return p.node.PublishNext(ctx, key, value, ttl)
		},
	})
}

func (i *Instance) provisionNode(self member.Member) {
	p := i.peers
	p.node = fleet.NewNode(fleet.Config{
		Fleet: i.settings.GetFleet(), Self: self, Seeds: i.settings.GetSeeds(), Timeouts: member.DefaultTimeouts,
		Client: p.client, Clock: clock.System{}, Seed: xxh3.HashString(self.Name) ^ self.Incarnation,
		Complete:    i.registry.Complete,
		ViewChanged: func(v *member.View) { replaceLatest(p.views, v) },
		Changed:     i.handleItems,
	})
}

// handleItems is called with the items received from peers, in the node's goroutine.
func (i *Instance) handleItems(items []exchange.Item) {
	var records []record.Item
	for _, it := range items {
		if it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_FINGERPRINT {
			i.reportFingerprint(it.Key.Name, it.Value)
		}
		if it.Key.Kind != fleetpb.ItemKind_ITEM_KIND_RECORD {
			continue
		}
		if r, err := record.DecodeItem(it.Key.Name, it.Version, it.Value); err == nil {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		i.registry.Offer(records...)
	}
	i.peers.placer.HandleItems(items)
}

// replaceLatest sends v on a channel of capacity one, replacing a value that is still in it.
func replaceLatest[T any](ch chan T, v T) {
	for {
		select {
		case ch <- v:
			return
		default:
		}
		select {
		case <-ch:
		default:
		}
	}
}

// withDumpTimeout bounds a dump that waits for a component by dumpTimeout.
func (i *Instance) withDumpTimeout(dump func(context.Context) any) func() any {
	return func() any {
		ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
		defer cancel()
		return dump(ctx)
	}
}

// Records returns the records in force at this instance, or nil if there are none yet.
func (i *Instance) Records() *record.Snapshot { return i.registry.Snapshot() }
