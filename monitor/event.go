// Package monitor follows what the endpoints that an instance owns say of
// themselves: whether they live, what they have loaded, their load and their
// caches.
package monitor

import (
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Event is something that an endpoint showed: StatusChanged, LoadReported or
// CacheChanged.
type Event interface {
	// EndpointName names the endpoint that the event is about.
	EndpointName() string
}

// StatusChanged tells how an endpoint is to be treated and what it has loaded.
// It comes at each change, and again each second in case one was given up.
type StatusChanged struct {
	Endpoint    string
	Pool        string
	Status      fleetpb.EndpointStatus
	Incarnation uint64
	// ModelVersions are loaded, as model@version, in order.
	ModelVersions []string
	// Reason of the status in words, empty for a live endpoint.
	Reason string
}

// LoadReported passes on an endpoint's word on its load.
type LoadReported struct {
	Endpoint string
	Report   endpoint.LoadReport
}

// CacheChanged passes on an event of an endpoint's cache. A step of more than
// one in its Seq is a gap, be it the engine's or this process's own.
type CacheChanged struct {
	Endpoint string
	Event    endpoint.CacheEvent
}

// EndpointName implements Event.
func (e StatusChanged) EndpointName() string { return e.Endpoint }

// EndpointName implements Event.
func (e LoadReported) EndpointName() string { return e.Endpoint }

// EndpointName implements Event.
func (e CacheChanged) EndpointName() string { return e.Endpoint }

// EndpointDump is the state of one followed endpoint.
type EndpointDump struct {
	Endpoint      string    `json:"endpoint"`
	Pool          string    `json:"pool"`
	Status        string    `json:"status"`
	Incarnation   uint64    `json:"incarnation"`
	ModelVersions []string  `json:"model_versions"`
	HeardAt       time.Time `json:"heard_at"`
	CacheSeq      uint64    `json:"cache_seq"`
	Failure       string    `json:"failure,omitempty"`
}
