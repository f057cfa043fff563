// Package endpoint is the router's side of the protocols that endpoints
// speak: model engines and plain services.
package endpoint

import (
	"context"
	"time"
)

// Request is one model request as it goes to an engine.
type Request struct {
	// ID is the router's own id, unique over all instances and attempts.
	ID string
	// Path is the engine path, such as /v1/completions.
	Path string
	// Body is the OpenAI-style JSON body, with the router's fields added.
	Body []byte
	// Fresh asks for a connection that was not used before, so that silence
	// cannot come from a connection that something in between has forgotten.
	Fresh bool
}

// Piece is one event of an answer's stream.
type Piece struct {
	// ID and Index are those that the engine wrote on the piece.
	ID    string
	Index int64
	// Data is the JSON of the piece. It is valid until the next call of Next.
	Data []byte
}

// Stream is an open answer. One goroutine may use it.
type Stream interface {
	// Incarnation of the engine that answers.
	Incarnation() uint64
	// ModelVersion is the version of the weights that answer.
	ModelVersion() string
	// Next blocks for the next piece. It returns io.EOF after the end mark and
	// an error of kind fault.Broken for any other end.
	Next() (Piece, error)
	// Close gives the connection up; the engine's work goes on until Cancel.
	Close()
}

// LoadReport is what an engine says of its load, some time ago.
type LoadReport struct {
	Incarnation   uint64    `json:"incarnation"`
	MeasuredAt    time.Time `json:"measured_at"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	WaitingTokens int64     `json:"waiting_tokens"`
	FreeBlocks    int64     `json:"free_blocks"`
}

// CacheOp is what happened to cached blocks.
type CacheOp string

// The operations of cache events.
const (
	CacheStore CacheOp = "store"
	CacheEvict CacheOp = "evict"
	CacheClear CacheOp = "clear"
	// CacheHeartbeat is no change: the engine lives and has nothing to tell.
	// Such an event has no Seq.
	CacheHeartbeat CacheOp = "heartbeat"
)

// CacheEvent is one event of an engine's cache. Events come late; a step of
// more than one in Seq is a gap.
type CacheEvent struct {
	Seq         uint64   `json:"seq"`
	Incarnation uint64   `json:"incarnation"`
	Op          CacheOp  `json:"op"`
	Blocks      []string `json:"blocks"`
}

// ModelState is one model that an engine holds.
type ModelState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// State is what an engine says of itself.
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

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order asks an engine to change. Orders state a wanted end, so that one may
// be sent twice.
type Order struct {
	// Fence is the fencing number of the lease that the sender holds.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// KVHandle names kept KV cache. It is refused on any difference in
// organisation, model or version.
type KVHandle struct {
	Handle string   `json:"handle"`
	Salt   string   `json:"salt"`
	Blocks []string `json:"blocks"`
}

// CacheEvents is an open stream of cache events.
type CacheEvents interface {
	// Incarnation of the engine that answers; 0 if it did not say.
	Incarnation() uint64
	// Next blocks for the next event or heartbeat; an error of kind
	// fault.Broken means that the connection ended or went silent.
	Next() (CacheEvent, error)
	Close()
}

// Generator runs requests on an engine. All methods may be called by any
// goroutine.
type Generator interface {
	// Generate sends a request. An error of kind fault.Overloaded says that
	// the engine refused the request and did not start it; one of kind
	// fault.Unavailable that no byte of the request was sent. After any other
	// error the request may have run.
	Generate(ctx context.Context, r Request) (Stream, error)
	// Resume goes on with a stream after the piece of the given index, on a
	// new connection. fault.NotFound: the engine does not know the stream.
	Resume(ctx context.Context, id string, after int64) (Stream, error)
	// Cancel ends the engine's work on a request.
	Cancel(ctx context.Context, id string) error
}

// Observer reads what an engine says of itself.
type Observer interface {
	// State and Load read the engine's own word.
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (LoadReport, error)
	// Events follows the cache from the event after seq. The engine is asked
	// for a heartbeat at least so often; it may send fewer.
	Events(ctx context.Context, after uint64, heartbeat time.Duration) (CacheEvents, error)
}

// Controller changes an engine.
type Controller interface {
	// Order tells the engine to change; fault.StaleFence if it refused.
	Order(ctx context.Context, o Order) error
	// Export keeps blocks, Import takes kept blocks in; both return the number
	// of blocks concerned.
	Export(ctx context.Context, h KVHandle) (int, error)
	Import(ctx context.Context, h KVHandle) (int, error)
}

// Engine is one model engine.
type Engine interface {
	Generator
	Observer
	Controller
}
