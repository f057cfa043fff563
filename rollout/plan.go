// Package rollout brings the endpoints of a pool to the weights, adapters and
// roles that the records ask for, a few endpoints at a time.
package rollout

import (
	"slices"
	"sort"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/record"
)

// Wanted lists the models that the endpoints of a pool have to serve, sorted by name.
type Wanted struct {
	Models []WantedModel
}

// WantedModel is one model with the version and adapters that a pool has to serve.
type WantedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// WantedOf returns what the records require of a pool's endpoints.
func WantedOf(s *record.Snapshot, pool string) Wanted {
	var w Wanted
	for _, name := range s.ModelNames() {
		m, _ := s.Model(name)
		if m.GetPool() == pool {
			w.Models = append(w.Models, WantedModel{Model: name, Version: m.GetVersion(), Adapters: m.GetAdapters()})
		}
	}
	return w
}

// Observed is the last known state of an endpoint.
type Observed struct {
	Name string
	// Role is the role in the endpoint's record; empty means any.
	Role string
	// Leaving endpoints get no orders.
	Leaving bool
	// Answered reports whether State is the answer to the latest query and not an
	// older one.
	Answered bool
	State    endpoint.State
}

// InFlight is an order that was sent and whose effect is not visible yet.
type InFlight struct {
	Order
	Since time.Time
}

// visible reports whether an endpoint's state shows the effect of the order.
func (f InFlight) visible(s endpoint.State) bool {
	o := f.Order.Order
	matches := func(m endpoint.ModelState) bool { return m.Model == o.Model && m.Version == o.Version }
	switch o.Kind {
	case endpoint.OrderLoadModel:
		return slices.ContainsFunc(s.Models, matches) || slices.ContainsFunc(s.Loading, matches)
	case endpoint.OrderLoadAdapter:
		i := slices.IndexFunc(s.Models, matches)
		return i >= 0 && slices.Contains(s.Models[i].Adapters, o.Adapter)
	case endpoint.OrderUnloadModel:
		return !slices.ContainsFunc(s.Models, matches)
	}
	return s.Role == o.Role
}

// Limits bounds a plan.
type Limits struct {
	// LoadsAtOnce is how many endpoints of the pool may load weights concurrently.
	LoadsAtOnce int
	// Fence is the sender's fencing number if the endpoints check it, otherwise 0.
	// Endpoints already in the wanted state get an order that carries it, too.
	Fence uint64
}

// Order is an order for one endpoint, without a fencing number.
type Order struct {
	Endpoint string
	Order    endpoint.Order
}

// Plan returns the orders to send now, at most one per endpoint.
//
// It applies a new version to a pool whose endpoints are all serving. With more
// than LoadsAtOnce concurrent loads the weight store would slow down every load,
// and more endpoints would be loading instead of serving requests. The plan
// depends only on what the endpoints report and on the orders in flight, and is
// recomputed at every interval. So an order that a former lease holder sends late
// is undone even where endpoints do not check fencing numbers, and a lost order is
// sent again.
func Plan(w Wanted, observed []Observed, inFlight []InFlight, l Limits) []Order {
	if len(w.Models) == 0 {
		// A pool without models more likely means that a model's record has not
		// arrived yet than that all weights should be unloaded.
		return nil
	}
	busy := loading(observed, inFlight)
	free := l.LoadsAtOnce - len(busy)
	var orders []Order
	for _, o := range sortForLoading(observed, w) {
		if !o.Answered || o.Leaving || o.State.Leaving || pending(inFlight, o.Name) {
			continue
		}
		next, ok := nextOrder(w, o)
		if !ok {
			if fenceOnly, ok := fenceOrder(w, o, l.Fence); ok {
				orders = append(orders, Order{Endpoint: o.Name, Order: fenceOnly})
			}
			continue
		}
		if usesWeights(next.Kind) {
			if free <= 0 || slices.Contains(busy, o.Name) {
				continue
			}
			free--
		}
		orders = append(orders, Order{Endpoint: o.Name, Order: next})
	}
	return orders
}

// loading names the endpoints that are reading from the weight store now. An
// endpoint that has stopped answering may still be loading, so its order counts
// until it is dropped from inFlight.
func loading(observed []Observed, inFlight []InFlight) []string {
	var names []string
	for _, o := range observed {
		if len(o.State.Loading) > 0 {
			names = append(names, o.Name)
		}
	}
	for _, f := range inFlight {
		if usesWeights(f.Order.Order.Kind) && !slices.Contains(names, f.Endpoint) {
			names = append(names, f.Endpoint)
		}
	}
	return names
}

// pending reports whether an order for the endpoint is in flight.
func pending(inFlight []InFlight, name string) bool {
	return slices.ContainsFunc(inFlight, func(f InFlight) bool { return f.Endpoint == name })
}

// usesWeights reports whether an order of the kind makes the endpoint read from the
// weight store.
func usesWeights(kind endpoint.OrderKind) bool {
	return kind == endpoint.OrderLoadModel || kind == endpoint.OrderLoadAdapter
}

// sortForLoading sorts the endpoints that serve no wanted model first: no request is
// affected while they load.
func sortForLoading(observed []Observed, w Wanted) []Observed {
	list := slices.Clone(observed)
	sort.Slice(list, func(i, j int) bool {
		a, b := serves(list[i], w), serves(list[j], w)
		if a != b {
			return !a
		}
		return list[i].Name < list[j].Name
	})
	return list
}

// serves reports whether the endpoint serves any version of a wanted model.
func serves(o Observed, w Wanted) bool {
	return slices.ContainsFunc(o.State.Models, func(m endpoint.ModelState) bool {
		return slices.ContainsFunc(w.Models, func(want WantedModel) bool { return want.Model == m.Model })
	})
}

// nextOrder returns the order that brings an endpoint one step closer to the wanted
// state, or false if it is in that state or has to finish a load first.
func nextOrder(w Wanted, o Observed) (endpoint.Order, bool) {
	for _, want := range w.Models {
		if next, ok := modelOrder(want, o.State); ok {
			return next, true
		}
	}
	if len(o.State.Loading) == 0 {
		if next, ok := unloadOrder(w, o.State); ok {
			return next, true
		}
	}
	if o.Role != "" && o.Role != o.State.Role {
		return endpoint.Order{Kind: endpoint.OrderSetRole, Role: o.Role}, true
	}
	return endpoint.Order{}, false
}

// modelOrder returns the load order that one model still needs. While any version
// of the model is loading it returns none: a load cannot be cancelled.
func modelOrder(want WantedModel, s endpoint.State) (endpoint.Order, bool) {
	if slices.ContainsFunc(s.Loading, func(m endpoint.ModelState) bool { return m.Model == want.Model }) {
		return endpoint.Order{}, false
	}
	i := slices.IndexFunc(s.Models, func(m endpoint.ModelState) bool {
		return m.Model == want.Model && m.Version == want.Version
	})
	if i < 0 {
		return endpoint.Order{Kind: endpoint.OrderLoadModel, Model: want.Model, Version: want.Version}, true
	}
	for _, adapter := range want.Adapters {
		if !slices.Contains(s.Models[i].Adapters, adapter) {
			return endpoint.Order{Kind: endpoint.OrderLoadAdapter, Model: want.Model, Version: want.Version, Adapter: adapter}, true
		}
	}
	return endpoint.Order{}, false
}

// fenceOrder returns an order to load what an endpoint has already loaded, if that
// endpoint has not seen the fencing number yet. Without it, the endpoint would
// accept an order that the former lease holder sends late, and load weights that
// are no longer wanted.
func fenceOrder(w Wanted, o Observed, fence uint64) (endpoint.Order, bool) {
	if o.State.Fence >= fence || len(o.State.Loading) > 0 {
		return endpoint.Order{}, false
	}
	first := w.Models[0]
	return endpoint.Order{Kind: endpoint.OrderLoadModel, Model: first.Model, Version: first.Version}, true
}

// unloadOrder unloads a model that the pool no longer serves, to free its memory
// for the KV cache.
func unloadOrder(w Wanted, s endpoint.State) (endpoint.Order, bool) {
	for _, m := range s.Models {
		wanted := slices.ContainsFunc(w.Models, func(want WantedModel) bool { return want.Model == m.Model })
		if !wanted {
			return endpoint.Order{Kind: endpoint.OrderUnloadModel, Model: m.Model, Version: m.Version}, true
		}
	}
	return endpoint.Order{}, false
}

// Converged reports whether an endpoint is in the wanted state.
func Converged(w Wanted, o Observed) bool {
	if !o.Answered || len(o.State.Loading) > 0 {
		return false
	}
	_, more := nextOrder(w, o)
	return !more
}
