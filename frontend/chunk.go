package frontend

import (
	"encoding/json"

	"github.com/sardinedock/sardinedock/fault"
)

// chunk is a piece of a streamed answer of the completions or the chat API.
type chunk struct {
	ID                string        `json:"id"`
	Created           int64         `json:"created"`
	Model             string        `json:"model"`
	SystemFingerprint string        `json:"system_fingerprint"`
	Choices           []chunkChoice `json:"choices"`
	Usage             *usage        `json:"usage"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Text         string    `json:"text"`
	Delta        delta     `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

type delta struct {
	Role             string     `json:"role"`
	Content          string     `json:"content"`
	ReasoningContent string     `json:"reasoning_content"`
	Refusal          string     `json:"refusal"`
	ToolCalls        []toolCall `json:"tool_calls"`
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// logprobs has the fields of both APIs.
type logprobs struct {
	Content       []json.RawMessage `json:"content,omitempty"`
	Refusal       []json.RawMessage `json:"refusal,omitempty"`
	Tokens        []json.RawMessage `json:"tokens,omitempty"`
	TokenLogprobs []json.RawMessage `json:"token_logprobs,omitempty"`
	TopLogprobs   []json.RawMessage `json:"top_logprobs,omitempty"`
	TextOffset    []json.RawMessage `json:"text_offset,omitempty"`
}

type usage struct {
	PromptTokens        int64         `json:"prompt_tokens"`
	CompletionTokens    int64         `json:"completion_tokens"`
	TotalTokens         int64         `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func parseChunk(data []byte) (*chunk, error) {
	c := &chunk{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fault.Wrap(err, fault.Broken, "look at the endpoint's log", "a piece that is not JSON")
	}
	return c, nil
}

// progress is the part of an answer that has been delivered to the caller. Only checked pieces
// are added to it.
type progress struct {
	// pieces counts the delivered pieces, tokens those that contained text; each of these
	// counts as one token. text is the delivered text.
	pieces int64
	tokens int64
	text   []byte
	// notText is set if something other than plain text was delivered. Another engine cannot
	// continue such an answer.
	notText bool
	// finished is set by the piece that has a finish reason.
	finished bool
	// version of the model weights that generated the text.
	version string
	// cached and prompt are the token counts of the first run.
	cached, prompt int64
	hasUsage       bool
}

// add adds a checked piece.
func (p *progress) add(c *chunk) {
	p.pieces++
	for i := range c.Choices {
		p.addChoice(&c.Choices[i])
	}
	if c.Usage != nil && !p.hasUsage {
		p.hasUsage = true
		p.cached, p.prompt = c.Usage.PromptTokensDetails.CachedTokens, c.Usage.PromptTokens
	}
}

func (p *progress) addChoice(c *chunkChoice) {
	if c.Text != "" || c.Delta.Content != "" {
		p.tokens++
		p.text = append(append(p.text, c.Text...), c.Delta.Content...)
	}
	if c.Index != 0 || c.Logprobs != nil || len(c.Delta.ToolCalls) > 0 || c.Delta.ReasoningContent != "" || c.Delta.Refusal != "" {
		p.notText = true
	}
	if c.FinishReason != nil {
		p.finished = true
	}
}
