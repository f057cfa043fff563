package entry

import "sync"

// maxVersions bounds what is remembered; see versions.
const maxVersions = 16384

// versions remembers which version of a model's weights each endpoint answered
// with last. While a new version is rolled out, the record names one version
// and some endpoints still run another. A cache salt made of the record's
// version would then name blocks that the older weights computed, and after
// the load a request could match them. The salt is therefore made of the
// version that the endpoint runs. Any goroutine may use it.
type versions struct {
	mu   sync.Mutex
	last map[versionKey]string
}

type versionKey struct{ endpoint, model string }

func newVersions() *versions { return &versions{last: map[versionKey]string{}} }

// get returns the version seen last, or the given one where none was seen.
func (v *versions) get(endpoint, model, fallback string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version, ok := v.last[versionKey{endpoint, model}]; ok {
		return version
	}
	return fallback
}

// saw books the version that an endpoint answered with.
func (v *versions) record(endpoint, model, version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.last) >= maxVersions {
		clear(v.last)
	}
	v.last[versionKey{endpoint, model}] = version
}
