package inbound

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// probeTimeout bounds a request to a probe server, and the time between two on one connection.
	probeTimeout = 10 * time.Second
	// probeBodyBytes bounds its body, which nobody reads, and probeHeadBytes its head.
	probeBodyBytes = 1 << 10
	probeHeadBytes = 4 << 10
)

// NewProbeServer returns an HTTP server for requests without bodies, such as those for health and metrics.
func NewProbeServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true,
		ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: 2 * probeTimeout,
		MaxRequestBodySize: probeBodyBytes, ReadBufferSize: probeHeadBytes, DisablePreParseMultipartForm: true,
		Logger: silentLogger{},
	}
}

// silentLogger drops the library's lines on connections, of which clients can cause many.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}
