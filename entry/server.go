// Package entry serves callers: it reads their requests, has them placed and
// sent, and gives each caller the whole answer to its own request.
package entry

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Config is what a Server needs.
type Config struct {
	Limits *settingspb.Limits
	Placer place.Placer
	// Dial returns the engine at an address.
	Dial func(address string) endpoint.Generator
	// NewID returns a request id that no other request has.
	NewID func() string
}

// Server serves callers. Records may be replaced at any time.
type Server struct {
	cfg     Config
	records atomic.Pointer[record.Snapshot]
	http    *fasthttp.Server
}

// NewServer returns a server without records; it answers 503 until SetRecords.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        int(cfg.Limits.GetHeaderBytes()),
		MaxRequestBodySize:    int(cfg.Limits.GetBodyBytes()),
		ReadTimeout:           time.Duration(cfg.Limits.GetReadTimeoutMs()) * time.Millisecond,
		WriteTimeout:          time.Duration(cfg.Limits.GetWriteTimeoutMs()) * time.Millisecond,
		Concurrency:           int(cfg.Limits.GetConnections()),
		ErrorHandler:          readFailed,
	}
	return s
}

// SetRecords puts records in force for the requests that come from now on.
func (s *Server) SetRecords(r *record.Snapshot) { s.records.Store(r) }

// HTTP returns the server to listen with.
func (s *Server) HTTP() *fasthttp.Server { return s.http }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	records := s.records.Load()
	if records == nil {
		writeError(ctx, errNoRecords)
		return
	}
	organisation, err := authenticate(ctx, records)
	if err != nil {
		writeError(ctx, err)
		return
	}
	switch path := string(ctx.Path()); path {
	case "/v1/models":
		s.models(ctx, records)
	case "/v1/completions", "/v1/chat/completions":
		s.generate(ctx, records, organisation)
	default:
		writeError(ctx, errNoPath(path))
	}
}
