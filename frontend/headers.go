package frontend

// Request headers.
const (
	headerClass         = "X-Sardinedock-Class"
	headerNonIdempotent = "X-Sardinedock-Non-Idempotent"
	headerKey           = "Idempotency-Key"
)

// Response headers. The outcome of a stream is sent as a trailer, because it is only known at
// the end of the stream.
const (
	headerRequestID = "X-Request-Id"
	headerEndpoint  = "X-Sardinedock-Endpoint"
	headerCached    = "X-Sardinedock-Cached-Tokens"
	headerOutcome   = "X-Sardinedock-Outcome"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255
