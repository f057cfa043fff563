package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// defaultMaxTokens is the OpenAI API's default for completions.
	defaultMaxTokens = 16
	// hashDigits is the number of hex digits of a token's hash. Forty bits keep the answers of all
	// requests of a long run distinct.
	hashDigits = 10
	// roleLine is the assistant header that precedes the partial answer in a continued chat.
	roleLine = "assistant\n"
)

// Answer returns the tokens with which every emulated engine answers a prompt.
//
// Token i is the hash of the prompt, a dot, i and a space. A prompt that ends in tokens 0 to k-1 of
// the answer to the text before them is a continuation and is answered from token k on. A stream
// that was interrupted after k tokens can therefore be completed by any engine that gets the prompt
// with those tokens appended.
func Answer(prompt string, maxTokens int) []string {
	base, from := splitContinuation(prompt)
	return tokensOf(base, from, maxTokens)
}

// ChatPrompt returns the prompt text of a chat as Answer expects it: each message as
// "role\ncontent\n".
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// tokensOf returns tokens from to from+maxTokens-1 of the answer to base.
func tokensOf(base string, from, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	hash := hashOf(base)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = hash + "." + strconv.Itoa(from+i) + " "
	}
	return tokens
}

func hashOf(base string) string {
	return fmt.Sprintf("%0*x", hashDigits, xxh3.HashString(base)&(1<<(4*hashDigits)-1))
}

// splitContinuation removes the answer tokens at the end of a prompt and returns the original
// prompt and the index of the next token. A prompt that is no continuation is returned unchanged
// with index 0.
func splitContinuation(prompt string) (base string, next int) {
	rest, hash, last, ok := cutToken(prompt)
	for index := last; ok && index > 0; {
		before, h, i, more := cutToken(rest)
		if !more || h != hash || i != index-1 {
			return prompt, 0
		}
		rest, index = before, i
	}
	if !ok {
		return prompt, 0
	}
	if hashOf(rest) == hash {
		return rest, last + 1
	}
	if chat, found := strings.CutSuffix(rest, roleLine); found && hashOf(chat) == hash {
		return chat, last + 1
	}
	return prompt, 0
}

// cutToken removes the last token of a text and returns its hash and index. It returns false if the
// text does not end in a token.
func cutToken(text string) (before, hash string, index int, ok bool) {
	body, ok := strings.CutSuffix(text, " ")
	if !ok {
		return text, "", 0, false
	}
	dot := strings.LastIndexByte(body, '.')
	if dot < hashDigits {
		return text, "", 0, false
	}
	index, err := strconv.Atoi(body[dot+1:])
	if err != nil || index < 0 {
		return text, "", 0, false
	}
	return body[:dot-hashDigits], body[dot-hashDigits : dot], index, true
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body holds the fields of an OpenAI-style request body that the emulator uses.
type body struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
	CacheSalt           string          `json:"cache_salt"`
	ContinueFinal       bool            `json:"continue_final_message"`
}

// text returns the prompt text, which is split into cache blocks and answered.
func (b *body) text(chat bool) (string, error) {
	if !chat {
		var prompt string
		if err := json.Unmarshal(b.Prompt, &prompt); err != nil {
			return "", errors.New("prompt is not a string")
		}
		return prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", errors.New("messages are missing")
	}
	return ChatPrompt(b.Messages), nil
}

// answer returns all tokens of the answer to the request with the given prompt text.
func (b *body) answer(text string) []string {
	limit := b.MaxTokens
	if limit == 0 {
		limit = b.MaxCompletionTokens
	}
	if b.ContinueFinal {
		text = strings.TrimSuffix(text, "\n")
	}
	return Answer(text, limit)
}
