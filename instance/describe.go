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

// decisions finds what was decided by comparing what is told of a pool now
// with what was told at the last look. One goroutine uses it.
type decisions struct {
	endpoints map[string]*fleetpb.EndpointState
	behind    bool
	known     bool
}

// describeFleet is the status of what belongs to no pool.
func (i *Instance) describeFleet(*held) (status.Object, bool) {
	s := i.keeper.Snapshot()
	if s == nil {
		return status.Object{}, false
	}
	var list []record.Condition
	for _, c := range i.keeper.Conditions() {
		if c.Kind != record.Pools && c.Kind != record.Models {
			list = append(list, c)
		}
	}
	o := status.Object{Version: s.Version}
	o.SetRecords(list)
	o.SetInstances(i.instanceVersions())
	return o, true
}

// instanceVersions lists the live instances and what is in force there.
func (i *Instance) instanceVersions() []status.Instance {
	var list []status.Instance
	for _, m := range i.peers.node.View().Members {
		switch {
		case m.Name == i.name():
			list = append(list, status.Instance{Name: m.Name, Version: i.keeper.Version()})
		case m.Owns():
			list = append(list, status.Instance{Name: m.Name, Version: m.RecordsVersion})
		}
	}
	return list
}

// describePool is the status of one pool.
func (i *Instance) describePool(pool string, h *held) (status.Object, bool) {
	s := i.keeper.Snapshot()
	progress, ok := h.rollout.Progress()
	if s == nil || !ok {
		return status.Object{}, false
	}
	list := poolConditions(s, i.keeper.Conditions(), pool)
	o := status.Object{Instances: len(i.peers.node.View().Owners), Rollout: &progress}
	for _, c := range list {
		o.Version = max(o.Version, c.Newest)
	}
	o.SetRecords(list)
	states := i.poolStates(s, pool)
	for _, name := range sortedKeys(states) {
		if st := states[name]; st.GetStatus() != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
			o.Endpoints = append(o.Endpoints, status.Endpoint{Name: name, Status: statusWord(st.GetStatus()), Reason: st.GetReason()})
		}
	}
	for _, text := range h.seen.compare(states, progress) {
		h.status.Decided(time.Now(), text)
	}
	return o, true
}

// poolConditions picks the pool's record and those of its models.
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

// poolStates is what owners say of the pool's endpoints.
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

// compare returns the decisions since the last look, in words.
func (d *decisions) compare(states map[string]*fleetpb.EndpointState, p rollout.Progress) []string {
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
			texts = append(texts, strings.TrimSuffix(fmt.Sprintf("endpoint %s is %s; %s", name, statusWord(now.GetStatus()), now.GetReason()), "; "))
		}
	}
	behind := len(p.Behind) > 0
	if d.known && behind != d.behind {
		word := "is done"
		if behind {
			word = "begins"
		}
		texts = append(texts, fmt.Sprintf("rollout of %s %s", strings.Join(p.Wanted, ", "), word))
	}
	d.endpoints, d.behind, d.known = states, behind, true
	return texts
}

// statusWord is an endpoint's status in an operator's word.
func statusWord(s fleetpb.EndpointStatus) string {
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

// refusedAfter is the number of crashes after which a request is refused.
const refusedAfter = 2

// noteFingerprint puts a request that is refused for its crashes into the
// fleet's status, once.
func (i *Instance) noteFingerprint(name string, value []byte) {
	f := &fleetpb.FingerprintState{}
	if proto.Unmarshal(value, f) != nil || f.GetCrashes() < refusedAfter || !i.pools.first(name) {
		return
	}
	endpoints := slices.Sorted(slices.Values(f.GetEndpoints()))
	i.pools.decided(fmt.Sprintf("requests with fingerprint %s are refused; they ran at %d crashes, of %s",
		name, f.GetCrashes(), strings.Join(endpoints, ", ")))
}
