// Package endpoint implements the client side of the protocols of endpoints: model engines and
// plain services.
package endpoint

import (
	"context"
	"time"
)

// headerRequestID is the header with the ID of a request.
const headerRequestID = "X-Request-Id"

// Request is one model request as sent to an engine.
type Request struct {
	// ID is the router's own id, unique over all instances and attempts.
	ID string
	// Path is the engine path, such as /v1/completions.
	Path string
	// Body is the OpenAI-style JSON body, with the router's fields added.
	Body []byte
	// Fresh requires a connection that was not used before, so that a missing response can't be
	// due to a connection that a NAT or firewall on the way has dropped.
	Fresh bool
}

// Piece is one event of a streamed answer.
type Piece struct {
	// ID and Index are the request's id and the event's position in the stream, from the event's
	// id field.
	ID    string
	Index int64
	// Data is the JSON of the piece. It is valid until the next call of Next.
	Data []byte
}

// Stream is an open streamed answer. It is not safe for concurrent use.
type Stream interface {
	// Incarnation returns the incarnation of the engine that answers.
	Incarnation() uint64
	// ModelVersion returns the version of the weights that generate the answer.
	ModelVersion() string
	// Next blocks until the next piece. It returns io.EOF after the [DONE] mark and an error of
	// kind fault.Broken for any other end.
	Next() (Piece, error)
	// Close releases the connection. The engine continues its work until Cancel.
	Close()
}

// LoadReport is an engine's load at the time MeasuredAt.
type LoadReport struct {
	Incarnation   uint64    `json:"incarnation"`
	MeasuredAt    time.Time `json:"measured_at"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	WaitingTokens int64     `json:"waiting_tokens"`
	FreeBlocks    int64     `json:"free_blocks"`
}

// CacheOp is a change of the blocks cached by an engine.
type CacheOp string

// The operations of cache events.
const (
	CacheStore CacheOp = "store"
	CacheEvict CacheOp = "evict"
	CacheClear CacheOp = "clear"
	// CacheHeartbeat reports no change: the engine is alive and has no event to send. Such an
	// event has no Seq.
	CacheHeartbeat CacheOp = "heartbeat"
)

// CacheEvent is one event of an engine's cache. Events arrive with a delay; an increment of Seq
// by more than one is a gap.
type CacheEvent struct {
	Seq         uint64   `json:"seq"`
	Incarnation uint64   `json:"incarnation"`
	Op          CacheOp  `json:"op"`
	Blocks      []string `json:"blocks"`
}

// ModelState is one model that an engine has loaded.
type ModelState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// State is an engine's state as reported by itself.
type State struct {
	Endpoint    string       `json:"endpoint"`
	Incarnation uint64       `json:"incarnation"`
	Role        string       `json:"role"`
	Leaving     bool         `json:"leaving"`
	Models      []ModelState `json:"models"`
	Loading     []ModelState `json:"loading,omitempty"`
	Fence       uint64       `json:"fence"`
	BlockTokens int64        `json:"block_tokens"`
	CacheBlocks int64        `json:"cache_blocks"`
	Slots       int          `json:"slots"`
}

// OrderKind is the change that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order requests a change of an engine. It states the desired end state, so that it may be sent
// twice.
type Order struct {
	// Fence is the fencing number of the lease that the sender holds.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// KVHandle names saved KV cache. An engine refuses it if organisation, model or version differ.
type KVHandle struct {
	Handle string   `json:"handle"`
	Salt   string   `json:"salt"`
	Blocks []string `json:"blocks"`
}

// CacheEvents is an open stream of cache events.
type CacheEvents interface {
	// Incarnation returns the incarnation of the engine that answers; 0 if it sent none.
	Incarnation() uint64
	// Next blocks until the next event or heartbeat. An error of kind fault.Broken means that
	// the connection ended or timed out.
	Next() (CacheEvent, error)
	Close()
}

// Generator runs requests on an engine. Its methods are safe for concurrent use.
type Generator interface {
	// Generate sends a request. An error of kind fault.Overloaded means that the engine refused
	// the request and did not start it; one of kind fault.Unavailable that no byte of the
	// request was sent. After any other error the request may have run.
	Generate(ctx context.Context, r Request) (Stream, error)
	// Resume continues a stream after the piece with the given index, on a new connection. An
	// error of kind fault.NotFound means that the engine does not know the stream.
	Resume(ctx context.Context, id string, after int64) (Stream, error)
	// Cancel stops the engine's work on a request.
	Cancel(ctx context.Context, id string) error
}

// Observer reads an engine's own reports.
type Observer interface {
	// State returns the engine's state and Load its load report.
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (LoadReport, error)
	// Events streams the cache events that follow the event with sequence number after.
	// heartbeat is the interval requested from the engine; it may send heartbeats less often.
	Events(ctx context.Context, after uint64, heartbeat time.Duration) (CacheEvents, error)
}

// Controller sends orders to an engine and has it save and restore KV cache.
type Controller interface {
	// Order sends an order, on a new connection that is reset if there is no answer when ctx is done. It
	// calls ready, if it is set, before, and sends nothing if that returns an error. An error of kind fault.StaleFence means that
	// the engine rejected its fencing number.
	Order(ctx context.Context, o Order, ready func() error) error
	// Export saves blocks and Import loads saved blocks; both return the number of blocks
	// concerned.
	Export(ctx context.Context, h KVHandle) (int, error)
	Import(ctx context.Context, h KVHandle) (int, error)
}

// Engine is one model engine.
type Engine interface {
	Generator
	Observer
	Controller
}
