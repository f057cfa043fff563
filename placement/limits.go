package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// The interval of usage reports is minUsageInterval, or usageIntervalPerMember times
	// the number of members if that is longer. So an instance receives at most four reports
	// a second, whatever the size of the fleet.
	minUsageInterval       = time.Second
	usageIntervalPerMember = 250 * time.Millisecond
	// usageTTLIntervals is the number of report intervals after which an instance's usage
	// expires.
	usageTTLIntervals = 5
)

// limits enforces the organisations' limits over the whole fleet. It is safe for concurrent
// use.
type limits struct {
	self    string
	publish func(kind fleetpb.ItemKind, name string, value []byte, ttl time.Duration)

	mu      sync.Mutex
	byName  map[string]*policy.OrganisationLimit
	usage   map[string]*fleetpb.UsageState
	members int
}

func newLimits(self string, publish func(fleetpb.ItemKind, string, []byte, time.Duration)) *limits {
	return &limits{
		self: self, publish: publish, members: 1,
		byName: map[string]*policy.OrganisationLimit{}, usage: map[string]*fleetpb.UsageState{},
	}
}

// admit counts a request and reports whether it is within the limit; if not, it also
// returns the time to retry after. The returned limit must be passed to done; it is nil if
// the organisation has none.
func (l *limits) admit(now time.Time, organisation string) (*policy.OrganisationLimit, bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.byName[organisation]
	if limit == nil {
		return nil, true, 0
	}
	ok, after := limit.Admit(now)
	return limit, ok, after
}

func (l *limits) done(limit *policy.OrganisationLimit) {
	if limit == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit.Done()
}

// setMembers applies the members and the limits from the records.
func (l *limits) setMembers(now time.Time, view *member.View, records *record.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = max(len(view.Owners), 1)
	for name := range l.usage {
		if m, ok := view.Find(name); !ok || !m.Owns() {
			delete(l.usage, name)
		}
	}
	if records == nil {
		return
	}
	limited := map[string]bool{}
	for _, name := range records.OrganisationNames() {
		o, _ := records.Organisation(name)
		if o.GetRequestsPerSecond() <= 0 && o.GetInFlight() <= 0 {
			continue
		}
		limited[name] = true
		if l.byName[name] == nil {
			l.byName[name] = policy.NewOrganisationLimit(now, o.GetRequestsPerSecond(), o.GetInFlight())
		}
		l.byName[name].SetLimits(o.GetRequestsPerSecond(), o.GetInFlight())
	}
	for name := range l.byName {
		if !limited[name] {
			delete(l.byName, name)
		}
	}
	l.applyUsage()
}

// merge applies the usage received from another instance.
func (l *limits) merge(instance string, value []byte) {
	s := &fleetpb.UsageState{}
	if instance == l.self || proto.Unmarshal(value, s) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage[instance] = s
	l.applyUsage()
}

// applyUsage passes the other instances' usage to each limit.
func (l *limits) applyUsage() {
	others := map[string][]policy.Usage{}
	for _, s := range l.usage {
		for _, u := range s.GetUsage() {
			if l.byName[u.GetOrganisation()] != nil {
				others[u.GetOrganisation()] = append(others[u.GetOrganisation()], policy.Usage{Demand: float64(u.GetDemand()), InFlight: u.GetInFlight()})
			}
		}
	}
	for name, limit := range l.byName {
		limit.SetPeers(l.members, others[name])
	}
}

// run publishes this instance's usage until ctx ends.
func (l *limits) run(ctx context.Context, now func() time.Time) {
	for {
		interval := l.interval()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if value := l.localUsage(now()); len(value) > 0 {
			l.publish(fleetpb.ItemKind_ITEM_KIND_USAGE, l.self, value, usageTTLIntervals*interval)
		}
	}
}

func (l *limits) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minUsageInterval, time.Duration(l.members)*usageIntervalPerMember)
}

// localUsage encodes this instance's usage of the limited organisations, without the idle
// ones.
func (l *limits) localUsage(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &fleetpb.UsageState{}
	for name, limit := range l.byName {
		if u := limit.Usage(now); u.InFlight > 0 || u.Demand > 0.01 {
			s.Usage = append(s.Usage, &fleetpb.OrganisationUsage{Organisation: name, Demand: float32(u.Demand), InFlight: u.InFlight})
		}
	}
	slices.SortFunc(s.Usage, func(a, b *fleetpb.OrganisationUsage) int {
		if a.GetOrganisation() < b.GetOrganisation() {
			return -1
		}
		return 1
	})
	value, _ := proto.Marshal(s)
	return value
}

// names returns the organisations that have limits, sorted.
func (l *limits) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.byName))
	for name := range l.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
