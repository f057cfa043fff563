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
	"github.com/sardinedock/sardinedock/kept"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// listEvery is how often the platform's list of instances is read. It lags
	// anyway; it only has to join parts that lost each other for long.
	listEvery = time.Minute
	// pullWithin bounds the search for a peer's state at start.
	pullWithin = 600 * time.Millisecond
	// pullEvery is the time between two such searches while records are missing.
	pullEvery = time.Second
	// tellEvery is how often this instance tells what is in force here. Each
	// member beyond tellFrom adds tellEachMember, so that an instance hears of
	// one such change in two seconds whatever the fleet's size.
	tellEvery      = 2 * time.Second
	tellFrom       = 6
	tellEachMember = 2 * time.Second
	// dumpBound ends a state dump that a duty does not answer.
	dumpBound = time.Second
	// sweepEvery is how often idle connections to peers are looked at.
	sweepEvery = 10 * time.Second
)

// peers is what joins an instance to the fleet.
type peers struct {
	node      *fleet.Node
	placer    *place.Fleet
	duty      *place.Duty
	handOvers *place.HandOvers
	kept      *kept.Keeper
	client    *transport.Client
	traffic   *transport.Traffic
	listener  net.Listener
	server    *transport.Server

	views   chan *member.View
	records chan *record.Snapshot
	stop    context.CancelFunc
	open    sync.WaitGroup
}

// fleetServer serves the calls of peers.
type fleetServer struct {
	node   *fleet.Node
	placer *place.Fleet
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

// placer returns what places requests.
func (i *Instance) placer() place.Placer { return i.peers.placer }

// Fleet returns the address that serves peers.
func (i *Instance) Fleet() string { return i.peers.listener.Addr().String() }

// Traffic counts what this instance exchanged with its peers.
func (i *Instance) Traffic() *transport.Traffic { return i.peers.traffic }

// provisionFleet listens for peers and puts the duties of the fleet together.
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
		listener: ln, traffic: &transport.Traffic{}, handOvers: place.NewHandOvers(),
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
	i.admin.Register("fleet", i.bounded(func(ctx context.Context) any { return p.node.Dump(ctx) }))
	i.admin.Register("kept", func() any { return p.kept.Dump() })
	i.admin.Register("place", i.bounded(func(ctx context.Context) any { return p.placer.Dump(ctx) }))
	return nil
}

// member describes this instance. Its incarnation is the time of its start.
// Without a disk nothing else rises from start to start; where the clock went
// back in between, peers that remember a higher one make the node raise it.
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
	p.duty = place.NewDuty(place.DutyConfig{
		Self: self.Name, Clock: clock.System{}, FirstGrantID: self.Incarnation, HandOver: p.handOvers.Give,
		Lost: func(endpoint string, incarnation uint64, lost []place.Fingerprint) {
			p.placer.Lost(endpoint, incarnation, lost)
		},
	})
	p.kept = i.newKept()
	p.placer = place.NewFleet(place.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: i.settings.GetFleet(), Instance: self.Name, Incarnation: self.Incarnation},
		Clock:  clock.System{}, Peers: p.client, Duty: p.duty, Kept: p.kept,
		AskLeaving: func(ctx context.Context, address string) (bool, error) {
			s, err := i.clients.Engine(address).State(ctx)
			return s.Leaving, err
		},
		Publish: func(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error {
			if key.Kind == fleetpb.ItemKind_ITEM_KIND_FINGERPRINT {
				i.noteFingerprint(key.Name, value)
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
		Complete:    i.keeper.Complete,
		ViewChanged: func(v *member.View) { latest(p.views, v) },
		Changed:     i.heard,
	})
}

// heard takes items that peers told. It runs in the node's goroutine.
func (i *Instance) heard(items []exchange.Item) {
	var records []record.Item
	for _, it := range items {
		if it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_FINGERPRINT {
			i.noteFingerprint(it.Key.Name, it.Value)
		}
		if it.Key.Kind != fleetpb.ItemKind_ITEM_KIND_RECORD {
			continue
		}
		if r, err := record.DecodeItem(it.Key.Name, it.Version, it.Value); err == nil {
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		i.keeper.Offer(records...)
	}
	i.peers.placer.Heard(items)
}

// latest puts v into a channel of one place, in the place of what is there.
func latest[T any](ch chan T, v T) {
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

// bounded makes a dump that waits for a duty one that ends.
func (i *Instance) bounded(dump func(context.Context) any) func() any {
	return func() any {
		ctx, cancel := context.WithTimeout(context.Background(), dumpBound)
		defer cancel()
		return dump(ctx)
	}
}

// Records returns the records in force here, or nil where there are none yet.
func (i *Instance) Records() *record.Snapshot { return i.keeper.Snapshot() }
