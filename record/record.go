// Package record turns the records that operators keep in the object API into
// an immutable snapshot that every duty of an instance reads.
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

// Kind is a kind of record, as it stands in the object API.
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

// KindOf returns the kind that a record's content says it is.
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

// ParseYAML reads a file of records and returns what is wrong with it.
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

// Snapshot is all records in force at one moment. It is never changed once
// built, so any goroutine may read it.
type Snapshot struct {
	// Version is the highest store version that the snapshot takes account
	// of, also where the change of that version was refused.
	Version uint64

	organisations map[string]*recordspb.Organisation
	models        map[string]*recordspb.Model
	pools         map[string]*recordspb.EndpointPool
	classes       map[string]*recordspb.RequestClass
	services      map[string]*recordspb.Service
	byKey         map[keyHash]string
	serviceOrder  []string
}

// keyHash is the SHA-256 sum of an organisation's key.
type keyHash [sha256.Size]byte

// NewSnapshot builds a snapshot. Records that are not valid must have been
// left out by the caller; of two records of one name the last one counts.
func NewSnapshot(version uint64, records []*recordspb.Record) *Snapshot {
	s := &Snapshot{
		Version:       version,
		organisations: map[string]*recordspb.Organisation{},
		models:        map[string]*recordspb.Model{},
		pools:         map[string]*recordspb.EndpointPool{},
		classes:       map[string]*recordspb.RequestClass{},
		services:      map[string]*recordspb.Service{},
		byKey:         map[keyHash]string{},
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

// indexKeys finds organisations by key. A key that two organisations name
// would make instances that heard of them in another order serve one as the
// other, so the first by name has it everywhere.
func (s *Snapshot) indexKeys() {
	for _, name := range sortedNames(s.organisations) {
		for _, text := range s.organisations[name].GetKeyHashes() {
			h := parseKeyHash(text)
			if _, taken := s.byKey[h]; !taken {
				s.byKey[h] = name
			}
		}
	}
}

// parseKeyHash reads a sum that the record's checks have found well formed.
func parseKeyHash(text string) keyHash {
	var h keyHash
	_, _ = hex.Decode(h[:], []byte(text))
	return h
}

// HashKey returns the sum of an organisation's key as records hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey names the organisation that a key belongs to. The key is
// only ever compared through its SHA-256 sum, so the time of a lookup tells an
// attacker nothing that helps to guess a key.
func (s *Snapshot) OrganisationByKey(key string) (string, bool) {
	name, ok := s.byKey[sha256.Sum256([]byte(key))]
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

// ModelNames lists the models in order of name.
func (s *Snapshot) ModelNames() []string { return sortedNames(s.models) }

// Pool returns the record of that name.
func (s *Snapshot) Pool(name string) (*recordspb.EndpointPool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// OrganisationNames lists the organisations in order of name.
func (s *Snapshot) OrganisationNames() []string { return sortedNames(s.organisations) }

// PoolNames lists the pools in order of name.
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
