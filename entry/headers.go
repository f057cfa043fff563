package entry

// Request headers.
const (
	headerClass         = "X-Sardinedock-Class"
	headerNonIdempotent = "X-Sardinedock-Non-Idempotent"
	headerKey           = "Idempotency-Key"
)

// Answer headers. The outcome of a stream is a trailer: it is not known
// before the stream's end.
const (
	headerRequestID = "X-Request-Id"
	headerEndpoint  = "X-Sardinedock-Endpoint"
	headerCached    = "X-Sardinedock-Cached-Tokens"
	headerOutcome   = "X-Sardinedock-Outcome"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255
