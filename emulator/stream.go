package emulator

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// usage holds the token counts of an answer as the OpenAI API reports them.
type usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func (e *Engine) usage(j *job) usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return usage{j.prompt, j.emitted, j.prompt + int64(j.emitted), promptDetails{j.cached}}
}

// resume streams the pieces after the one that Last-Event-ID names.
func (e *Engine) resume(ctx *fasthttp.RequestCtx, p *process, id string) {
	last := string(ctx.Request.Header.Peek("Last-Event-ID"))
	index, err := strconv.Atoi(strings.TrimPrefix(last, id+"/"))
	if err != nil || index < -1 {
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", "Last-Event-ID does not name a piece of the stream")
		return
	}
	e.mu.Lock()
	j, ok := p.jobs[id]
	ok = ok && !j.stopped && index < len(j.tokens)
	e.mu.Unlock()
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_stream", "no such stream")
		return
	}
	ctx.Response.Header.Set("X-Model-Version", j.origin.version)
	e.stream(ctx, p, j, index+1)
}

// stream responds with the pieces of a job from an index on.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, p *process, j *job, from int) {
	ctx.SetContentType("text/event-stream")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if !e.writePieces(w, p, j, from) {
			cutConn(conn)
		}
	})
}

// cutConn ends a response without its last chunk, as a crash does.
func cutConn(conn net.Conn) { _ = conn.Close() }

// writePieces writes pieces as they are generated. It reports whether the response was complete.
func (e *Engine) writePieces(w *bufio.Writer, p *process, j *job, next int) bool {
	_, _ = w.WriteString(": accepted\n\n")
	if w.Flush() != nil {
		return false
	}
	for {
		if !e.waitWhileFrozen(p.done) {
			return false
		}
		e.mu.Lock()
		emitted, done, stopped, changed := j.emitted, j.done, j.stopped, j.changed
		e.mu.Unlock()
		for ; next < emitted; next++ {
			if !e.deliver(w, p, j, next) {
				return false
			}
		}
		if done {
			_, _ = w.WriteString("data: [DONE]\n\n")
			return w.Flush() == nil
		}
		if stopped {
			return false
		}
		if e.cfg.Pace.sleep(e.cfg.Heartbeat, changed) {
			_, _ = w.WriteString(": waiting\n\n")
			if w.Flush() != nil {
				return false
			}
		}
	}
}

// deliver writes one piece with the fault injected for it. It returns false if the stream has to
// end.
func (e *Engine) deliver(w *bufio.Writer, p *process, j *job, index int) bool {
	switch e.pieceFault() {
	case pieceLost:
		return true
	case pieceRepeated:
		e.writePiece(w, j, index)
	case pieceCrossed:
		other := e.otherJob(p, j)
		e.writePiece(w, other, min(index, len(other.tokens)-1))
	case pieceLate:
		late := time.Duration(e.Faults().LateMS) * time.Millisecond
		if w.Flush() != nil || !e.cfg.Pace.sleep(late, p.done) {
			return false
		}
	}
	e.writePiece(w, j, index)
	return w.Flush() == nil
}

// otherJob returns another job to take a crossed piece from, or a made-up one if there is none.
func (e *Engine) otherJob(p *process, j *job) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range p.jobs {
		if other != j && other.chat == j.chat {
			return other
		}
	}
	return &job{id: "other-" + j.id, chat: j.chat, model: j.model, tokens: tokensOf("another prompt", 0, len(j.tokens))}
}

// writePiece writes one event. The JSON is assembled by hand: all texts in it are plain ASCII, and
// at full load this is the engine's hottest path.
func (e *Engine) writePiece(w *bufio.Writer, j *job, index int) {
	b := w.AvailableBuffer()
	b = append(b, "id: "...)
	b = append(b, j.id...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, "\ndata: {\"id\":"...)
	b = strconv.AppendQuote(b, j.id)
	if j.chat {
		b = append(b, `,"object":"chat.completion.chunk","created":1,"model":`...)
	} else {
		b = append(b, `,"object":"text_completion","created":1,"model":`...)
	}
	b = strconv.AppendQuote(b, j.model)
	b = append(b, `,"choices":[{"index":0,`...)
	b = appendToken(b, j, index)
	if index == len(j.tokens)-1 {
		b = append(b, `,"finish_reason":"length"}]`...)
	} else {
		b = append(b, `,"finish_reason":null}]`...)
	}
	if index == 0 || index == len(j.tokens)-1 {
		b = appendUsage(b, e.usage(j))
	}
	b = append(b, "}\n\n"...)
	_, _ = w.Write(b)
}

func appendToken(b []byte, j *job, index int) []byte {
	if !j.chat {
		b = append(b, `"text":`...)
		return strconv.AppendQuote(b, j.tokens[index])
	}
	b = append(b, `"delta":{`...)
	if index == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = strconv.AppendQuote(b, j.tokens[index])
	return append(b, '}')
}

func appendUsage(b []byte, u usage) []byte {
	b = append(b, `,"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, u.PromptTokens, 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.CompletionTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, u.TotalTokens, 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, u.Details.CachedTokens, 10)
	return append(b, "}}"...)
}

// completion is the OpenAI API's response without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// writeCompletion waits for the job's end and responds with the complete answer.
func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, p *process, j *job) {
	for {
		e.mu.Lock()
		done, stopped, changed := j.done, j.stopped, j.changed
		e.mu.Unlock()
		if stopped || !e.waitWhileFrozen(p.done) {
			drop(ctx)
			return
		}
		if done {
			break
		}
		<-changed
	}
	text := strings.Join(j.tokens, "")
	choice := completionChoice{Text: text, FinishReason: "length"}
	object := "text_completion"
	if j.chat {
		choice = completionChoice{Message: &Message{Role: "assistant", Content: text}, FinishReason: "length"}
		object = "chat.completion"
	}
	writeJSON(ctx, completion{ID: j.id, Object: object, Created: 1, Model: j.model, Choices: []completionChoice{choice}, Usage: e.usage(j)})
}
