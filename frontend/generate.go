package frontend

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/record"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelsPath is the path prefix of a single model.
const modelsPath = "/v1/models/"

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (s *Server) models(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation string) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range records.ModelNames() {
		if mayUse(records, organisation, name) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "sardinedock"})
		}
	}
	writeJSON(ctx, list)
}

// model serves the description of one model.
func (s *Server) model(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation, name string) {
	if _, ok := lookupModel(records, name); !ok || !mayUse(records, organisation, name) {
		s.refuse(ctx, errNoModel(name))
		return
	}
	writeJSON(ctx, modelEntry{ID: name, Object: "model", OwnedBy: "sardinedock"})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, _ := json.Marshal(v)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// generate serves a model request. It waits for the first piece before it writes the status,
// so that earlier errors have a status of their own.
func (s *Server) generate(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation, id string) {
	if !ctx.IsPost() {
		s.refuse(ctx, errMethod)
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	req, err := readModelRequest(ctx, records, organisation, id)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	s.reruns.credit()
	c := &call{id: id, organisation: organisation, class: req.placement.ClassName, conn: ctx.Conn(), keepRunning: req.nonIdempotent}
	s.calls.begin(c, timeout(req.placement.Class))
	a := s.newAnswer(c, req)
	first, err := a.first()
	if err != nil {
		s.calls.end(c)
		a.writeFailed(ctx, err)
		return
	}
	a.setHeaders(ctx)
	if req.stream {
		streamAnswer(ctx, a, first)
		return
	}
	defer s.calls.end(c)
	a.writeWhole(ctx, first)
}

// first looks up the idempotency key and returns the first piece.
func (a *answer) first() ([]byte, error) {
	if err := a.lookupKey(); err != nil {
		return nil, err
	}
	return a.Next()
}

func (a *answer) setHeaders(ctx *fasthttp.RequestCtx) {
	h := &ctx.Response.Header
	h.Set(headerEndpoint, a.endpoint)
	h.Set(headerCached, strconv.FormatInt(a.progress.cached, 10))
}

// writeFailed writes the error answer of a request that cannot be completed.
func (a *answer) writeFailed(ctx *fasthttp.RequestCtx, err error) {
	if a.endpoint != "" {
		ctx.Response.Header.Set(headerEndpoint, a.endpoint)
	}
	if own := endpointError(err); own != nil {
		a.record(own.Status, own.ContentType, own.Body)
	}
	writeError(ctx, err, a.verdict)
}

// writeWhole reads the remaining pieces and writes the answer as one body.
func (a *answer) writeWhole(ctx *fasthttp.RequestCtx, piece []byte) {
	whole := newAssembly(a.req.chat)
	for {
		if err := whole.add(piece); err != nil {
			a.writeFailed(ctx, a.fail(err))
			return
		}
		var err error
		piece, err = a.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.writeFailed(ctx, err)
			return
		}
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerOutcome, a.verdict.String())
	body := whole.encode(&a.progress)
	a.record(fasthttp.StatusOK, "application/json", body)
	ctx.SetBody(body)
}
