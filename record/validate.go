package record

import (
	"encoding/json"
	"fmt"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// validate decodes an item and checks whether this program can put it in force. If
// not, it returns the reason as a text for the operator.
func validate(it Item) (*recordspb.Record, string) {
	if v := schemaVersionOf(it.Value); v > SchemaVersion {
		return nil, fmt.Sprintf("schema version %d is newer than this program's %d; update the instances", v, SchemaVersion)
	}
	r, err := Unmarshal(it.Value)
	if err != nil {
		return nil, fmt.Sprintf("%v; %s", err, fault.Remedy(err))
	}
	kind, ok := KindOf(r)
	if !ok || kind != it.Kind {
		return nil, fmt.Sprintf("the content is not of the kind %q; write it under its own kind", it.Kind)
	}
	if r.GetName() != it.Name {
		return nil, fmt.Sprintf("the content names %q; give object and content one name", r.GetName())
	}
	return r, ""
}

// schemaVersionOf reads only the schema version, because this program may not be able
// to parse the rest of a record with a newer schema.
func schemaVersionOf(value []byte) int32 {
	var envelope struct {
		Camel int32 `json:"schemaVersion"`
		Snake int32 `json:"schema_version"`
	}
	if json.Unmarshal(value, &envelope) != nil {
		return 0
	}
	return max(envelope.Camel, envelope.Snake)
}

// warnings returns the faults of a record that is in force but does not fit the other
// records. The record is not refused for them, because the record it refers to may
// not have arrived yet. endpointCounts is the result of countEndpointNames.
func warnings(s *Snapshot, endpointCounts map[string]int, kind Kind, name string) []string {
	switch kind {
	case Models:
		return modelWarnings(s, name)
	case Pools:
		return poolWarnings(s, endpointCounts, name)
	case Organisations:
		return organisationWarnings(s, name)
	case Services:
		svc := s.services[name]
		return missingClass(s, svc.GetClass())
	}
	return nil
}

func modelWarnings(s *Snapshot, name string) []string {
	m := s.models[name]
	list := missingClass(s, m.GetDefaultClass())
	if _, ok := s.pools[m.GetPool()]; !ok {
		list = append(list, fmt.Sprintf("pool %q has no record; create it or name another", m.GetPool()))
	}
	return list
}

// poolWarnings reports endpoints with duplicate names: the queue, health and cache of
// an endpoint are stored under its name.
func poolWarnings(s *Snapshot, endpointCounts map[string]int, name string) []string {
	endpoints := s.pools[name].GetEndpoints()
	if len(endpoints) == 0 {
		return []string{"the pool has no endpoints, so all its requests are refused; add endpoints"}
	}
	var list []string
	for _, e := range endpoints {
		if endpointCounts[e.GetName()] > 1 {
			list = append(list, fmt.Sprintf("endpoint %q is named more than once, in this or another pool; give each a name of its own", e.GetName()))
		}
	}
	return list
}

// countEndpointNames counts the occurrences of each endpoint name in all pools.
func countEndpointNames(s *Snapshot) map[string]int {
	endpointCounts := map[string]int{}
	for _, p := range s.pools {
		for _, e := range p.GetEndpoints() {
			endpointCounts[e.GetName()]++
		}
	}
	return endpointCounts
}

func organisationWarnings(s *Snapshot, name string) []string {
	var list []string
	for _, model := range s.organisations[name].GetModels() {
		if _, ok := s.models[model]; !ok {
			list = append(list, fmt.Sprintf("model %q has no record; create it or name another", model))
		}
	}
	for _, text := range s.organisations[name].GetKeyHashes() {
		if owner := s.keyOwners[parseKeyHash(text)]; owner != name {
			list = append(list, fmt.Sprintf("a key belongs to organisation %q already; give each organisation keys of its own", owner))
		}
	}
	return list
}

func missingClass(s *Snapshot, class string) []string {
	if class == "" {
		return nil
	}
	if _, ok := s.classes[class]; ok {
		return nil
	}
	return []string{fmt.Sprintf("class %q has no record; create it or name another", class)}
}
