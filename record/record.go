// Package record reads the operators' records from the object API, decodes and checks
// them, and provides the versions in force as an immutable snapshot.
package record

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/yamlpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// SchemaVersion is the newest schema version that this program understands.
const SchemaVersion = 1

// Kind is a kind of record, as named in the object API.
type Kind string

// The kinds of record.
const (
	Organisations Kind = "organisations"
	Models        Kind = "models"
	Pools         Kind = "pools"
	Classes       Kind = "classes"
	Services      Kind = "services"
)

// Kinds lists all kinds in the order in which they are loaded.
var Kinds = []Kind{Classes, Pools, Models, Organisations, Services}

// KindOf returns the kind of a record's content, or false if it has none.
func KindOf(r *recordspb.Record) (Kind, bool) {
	switch r.GetSpec().(type) {
	case *recordspb.Record_Organisation:
		return Organisations, true
	case *recordspb.Record_Model:
		return Models, true
	case *recordspb.Record_Pool:
		return Pools, true
	case *recordspb.Record_Class:
		return Classes, true
	case *recordspb.Record_Service:
		return Services, true
	}
	return "", false
}

// ParseYAML decodes a file of records and returns the records and the faults found.
func ParseYAML(data []byte) ([]*recordspb.Record, []yamlpb.Fault) {
	messages, faults := yamlpb.Decode(data, func() proto.Message { return &recordspb.Record{} })
	records := make([]*recordspb.Record, 0, len(messages))
	for _, m := range messages {
		r := m.(*recordspb.Record)
		records = append(records, r)
		if _, ok := KindOf(r); !ok {
			faults = append(faults, yamlpb.Fault{
				Path:   r.GetName(),
				Found:  "the record has no content",
				Remedy: "write one of organisation, model, pool, class, service",
			})
		}
	}
	return records, faults
}

// Marshal encodes a record for the object API.
func Marshal(r *recordspb.Record) ([]byte, error) {
	return protojson.Marshal(r)
}

// Unmarshal decodes and checks a record from the object API.
func Unmarshal(value []byte) (*recordspb.Record, error) {
	r := &recordspb.Record{}
	if err := protojson.Unmarshal(value, r); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "write the record by its schema", "decode the record")
	}
	faults := yamlpb.Check(r)
	if len(faults) == 0 {
		return r, nil
	}
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, f.String())
	}
	return nil, fault.New(fault.Invalid, "mend the fields named above", "%s", strings.Join(texts, "; "))
}

// Snapshot is an immutable set of all records in force at one time. It is safe for
// concurrent use.
type Snapshot struct {
	// Version is the highest store version received when the snapshot was built,
	// including changes that were refused.
	Version uint64

	organisations map[string]*recordspb.Organisation
	models        map[string]*recordspb.Model
	pools         map[string]*recordspb.EndpointPool
	classes       map[string]*recordspb.RequestClass
	services      map[string]*recordspb.Service
	keyOwners     map[keyHash]string
	serviceOrder  []string
}

// keyHash is the SHA-256 hash of an organisation's API key.
type keyHash [sha256.Size]byte

// NewSnapshot builds a snapshot. The caller must leave out invalid records. Of two
// records of the same kind and name, the last one is used.
func NewSnapshot(version uint64, records []*recordspb.Record) *Snapshot {
	s := &Snapshot{
		Version:       version,
		organisations: map[string]*recordspb.Organisation{},
		models:        map[string]*recordspb.Model{},
		pools:         map[string]*recordspb.EndpointPool{},
		classes:       map[string]*recordspb.RequestClass{},
		services:      map[string]*recordspb.Service{},
		keyOwners:     map[keyHash]string{},
	}
	for _, r := range records {
		s.add(r)
	}
	s.indexKeys()
	for name := range s.services {
		s.serviceOrder = append(s.serviceOrder, name)
	}
	sort.Slice(s.serviceOrder, func(i, j int) bool {
		a, b := s.services[s.serviceOrder[i]], s.services[s.serviceOrder[j]]
		return len(a.GetPathPrefix()) > len(b.GetPathPrefix())
	})
	return s
}

func (s *Snapshot) add(r *recordspb.Record) {
	switch spec := r.GetSpec().(type) {
	case *recordspb.Record_Organisation:
		s.organisations[r.GetName()] = spec.Organisation
	case *recordspb.Record_Model:
		s.models[r.GetName()] = spec.Model
	case *recordspb.Record_Pool:
		s.pools[r.GetName()] = spec.Pool
	case *recordspb.Record_Class:
		s.classes[r.GetName()] = spec.Class
	case *recordspb.Record_Service:
		s.services[r.GetName()] = spec.Service
	}
}

// indexKeys builds the index of organisations by key. If two organisations have the
// same key, it belongs to the first by name. If it depended on the order of arrival,
// instances could attribute the same key to different organisations.
func (s *Snapshot) indexKeys() {
	for _, name := range sortedNames(s.organisations) {
		for _, text := range s.organisations[name].GetKeyHashes() {
			h := parseKeyHash(text)
			if _, taken := s.keyOwners[h]; !taken {
				s.keyOwners[h] = name
			}
		}
	}
}

// parseKeyHash decodes a hash that the record's checks have found well formed.
func parseKeyHash(text string) keyHash {
	var h keyHash
	_, _ = hex.Decode(h[:], []byte(text))
	return h
}

// HashKey returns the hash of an organisation's API key as stored in its record.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the name of the organisation that a key belongs to. Only
// SHA-256 hashes of keys are compared, so the duration of a lookup does not help an
// attacker to guess a key.
func (s *Snapshot) OrganisationByKey(key string) (string, bool) {
	name, ok := s.keyOwners[sha256.Sum256([]byte(key))]
	return name, ok
}

// Organisation returns the record of that name.
func (s *Snapshot) Organisation(name string) (*recordspb.Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// Model returns the record of that name.
func (s *Snapshot) Model(name string) (*recordspb.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// ModelNames returns the sorted names of the models.
func (s *Snapshot) ModelNames() []string { return sortedNames(s.models) }

// Pool returns the record of that name.
func (s *Snapshot) Pool(name string) (*recordspb.EndpointPool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// OrganisationNames returns the sorted names of the organisations.
func (s *Snapshot) OrganisationNames() []string { return sortedNames(s.organisations) }

// PoolNames returns the sorted names of the pools.
func (s *Snapshot) PoolNames() []string { return sortedNames(s.pools) }

// Class returns the record of that name.
func (s *Snapshot) Class(name string) (*recordspb.RequestClass, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// ServiceByPath returns the service with the longest matching path prefix.
func (s *Snapshot) ServiceByPath(path string) (string, *recordspb.Service, bool) {
	for _, name := range s.serviceOrder {
		svc := s.services[name]
		if strings.HasPrefix(path, svc.GetPathPrefix()) {
			return name, svc, true
		}
	}
	return "", nil, false
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
