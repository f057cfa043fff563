package entry

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/jsonscan"
)

// Fields of a request's body that the router reads or writes.
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

// fields is the body of a model request. Each value stays as the caller wrote
// it, so that fields which the router does not know reach the engine unchanged
// and a long prompt is never decoded.
type fields map[string]json.RawMessage

// parseFields reads a body, which the fields alias. Of a field that stands
// twice only the last one counts and goes on, so that engine and router can't
// read different ones.
func parseFields(body []byte) (fields, error) {
	f := fields{}
	err := jsonscan.Fields(body, func(name string, value []byte) { f[name] = value })
	return f, err
}

// value decodes a field into out, which keeps its value where the field is
// missing or null.
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

// clone copies the set of fields; the values are shared.
func (f fields) clone() fields {
	c := make(fields, len(f)+4)
	for name, raw := range f {
		c[name] = raw
	}
	return c
}

// encode writes the fields in order of name.
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

// text is what prefix blocks are cut from: the prompt, or each message as
// "role\ncontent\n". Prompts in other forms, such as lists of token ids or
// contents of several parts, are taken as written.
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

// continued returns the fields of a request that goes on after the text that
// the caller already has. The prompt stays as it is up to its end, so that its
// blocks keep their names. ok is false where the prompt's form does not
// allow it.
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

// lessTokens takes the tokens that the caller has off the bound of the answer.
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
