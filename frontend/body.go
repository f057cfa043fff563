package frontend

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/jsonscan"
)

// Fields of a request body that the router reads or sets.
const (
	fieldModel               = "model"
	fieldPrompt              = "prompt"
	fieldMessages            = "messages"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldStream              = "stream"
	fieldChoices             = "n"
	fieldPriority            = "priority"
	fieldSalt                = "cache_salt"
	fieldContinue            = "continue_final_message"
	fieldGenerationPrompt    = "add_generation_prompt"
)

// fields is the body of a model request. Values are kept as the caller wrote them, so that
// fields unknown to the router reach the engine unchanged and a long prompt is never decoded.
type fields map[string]json.RawMessage

// parseFields parses a body; the fields alias it. If a field occurs twice, only the last one
// is kept and forwarded, so that engine and router cannot read different values.
func parseFields(body []byte) (fields, error) {
	f := fields{}
	err := jsonscan.Fields(body, func(name string, value []byte) { f[name] = value })
	return f, err
}

// value decodes a field into out. It leaves out unchanged if the field is missing or null.
func (f fields) value(name string, out any) error {
	raw, ok := f[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.Wrap(err, fault.BadRequest, "write "+name+" as the API defines it", "field %s", name)
	}
	return nil
}

func (f fields) has(name string) bool {
	raw, ok := f[name]
	return ok && string(raw) != "null"
}

func (f fields) setInt(name string, n int64) { f[name] = strconv.AppendInt(nil, n, 10) }

func (f fields) setBool(name string, b bool) { f[name] = strconv.AppendBool(nil, b) }

func (f fields) setString(name, text string) { f[name], _ = json.Marshal(text) }

// clone returns a copy of the map; the values are shared.
func (f fields) clone() fields {
	c := make(fields, len(f)+4)
	for name, raw := range f {
		c[name] = raw
	}
	return c
}

// encode returns the fields as a JSON object, sorted by name.
func (f fields) encode() []byte {
	names := make([]string, 0, len(f))
	size := 2
	for name, raw := range f {
		names = append(names, name)
		size += len(name) + len(raw) + 4
	}
	sort.Strings(names)
	out := append(make([]byte, 0, size), '{')
	for i, name := range names {
		if i > 0 {
			out = append(out, ',')
		}
		quoted, _ := json.Marshal(name)
		out = append(append(out, quoted...), ':')
		out = append(out, f[name]...)
	}
	return append(out, '}')
}

// text returns the text from which prefix blocks are computed: the prompt, or each message as
// "role\ncontent\n". Prompts in other forms, such as lists of token IDs or multi-part
// contents, are used as written.
func (f fields) text(chat bool) []byte {
	if chat {
		return f.chatText()
	}
	if prompt, ok := jsonscan.Unquote(f[fieldPrompt]); ok {
		return prompt
	}
	return f[fieldPrompt]
}

func (f fields) chatText() []byte {
	raw := f[fieldMessages]
	text := make([]byte, 0, len(raw))
	ok := true
	err := jsonscan.Elements(raw, func(message []byte) {
		var role, content []byte
		bad := jsonscan.Fields(message, func(name string, value []byte) {
			switch name {
			case "role":
				role, _ = jsonscan.Unquote(value)
			case "content":
				var isText bool
				content, isText = jsonscan.Unquote(value)
				ok = ok && (isText || string(value) == "null")
			}
		})
		ok = ok && bad == nil
		text = append(append(text, role...), '\n')
		text = append(append(text, content...), '\n')
	})
	if err != nil || !ok {
		return raw
	}
	return text
}

// continuation returns the fields of a request that continues after the text that was already
// delivered. The original prompt remains an unchanged prefix, so that its block hashes stay
// the same. ok is false if the form of the prompt or the token limits do not allow a
// continuation.
func (f fields) continuation(chat bool, text []byte, tokens int64) (out fields, ok bool) {
	out = f.clone()
	quoted, err := json.Marshal(string(text))
	if err != nil {
		return nil, false
	}
	if chat {
		ok = out.appendMessage(quoted)
	} else {
		ok = out.appendPrompt(quoted)
	}
	return out, ok && out.reduceTokenLimits(tokens)
}

func (f fields) appendPrompt(quoted []byte) bool {
	raw := bytes.TrimSpace(f[fieldPrompt])
	if len(raw) < 2 || raw[0] != '"' {
		return false
	}
	joined := append([]byte(nil), raw[:len(raw)-1]...)
	f[fieldPrompt] = append(joined, quoted[1:]...)
	return true
}

func (f fields) appendMessage(quoted []byte) bool {
	raw := bytes.TrimSpace(f[fieldMessages])
	if len(raw) < 3 || raw[0] != '[' || f.has(fieldContinue) {
		return false
	}
	joined := append([]byte(nil), raw[:len(raw)-1]...)
	joined = append(joined, `,{"role":"assistant","content":`...)
	f[fieldMessages] = append(append(joined, quoted...), "}]"...)
	f.setBool(fieldContinue, true)
	f.setBool(fieldGenerationPrompt, false)
	return true
}

// reduceTokenLimits subtracts the tokens already delivered from the limits of the answer. It
// returns false if nothing is left.
func (f fields) reduceTokenLimits(tokens int64) bool {
	for _, name := range [...]string{fieldMaxTokens, fieldMaxCompletionTokens} {
		var limit int64
		if !f.has(name) || f.value(name, &limit) != nil {
			continue
		}
		if limit <= tokens {
			return false
		}
		f.setInt(name, limit-tokens)
	}
	return true
}
