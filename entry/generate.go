package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// Answer headers.
const (
	headerRequestID = "X-Request-Id"
	headerEndpoint  = "X-Sardinedock-Endpoint"
	headerOutcome   = "X-Sardinedock-Outcome"
	headerClass     = "X-Sardinedock-Class"
)

// generateBody is the part of a request's body that the router reads.
type generateBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (s *Server) models(ctx *fasthttp.RequestCtx, records *record.Snapshot) {
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	data := []entry{}
	for _, name := range records.ModelNames() {
		data = append(data, entry{ID: name, Object: "model", OwnedBy: "sardinedock"})
	}
	body, _ := json.Marshal(struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{"list", data})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) generate(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation string) {
	req, err := s.readRequest(ctx, records, organisation)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.Response.Header.Set(headerRequestID, req.ID)
	grant, err := s.cfg.Placer.Place(context.Background(), req)
	if err != nil {
		ctx.Response.Header.Set(headerOutcome, "not-run")
		writeError(ctx, err)
		return
	}
	engine := s.cfg.Dial(grant.Address)
	body := append([]byte(nil), ctx.PostBody()...)
	stream, err := engine.Generate(context.Background(), endpoint.Request{ID: req.ID, Path: string(ctx.Path()), Body: body})
	if err != nil {
		s.cfg.Placer.Done(grant, place.Result{End: place.EndFailed})
		writeError(ctx, err)
		return
	}
	ctx.Response.Header.Set(headerEndpoint, grant.Endpoint)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		res := relay(w, req.ID, stream)
		stream.Close()
		s.cfg.Placer.Done(grant, res)
	})
}

func (s *Server) readRequest(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation string) (place.Request, error) {
	var body generateBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return place.Request{}, fault.Wrap(err, fault.BadRequest, "send a JSON object as the API defines it", "the body is not valid")
	}
	model, ok := records.Model(body.Model)
	if !ok {
		return place.Request{}, fault.New(fault.NotFound, "ask /v1/models for the models there are", "no such model: %q", body.Model)
	}
	pool, ok := records.Pool(model.GetPool())
	if !ok {
		return place.Request{}, fault.New(fault.Unavailable, "create the pool's record", "model %q names pool %q, which has no record", body.Model, model.GetPool())
	}
	className := string(ctx.Request.Header.Peek(headerClass))
	if className == "" {
		className = model.GetDefaultClass()
	}
	class, ok := records.Class(className)
	if !ok {
		class = &recordspb.RequestClass{MaxWaitMs: 2000, TimeoutMs: 120000}
	}
	prompt := []byte(body.Prompt)
	if len(body.Messages) > 0 {
		prompt = body.Messages
	}
	salt := prefix.Salt(organisation, body.Model, model.GetVersion())
	return place.Request{
		ID:           s.cfg.NewID(),
		Organisation: organisation,
		ClassName:    className,
		Class:        class,
		PoolName:     model.GetPool(),
		Pool:         pool,
		Model:        body.Model,
		Version:      model.GetVersion(),
		Blocks:       prefix.Blocks(nil, salt, prompt, int(pool.GetBlockTokens())),
		PromptTokens: prefix.Tokens(prompt),
		MaxTokens:    min(body.MaxTokens, model.GetMaxTokens()),
	}, nil
}

// relay copies the stream to the caller and checks that each piece is the next
// one of this very request.
func relay(w *bufio.Writer, id string, stream endpoint.Stream) place.Result {
	var res place.Result
	for {
		piece, err := stream.Next()
		if errors.Is(err, io.EOF) {
			fmt.Fprint(w, "data: [DONE]\n\n")
			_ = w.Flush()
			res.End = place.EndDone
			return res
		}
		if err == nil && (piece.ID != id || piece.Index != res.OutputTokens) {
			err = fault.New(fault.Broken, "send the request again", "a piece of another answer, or out of order")
		}
		if err != nil {
			res.End = place.EndFailed
			writeErrorEvent(w, err)
			return res
		}
		res.OutputTokens++
		fmt.Fprintf(w, "data: %s\n\n", piece.Data)
		if w.Flush() != nil {
			res.End = place.EndFailed
			return res
		}
	}
}

// writeErrorEvent ends a stream that cannot be completed. A stream never ends
// short without such an event.
func writeErrorEvent(w *bufio.Writer, err error) {
	_, errorType := statusOf(fault.KindOf(err))
	body, _ := json.Marshal(apiError{apiErrorBody{Message: err.Error(), Type: errorType, Code: string(fault.KindOf(err))}})
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	_ = w.Flush()
}

// Timeout returns the class's bound of a whole request.
func Timeout(class *recordspb.RequestClass) time.Duration {
	return time.Duration(class.GetTimeoutMs()) * time.Millisecond
}
