package route

import (
	"slices"
	"sort"
	"strings"

	"github.com/sardinedock/sardinedock/fault"
)

// Records are the records of a table as operators wrote them.
type Records struct {
	// Version increases with every change.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is one version of the records. It is immutable and safe for concurrent use.
type Table struct {
	version       int64
	limits        Limits
	byHost        map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
	byKey         map[string]*Organisation
	cacheStores   []*Service
	routes        int
	// isolated are the names of isolated organisations, sharedGroup the cache group of all others.
	isolated    map[string]bool
	sharedGroup string
}

// NewTable validates and indexes the records. Errors are of kind fault.Invalid; on an error the
// caller keeps the table in force.
func NewTable(r Records) (*Table, error) {
	t := &Table{
		version:       r.Version,
		limits:        r.Limits,
		byHost:        map[string][]*Route{},
		services:      map[string]*Service{},
		organisations: map[string]*Organisation{},
		byKey:         map[string]*Organisation{},
		routes:        len(r.Routes),
		isolated:      map[string]bool{},
	}
	for i := range r.Services {
		s := &r.Services[i]
		t.services[s.Name] = s
		if s.Store != nil {
			t.cacheStores = append(t.cacheStores, s)
		}
	}
	for i := range r.Organisations {
		t.addOrganisation(&r.Organisations[i])
	}
	t.sharedGroup = sharedGroup(t.isolated)
	for i := range r.Routes {
		if err := t.addRoute(&r.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return t, nil
}

func (t *Table) addOrganisation(o *Organisation) {
	t.organisations[o.Name] = o
	for _, key := range o.Keys {
		t.byKey[key] = o
	}
	if o.Isolated {
		t.isolated[o.Name] = true
	}
}

func (t *Table) addRoute(r *Route) error {
	if len(r.Targets) == 0 {
		return fault.New(fault.Invalid, "name a service in the route's record", "route %s leads to no service", r.Name)
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fault.New(fault.Invalid, "add the service's record first", "route %s leads to the unknown service %s", r.Name, target.Service)
		}
	}
	if r.Timeout <= 0 {
		return fault.New(fault.Invalid, "set a timeout above 0", "route %s has no timeout", r.Name)
	}
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// Version returns the version of the records.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// RequiresKeys reports whether callers of routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.organisations) > 0 }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls fn for each service in unspecified order.
func (t *Table) Services(fn func(*Service)) {
	for _, s := range t.services {
		fn(s)
	}
}

// ResumableServices returns the names of the services with streams that may be resumed, each once.
func (t *Table) ResumableServices() []string {
	var names []string
	for _, routes := range t.byHost {
		for _, r := range routes {
			if !r.Resumable {
				continue
			}
			for _, target := range r.Targets {
				names = append(names, target.Service)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// CacheStores returns the services that are KV cache stores.
func (t *Table) CacheStores() []*Service { return t.cacheStores }

// Organisation returns the organisation that the key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Organisations calls fn for each organisation in unspecified order.
func (t *Table) Organisations(fn func(*Organisation)) {
	for _, o := range t.organisations {
		fn(o)
	}
}

// Match returns the route with the longest matching path prefix among the routes of the host, or
// nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request of the route. It depends only on draw, so that all
// attempts of one request go to the same service.
func (r *Route) Pick(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	left := int(draw % uint64(total))
	for _, t := range r.Targets {
		if left -= max(t.Weight, 0); left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
