package instance

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/rollout"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
	"github.com/sardinedock/sardinedock/status"
)

// decisionTracker derives the decisions to report in a pool's status by comparing the pool's
// state with the one at the previous call. It is not safe for concurrent use.
type decisionTracker struct {
	endpoints map[string]*fleetpb.EndpointState
	behind    bool
	known     bool
}

// describeFleet returns the status of everything that belongs to no pool.
func (i *Instance) describeFleet(*leased) (status.Object, bool) {
	s := i.registry.Snapshot()
	if s == nil {
		return status.Object{}, false
	}
	var list []record.Condition
	for _, c := range i.registry.Conditions() {
		if c.Kind != record.Pools && c.Kind != record.Models {
			list = append(list, c)
		}
	}
	o := status.Object{Version: s.Version}
	o.SetRecords(list)
	o.SetInstances(i.instanceVersions())
	return o, true
}

// instanceVersions lists the live instances and the version of the records in force at each.
func (i *Instance) instanceVersions() []status.Instance {
	var list []status.Instance
	for _, m := range i.peers.node.View().Members {
		switch {
		case m.Name == i.name():
			list = append(list, status.Instance{Name: m.Name, Version: i.registry.Version()})
		case m.Owns():
			list = append(list, status.Instance{Name: m.Name, Version: m.RecordsVersion})
		}
	}
	return list
}

// describePool returns the status of one pool and adds the decisions since the previous call to
// it.
func (i *Instance) describePool(pool string, l *leased) (status.Object, bool) {
	s := i.registry.Snapshot()
	progress, ok := l.rollout.Progress()
	if s == nil || !ok {
		return status.Object{}, false
	}
	list := poolConditions(s, i.registry.Conditions(), pool)
	o := status.Object{Instances: len(i.peers.node.View().Owners), Rollout: &progress}
	for _, c := range list {
		o.Version = max(o.Version, c.Newest)
	}
	o.SetRecords(list)
	states := i.poolStates(s, pool)
	for _, name := range sortedKeys(states) {
		if st := states[name]; st.GetStatus() != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
			o.Endpoints = append(o.Endpoints, status.Endpoint{Name: name, Status: statusName(st.GetStatus()), Reason: st.GetReason()})
		}
	}
	for _, text := range l.decisions.compare(states, progress) {
		l.status.AddDecision(time.Now(), text)
	}
	return o, true
}

// poolConditions selects the conditions of the pool's record and of its models' records.
func poolConditions(s *record.Snapshot, all []record.Condition, pool string) []record.Condition {
	var list []record.Condition
	for _, c := range all {
		m, isModel := s.Model(c.Name)
		if c.Kind == record.Pools && c.Name == pool || c.Kind == record.Models && isModel && m.GetPool() == pool {
			list = append(list, c)
		}
	}
	return list
}

// poolStates returns the states of the pool's endpoints as published by their owners.
func (i *Instance) poolStates(s *record.Snapshot, pool string) map[string]*fleetpb.EndpointState {
	all := i.peers.placer.EndpointStates()
	p, _ := s.Pool(pool)
	states := map[string]*fleetpb.EndpointState{}
	for _, e := range p.GetEndpoints() {
		if st := all[e.GetName()]; st != nil {
			states[e.GetName()] = st
		}
	}
	return states
}

// compare returns a text for each decision since the previous call.
func (d *decisionTracker) compare(states map[string]*fleetpb.EndpointState, p rollout.Progress) []string {
	var texts []string
	for _, name := range sortedKeys(states) {
		old, now := d.endpoints[name], states[name]
		if old == nil {
			continue
		}
		if now.GetIncarnation() != old.GetIncarnation() && old.GetIncarnation() != 0 {
			texts = append(texts, fmt.Sprintf("endpoint %s has restarted; what was known of its cache is dropped", name))
		}
		if now.GetStatus() != old.GetStatus() {
			texts = append(texts, strings.TrimSuffix(fmt.Sprintf("endpoint %s is %s; %s", name, statusName(now.GetStatus()), now.GetReason()), "; "))
		}
	}
	behind := len(p.Behind) > 0
	if d.known && behind != d.behind {
		phase := "is done"
		if behind {
			phase = "begins"
		}
		texts = append(texts, fmt.Sprintf("rollout of %s %s", strings.Join(p.Wanted, ", "), phase))
	}
	d.endpoints, d.behind, d.known = states, behind, true
	return texts
}

// statusName returns an endpoint's status as shown to operators.
func statusName(s fleetpb.EndpointStatus) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ENDPOINT_STATUS_"))
}

func sortedKeys(m map[string]*fleetpb.EndpointState) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// minCrashesToRefuse is the least number of crashes after which a request is refused.
const minCrashesToRefuse = 2

// refused reports whether the crashes of a request have it refused: it ran alone at one of them.
func refused(f *fleetpb.FingerprintState) bool {
	alone := slices.ContainsFunc(f.GetAlone(), func(id string) bool { return !slices.Contains(f.GetCleared(), id) })
	return alone && f.GetCrashes() >= minCrashesToRefuse
}

// reportFingerprint adds a request that is refused because of its crashes to the fleet's status,
// once per fingerprint.
func (i *Instance) reportFingerprint(name string, value []byte) {
	f := &fleetpb.FingerprintState{}
	if proto.Unmarshal(value, f) != nil || !refused(f) || !i.leases.firstReport(name) {
		return
	}
	endpoints := slices.Sorted(slices.Values(f.GetEndpoints()))
	i.leases.addDecision(fmt.Sprintf("requests with fingerprint %s are refused; they ran at %d crashes, of %s",
		name, f.GetCrashes(), strings.Join(endpoints, ", ")))
}
