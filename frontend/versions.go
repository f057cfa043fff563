package frontend

import "sync"

// maxVersions is the maximum number of remembered versions. When it is reached, all are
// dropped.
const maxVersions = 16384

// versions remembers with which version of a model's weights each endpoint last answered.
// During a rollout the record names one version while some endpoints still run another. A
// cache salt derived from the version in the record would then cover blocks that the older
// weights computed, and after the endpoint has loaded the new weights, a request could match
// these blocks. The salt is therefore derived from the version that the endpoint runs.
// versions is safe for concurrent use.
type versions struct {
	mu   sync.Mutex
	last map[versionKey]string
}

type versionKey struct{ endpoint, model string }

func newVersions() *versions { return &versions{last: map[versionKey]string{}} }

// get returns the version last recorded, or fallback if there is none.
func (v *versions) get(endpoint, model, fallback string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version, ok := v.last[versionKey{endpoint, model}]; ok {
		return version
	}
	return fallback
}

// record stores the version with which an endpoint answered.
func (v *versions) record(endpoint, model, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.last) >= maxVersions {
		clear(v.last)
	}
	v.last[versionKey{endpoint, model}] = version
}
