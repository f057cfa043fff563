// Package monitor follows the endpoints that an instance owns: whether they are alive,
// which models they have loaded, their load and their caches.
package monitor

import (
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Event is an observation of an endpoint: StatusChanged, LoadReported or CacheChanged.
type Event interface {
	// EndpointName returns the name of the endpoint that the event is about.
	EndpointName() string
}

// StatusChanged is an endpoint's status and the models it has loaded. It is sent at each
// change, and again about once a second in case one was dropped.
type StatusChanged struct {
	Endpoint    string
	Pool        string
	Status      fleetpb.EndpointStatus
	Incarnation uint64
	// ModelVersions are the loaded models as model@version, sorted.
	ModelVersions []string
	// Reason is a human-readable reason for the status, empty for a live endpoint.
	Reason string
}

// LoadReported is a load report from an endpoint.
type LoadReported struct {
	Endpoint string
	Report   endpoint.LoadReport
}

// CacheChanged is an event of an endpoint's cache. If Seq increases by more than one,
// events are missing, dropped either by the engine or by this process.
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

// EndpointDump is the state of one followed endpoint in the state dump.
type EndpointDump struct {
	Endpoint      string    `json:"endpoint"`
	Pool          string    `json:"pool"`
	Status        string    `json:"status"`
	Incarnation   uint64    `json:"incarnation"`
	ModelVersions []string  `json:"model_versions"`
	LastSeenAt    time.Time `json:"heard_at"`
	CacheSeq      uint64    `json:"cache_seq"`
	Failure       string    `json:"failure,omitempty"`
}
