package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/rendezvous"
)

const (
	// SmallFleet is the largest number of instances at which each is a scheduler: it places its
	// own requests, and all send to each other directly. At this size an instance spends less on
	// the messages it receives than on its callers' requests.
	SmallFleet = 16
	// schedulerCount is the number of schedulers in a larger fleet. With five, two can fail at
	// once, and each remaining one carries two thirds more load. Each additional scheduler
	// receives the reports on all requests once more.
	schedulerCount = 5
	// minSchedulersWithStore is how many schedulers have to reach the store: one may fail, and
	// another one still receives changes.
	minSchedulersWithStore = 2
	// takeoverStep is how much longer each next instance in the order waits before it takes a
	// vacant scheduler position: the announcement of the one before it, which is sent without
	// delay, has arrived by then.
	takeoverStep = 150 * time.Millisecond
	// relayTimeout is how long after its last datagram a scheduler is still used as the relay for
	// its data centre: one heartbeat interval and some margin.
	relayTimeout = 500 * time.Millisecond
	// reportTimeout is how long after its last datagram a scheduler is still sent reports: longer
	// than the usual pause of a busy or suspended machine.
	reportTimeout = 5 * time.Second
	// roleCheckInterval is how often an instance checks whether it has to be a scheduler. A
	// failed scheduler is only noticed after livenessTimeout, which is ten times as long.
	roleCheckInterval = 100 * time.Millisecond
)

// roles is this instance's view of which instances are schedulers. It is replaced as a whole
// and never modified.
//
// With hundreds of instances, a thousand requests a second and three reports per request, the
// instances would spend more processor time on reports than on requests if each received all
// of them. Reports therefore go to a few schedulers, which place the requests of all
// instances; what the other instances receive does not grow with the fleet.
type roles struct {
	// smallFleet is set if the fleet is so small that all instances are schedulers.
	smallFleet bool
	// self is set if this instance is a scheduler.
	self bool
	// others are the other schedulers that are alive, in schedulerOrder.
	others []Peer
	// receivers are those schedulers and the ones that stopped sending less than reportTimeout
	// ago. Reports on runs go to all of them: a machine that was paused for a second or two and
	// has not been sent the ends of runs whose starts it has received would count those runs
	// for half a minute after it resumes, and keep work from idle endpoints.
	receivers []Peer
	// direct are the peers that this instance sends to itself: those of its data centre, and
	// those of data centres without a live scheduler. forwarders has one scheduler of each
	// other data centre, which forwards to the instances there.
	direct, forwarders []Peer
	// position is this instance's index in schedulerOrder.
	position int
	// live is the number of live instances, as counted by a scheduler.
	live int
}

// schedulerOrder sorts the instances by how suitable they are as schedulers: those with the
// widest link first and, among equal links, alternating between data centres, so that the loss
// of a data centre leaves schedulers elsewhere. All instances with the same list compute the
// same order.
func schedulerOrder(list []Peer) []Peer {
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(rendezvous.Score(b.DataCentre, b.Name), rendezvous.Score(a.DataCentre, a.Name)))
	})
	type group struct {
		link       float64
		dataCentre string
	}
	rank := make(map[string]int, len(ordered))
	seen := map[group]int{}
	for _, p := range ordered {
		g := group{p.LinkMbps, p.DataCentre}
		rank[p.Name] = seen[g]
		seen[g]++
	}
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rank[a.Name], rank[b.Name]))
	})
	return ordered
}

// candidacy decides whether this instance becomes a scheduler, or remains one.
type candidacy struct {
	// since is when the current number of live schedulers was first seen; zero while no
	// scheduler position is vacant.
	since      time.Time
	scheduling int
}

// schedulerView is what an instance knows of the schedulers when it decides on its own role.
type schedulerView struct {
	// ahead holds, for each instance before this one in the order, whether it is a live
	// scheduler.
	ahead []bool
	// behind is the number of live schedulers after this instance in the order.
	behind int
	// withStore is the number of live schedulers that reach the platform's store; hasStore is
	// set if this instance reaches it.
	withStore int
	hasStore  bool
	// isScheduler is set if this instance is a scheduler now.
	isScheduler bool
}

// shouldSchedule reports whether this instance is to be a scheduler.
//
// When schedulers fail, or are cut off from a part of the fleet, the remaining instances have to
// replace them without coordination, and each of them sees the same positions vacant. The next
// instances in the order take them one after the other, so that a hundred instances do not all
// become schedulers at once; each dead instance in between costs takeoverStep.
//
// When the store rejects all schedulers but serves other instances, no scheduler would receive
// changes for the fleet or roll out weights. Some of the instances that it serves then become
// schedulers in addition.
func (c *candidacy) shouldSchedule(now time.Time, view schedulerView) bool {
	// missing counts the instances directly before this one that could take the position.
	scheduling, missing := 0, 0
	for _, s := range view.ahead {
		if missing++; s {
			scheduling++
			missing = 0
		}
	}
	needed := view.hasStore && view.withStore < minSchedulersWithStore
	if scheduling >= schedulerCount && !needed {
		c.since = time.Time{}
		return false
	}
	if view.isScheduler {
		return true
	}
	all := scheduling + view.behind
	if all >= schedulerCount && len(view.ahead) >= schedulerCount && !needed {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() || c.scheduling != all {
		// Other instances are taking the positions; the wait restarts with each of them.
		c.since, c.scheduling = now, all
	}
	return now.Sub(c.since) >= time.Duration(missing)*takeoverStep
}

// updateRoles recomputes which instances are schedulers.
func (n *Node) updateRoles(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.roles
	next := roles{smallFleet: len(n.order) <= SmallFleet, live: 1}
	scheduling := func(name string) bool {
		state, ok := n.states[name]
		return ok && state.scheduler && state.alive(now)
	}
	view := schedulerView{hasStore: !n.storeLost, isScheduler: old.self && !old.smallFleet}
	found := false
	for i, p := range n.order {
		if p.Name == n.name {
			next.position, found = i, true
			continue
		}
		s := scheduling(p.Name)
		if s || next.smallFleet && n.states[p.Name].alive(now) {
			next.others = append(next.others, p)
		}
		if state := n.states[p.Name]; state.scheduler && !state.leaving && now.Sub(state.at) < reportTimeout {
			next.receivers = append(next.receivers, p)
		}
		if s && !n.states[p.Name].storeLost {
			view.withStore++
		}
		if !found {
			view.ahead = append(view.ahead, s)
		} else if s {
			view.behind++
		}
	}
	switch {
	case next.smallFleet:
		next.self = true
	case n.leaving:
	default:
		next.self = n.candidacy.shouldSchedule(now, view)
	}
	next.direct, next.forwarders = n.splitPeers(now, next.others)
	next.live = n.liveCount(now, next.self)
	n.roles = next
	if next.self != old.self {
		log.WithField("scheduler", next.self).WithField("position", next.position).WithField("schedulers", len(next.others)).Info("role")
	}
}

// splitPeers returns the peers that this instance sends to directly, and one scheduler for each
// other data centre that has any. n.mu must be held.
//
// A rollout over thousands of endpoints has to be announced to hundreds of instances. Sent to
// each of them directly, the same bytes would cross between data centres a hundred times and
// load one instance's link with all of it.
//
// When a scheduler dies, the messages it should have forwarded are lost. It is therefore no
// longer used once it has missed a heartbeat, before it counts as dead.
func (n *Node) splitPeers(now time.Time, schedulers []Peer) (direct, forwarders []Peer) {
	chosen := map[string]Peer{}
	for _, p := range schedulers {
		if now.Sub(n.states[p.Name].at) > relayTimeout {
			continue
		}
		best, ok := chosen[p.DataCentre]
		if p.DataCentre != n.dataCentre && (!ok || rendezvous.Score(n.name, p.Name) > rendezvous.Score(n.name, best.Name)) {
			chosen[p.DataCentre] = p
		}
	}
	for _, p := range chosen {
		forwarders = append(forwarders, p)
	}
	for _, p := range n.peers {
		if _, ok := chosen[p.DataCentre]; !ok {
			direct = append(direct, p)
		}
	}
	return direct, forwarders
}

// liveCount returns the number of live instances: a scheduler, which receives the heartbeats of
// all instances, counts them itself; another instance uses the schedulers' count. n.mu must be
// held.
func (n *Node) liveCount(now time.Time, scheduler bool) int {
	counted, reported := 1, 0
	for _, state := range n.states {
		if state.alive(now) {
			counted++
			reported = max(reported, state.live)
		}
	}
	if scheduler {
		return counted
	}
	return max(reported, counted)
}

// currentRoles returns the roles as of the last check.
func (n *Node) currentRoles() roles {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roles
}

// Live returns the number of live instances as seen by this one or a scheduler, this one
// included.
func (n *Node) Live() int { return max(n.currentRoles().live, 1) }

// Reach returns how many of the listed instances are reachable, and how many are listed; both
// include this one, and both are 0 before the first SetPeers. An instance that is shutting down
// counts as long as its datagrams arrive: it still answers callers.
func (n *Node) Reach() (reachable, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reachableCount(time.Now()), len(n.order)
}

// Listed returns the number of listed instances and this one's index among them, on which all instances with the same list
// agree. The number is 0 before the first SetPeers.
func (n *Node) Listed() (position, listed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(slices.IndexFunc(n.order, func(p Peer) bool { return p.Name == n.name }), 0), len(n.order)
}

// reachableCount returns how many of the listed instances have sent a datagram within
// livenessTimeout, this one included. n.mu must be held.
func (n *Node) reachableCount(now time.Time) (reachable int) {
	for _, p := range n.order {
		if p.Name == n.name || now.Sub(n.states[p.Name].at) < livenessTimeout {
			reachable++
		}
	}
	return reachable
}

// Lost returns the listed instances that have sent no datagram for d. It returns none unless most
// of the fleet is reachable: the smaller part of a partitioned fleet can't distinguish the end of
// the other instances from its own separation.
func (n *Node) Lost(now time.Time, d time.Duration) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if 2*n.reachableCount(now) <= len(n.order) {
		return nil
	}
	var lost []string
	for _, p := range n.peers {
		if now.Sub(n.states[p.Name].at) > d && now.Sub(n.listedAt[p.Name]) > d {
			lost = append(lost, p.Name)
		}
	}
	return lost
}

// IsScheduler reports whether this instance places requests, its own and those of others.
func (n *Node) IsScheduler() bool { return n.currentRoles().self }

// Schedulers returns the names of the live schedulers, including this instance if it is one.
func (n *Node) Schedulers() []string {
	return n.schedulers(func(peerState) bool { return true })
}

// SchedulersWithStore returns the names of the live schedulers that reach the platform's store and
// have a path to all of the given services. This instance, if it is a scheduler, counts as reaching the
// store.
func (n *Node) SchedulersWithStore(services ...string) []string {
	return n.schedulers(func(state peerState) bool {
		return !state.storeLost && !slices.ContainsFunc(state.lostServices, func(s string) bool { return slices.Contains(services, s) })
	})
}

// SchedulersReaching returns the names of the live schedulers that have a path to a service.
func (n *Node) SchedulersReaching(service string) []string {
	return n.schedulers(func(state peerState) bool { return !slices.Contains(state.lostServices, service) })
}

func (n *Node) schedulers(counts func(peerState) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	if n.roles.self && counts(peerState{lostServices: n.lostServices}) {
		names = append(names, n.name)
	}
	for _, p := range n.roles.others {
		if counts(n.states[p.Name]) {
			names = append(names, p.Name)
		}
	}
	return names
}

// Position returns this instance's index in the order in which instances become schedulers.
func (n *Node) Position() int { return n.currentRoles().position }

// LongestRunning returns up to count other schedulers that live, those first that have been running for longest: they have
// received most.
func (n *Node) LongestRunning(count int) []Peer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Peer
	for _, p := range n.peers {
		if s := n.states[p.Name]; s.scheduler && s.alive(now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(n.states[a.Name].incarnation, n.states[b.Name].incarnation) })
	return list[:min(len(list), count)]
}

// SchedulersFor returns the schedulers to ask about a key, in order of preference; none if this
// instance is a scheduler itself or knows of no scheduler. All instances ask the same scheduler
// for the same key, so that simultaneous requests for it are decided in one place.
func (n *Node) SchedulersFor(key uint64) []Peer {
	r := n.currentRoles()
	if r.self || r.smallFleet {
		return nil
	}
	list := slices.Clone(r.others)
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Compare(rendezvous.ScoreOf(key, b.Name), rendezvous.ScoreOf(key, a.Name))
	})
	return list
}
