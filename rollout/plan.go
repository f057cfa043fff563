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

// Wanted is what the endpoints of a pool have to hold, in order of name.
type Wanted struct {
	Models []WantedModel
}

// WantedModel is one model of a pool.
type WantedModel struct {
	Model    string
	Version  string
	Adapters []string
}

// WantedOf reads from the records what a pool's endpoints have to hold.
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

// Observed is one endpoint as it was seen last.
type Observed struct {
	Name string
	// Role that the record asks for; empty asks for none.
	Role string
	// Leaving endpoints are left as they are.
	Leaving bool
	// Answered says that State is the answer to the last question.
	Answered bool
	State    endpoint.State
}

// InFlight is an order that was sent and whose effect was not seen yet.
type InFlight struct {
	Order
	Since time.Time
}

// seen reports whether an endpoint's state shows the effect of the order.
func (f InFlight) seen(s endpoint.State) bool {
	o := f.Order.Order
	here := func(m endpoint.ModelState) bool { return m.Model == o.Model && m.Version == o.Version }
	switch o.Kind {
	case endpoint.OrderLoadModel:
		return slices.ContainsFunc(s.Models, here) || slices.ContainsFunc(s.Loading, here)
	case endpoint.OrderLoadAdapter:
		i := slices.IndexFunc(s.Models, here)
		return i >= 0 && slices.Contains(s.Models[i].Adapters, o.Adapter)
	case endpoint.OrderUnloadModel:
		return !slices.ContainsFunc(s.Models, here)
	}
	return s.Role == o.Role
}

// Limits bound what happens at a time.
type Limits struct {
	// LoadsAtOnce is how many endpoints of the pool may load at a time.
	LoadsAtOnce int
	// Fence is the sender's fencing number where endpoints check it, or 0. It
	// is shown to endpoints that have nothing to do as well.
	Fence uint64
}

// Order is an order for one endpoint, without a fencing number.
type Order struct {
	Endpoint string
	Order    endpoint.Order
}

// Plan returns the orders to send now, one for an endpoint at most.
//
// Load: a new version reaches a pool whose endpoints all serve. Harm prevented:
// past LoadsAtOnce the weight store slows every load down, and more endpoints
// than that would work on their loads instead of requests. The plan follows
// only from what endpoints report and is made again and again. So an order that
// a former holder of the lease sends late is undone even where endpoints do not
// check fencing numbers, and a lost order is sent again.
func Plan(w Wanted, observed []Observed, inFlight []InFlight, l Limits) []Order {
	if len(w.Models) == 0 {
		// A pool without models is more likely a record on its way than a wish
		// to take all weights away.
		return nil
	}
	busy := loading(observed, inFlight)
	free := l.LoadsAtOnce - len(busy)
	var orders []Order
	for _, o := range inOrder(observed, w) {
		if !o.Answered || o.Leaving || o.State.Leaving || pending(inFlight, o.Name) {
			continue
		}
		next, ok := nextOrder(w, o)
		if !ok {
			if show, ok := fenceOrder(w, o, l.Fence); ok {
				orders = append(orders, Order{Endpoint: o.Name, Order: show})
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

// loading names the endpoints that draw on the weight store now. An endpoint
// that has stopped answering may still load, so its order counts until it is
// given up.
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

func pending(inFlight []InFlight, name string) bool {
	return slices.ContainsFunc(inFlight, func(f InFlight) bool { return f.Endpoint == name })
}

func usesWeights(kind endpoint.OrderKind) bool {
	return kind == endpoint.OrderLoadModel || kind == endpoint.OrderLoadAdapter
}

// inOrder puts endpoints first that serve nothing of what is wanted: they cost
// no request when they load.
func inOrder(observed []Observed, w Wanted) []Observed {
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

// serves reports whether the endpoint answers for a wanted model, with
// whatever version.
func serves(o Observed, w Wanted) bool {
	return slices.ContainsFunc(o.State.Models, func(m endpoint.ModelState) bool {
		return slices.ContainsFunc(w.Models, func(want WantedModel) bool { return want.Model == m.Model })
	})
}

// nextOrder returns what brings one endpoint a step nearer to what is wanted.
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

// modelOrder returns what one model lacks. A load that is under way is waited
// for, whatever its version: it cannot be called back.
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

// fenceOrder asks an endpoint that holds what is wanted for just that. An
// endpoint that has not seen the new holder's number would still take an order
// of the former one, sent late, and work on weights that nobody wants.
func fenceOrder(w Wanted, o Observed, fence uint64) (endpoint.Order, bool) {
	if o.State.Fence >= fence || len(o.State.Loading) > 0 {
		return endpoint.Order{}, false
	}
	first := w.Models[0]
	return endpoint.Order{Kind: endpoint.OrderLoadModel, Model: first.Model, Version: first.Version}, true
}

// unloadOrder takes away a model that the pool does not serve any more. Its
// memory is wanted for the cache.
func unloadOrder(w Wanted, s endpoint.State) (endpoint.Order, bool) {
	for _, m := range s.Models {
		wanted := slices.ContainsFunc(w.Models, func(want WantedModel) bool { return want.Model == m.Model })
		if !wanted {
			return endpoint.Order{Kind: endpoint.OrderUnloadModel, Model: m.Model, Version: m.Version}, true
		}
	}
	return endpoint.Order{}, false
}

// Converged reports whether an endpoint holds what is wanted.
func Converged(w Wanted, o Observed) bool {
	if !o.Answered || len(o.State.Loading) > 0 {
		return false
	}
	_, more := nextOrder(w, o)
	return !more
}
