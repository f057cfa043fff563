package frontend

import (
	"encoding/json"
	"sort"
)

// assembly assembles the pieces of a stream into one answer for callers that did not request a
// stream. Engines always stream: only a stream shows that the engine is still running, and
// only a stream can be resumed.
type assembly struct {
	chat    bool
	last    chunk
	choices []*chunkChoice
	usage   *usage
}

func newAssembly(chat bool) *assembly { return &assembly{chat: chat} }

// add appends one piece.
func (a *assembly) add(data []byte) error {
	c, err := parseChunk(data)
	if err != nil {
		return err
	}
	a.last = *c
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		a.choice(c.Choices[i].Index).merge(&c.Choices[i])
	}
	return nil
}

func (a *assembly) choice(index int) *chunkChoice {
	for _, c := range a.choices {
		if c.Index == index {
			return c
		}
	}
	c := &chunkChoice{Index: index}
	a.choices = append(a.choices, c)
	return c
}

// merge appends a piece of the same choice.
func (c *chunkChoice) merge(p *chunkChoice) {
	c.Text += p.Text
	c.Delta.Content += p.Delta.Content
	c.Delta.ReasoningContent += p.Delta.ReasoningContent
	c.Delta.Refusal += p.Delta.Refusal
	for i := range p.Delta.ToolCalls {
		c.Delta.mergeTool(&p.Delta.ToolCalls[i])
	}
	if p.FinishReason != nil {
		c.FinishReason = p.FinishReason
	}
	if p.Logprobs != nil {
		if c.Logprobs == nil {
			c.Logprobs = &logprobs{}
		}
		c.Logprobs.merge(p.Logprobs)
	}
}

func (d *delta) mergeTool(p *toolCall) {
	for i := range d.ToolCalls {
		t := &d.ToolCalls[i]
		if t.Index == p.Index {
			t.ID += p.ID
			t.Function.Name += p.Function.Name
			t.Function.Arguments += p.Function.Arguments
			return
		}
	}
	d.ToolCalls = append(d.ToolCalls, *p)
}

func (l *logprobs) merge(p *logprobs) {
	l.Content = append(l.Content, p.Content...)
	l.Refusal = append(l.Refusal, p.Refusal...)
	l.Tokens = append(l.Tokens, p.Tokens...)
	l.TokenLogprobs = append(l.TokenLogprobs, p.TokenLogprobs...)
	l.TopLogprobs = append(l.TopLogprobs, p.TopLogprobs...)
	l.TextOffset = append(l.TextOffset, p.TextOffset...)
}

// wholeAnswer is the body of an answer that is not streamed, as defined by the OpenAI API.
type wholeAnswer struct {
	ID                string        `json:"id"`
	Object            string        `json:"object"`
	Created           int64         `json:"created"`
	Model             string        `json:"model"`
	SystemFingerprint string        `json:"system_fingerprint,omitempty"`
	Choices           []wholeChoice `json:"choices"`
	Usage             *usage        `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	Logprobs     *logprobs     `json:"logprobs"`
	FinishReason *string       `json:"finish_reason"`
}

type wholeMessage struct {
	Role             string     `json:"role"`
	Content          *string    `json:"content"`
	Refusal          *string    `json:"refusal"`
	ReasoningContent string     `json:"reasoning_content,omitempty"`
	ToolCalls        []toolCall `json:"tool_calls,omitempty"`
}

func (a *assembly) encode(p *progress) []byte {
	out := wholeAnswer{
		ID:                a.last.ID,
		Object:            "text_completion",
		Created:           a.last.Created,
		Model:             a.last.Model,
		SystemFingerprint: a.last.SystemFingerprint,
		Usage:             a.countTokens(p),
	}
	if a.chat {
		out.Object = "chat.completion"
	}
	sort.Slice(a.choices, func(i, j int) bool { return a.choices[i].Index < a.choices[j].Index })
	for _, c := range a.choices {
		out.Choices = append(out.Choices, a.whole(c))
	}
	body, _ := json.Marshal(out)
	return body
}

// countTokens returns the token usage of the whole answer. If another engine continued the
// answer, that engine's usage counts the text generated so far as part of the prompt, so
// prompt and cached tokens come from the first run.
func (a *assembly) countTokens(p *progress) *usage {
	if a.usage == nil || !p.hasUsage {
		return a.usage
	}
	u := *a.usage
	u.PromptTokens = p.prompt
	u.PromptTokensDetails.CachedTokens = p.cached
	u.CompletionTokens = max(u.CompletionTokens, p.tokens)
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return &u
}

func (a *assembly) whole(c *chunkChoice) wholeChoice {
	w := wholeChoice{Index: c.Index, Logprobs: c.Logprobs, FinishReason: c.FinishReason}
	if !a.chat {
		w.Text = &c.Text
		return w
	}
	w.Message = &wholeMessage{
		Role:             "assistant",
		Content:          textOrNull(c.Delta.Content, len(c.Delta.ToolCalls) > 0 || c.Delta.Refusal != ""),
		Refusal:          textOrNull(c.Delta.Refusal, true),
		ReasoningContent: c.Delta.ReasoningContent,
		ToolCalls:        c.Delta.ToolCalls,
	}
	return w
}

// textOrNull returns nil for an empty text if the API writes null there.
func textOrNull(text string, nullable bool) *string {
	if text == "" && nullable {
		return nil
	}
	return &text
}
