package frontend

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// defaultCompletionTokens is the OpenAI API's default of max_tokens for /v1/completions.
const defaultCompletionTokens = 16

// defaultClass is used for requests without a class record.
var defaultClass = &recordspb.RequestClass{MaxWaitMs: 2000, TimeoutMs: 120000}

// modelRequest is a parsed and validated request for a model.
type modelRequest struct {
	id     string
	chat   bool
	path   string
	stream bool
	// nonIdempotent is set if the request must run at most once; key is the idempotency key,
	// or empty.
	nonIdempotent bool
	key           string
	fields        fields
	placement     placement.Request
	// singleChoice is set if the answer has exactly one choice, so that its text can be
	// continued elsewhere.
	singleChoice bool
}

// readModelRequest parses and validates a request against the records. Errors are final:
// nothing was sent.
func readModelRequest(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation, id string) (*modelRequest, error) {
	f, err := parseFields(ctx.PostBody())
	if err != nil {
		return nil, err
	}
	r := &modelRequest{id: id, path: string(ctx.Path()), fields: f}
	r.chat = strings.HasSuffix(r.path, "/chat/completions")
	choices := int64(1)
	for _, err := range [...]error{f.value(fieldStream, &r.stream), f.value(fieldChoices, &choices)} {
		if err != nil {
			return nil, err
		}
	}
	r.singleChoice = choices == 1
	if !f.has(promptField(r.chat)) {
		return nil, fault.New(fault.BadRequest, "send the field "+promptField(r.chat), "there is no %s", promptField(r.chat))
	}
	if err := r.readModel(records, organisation); err != nil {
		return nil, err
	}
	if err := r.readClass(ctx, records); err != nil {
		return nil, err
	}
	r.placement.Fingerprint = fingerprint(organisation, r.placement.Model, ctx.PostBody())
	return r, nil
}

func promptField(chat bool) string {
	if chat {
		return fieldMessages
	}
	return fieldPrompt
}

func (r *modelRequest) readModel(records *record.Snapshot, organisation string) error {
	var name string
	if err := r.fields.value(fieldModel, &name); err != nil {
		return err
	}
	model, ok := lookupModel(records, name)
	if !ok || !mayUse(records, organisation, name) {
		return errNoModel(name)
	}
	pool, ok := records.Pool(model.GetPool())
	if !ok {
		return fault.New(fault.Unavailable, "create the pool's record", "model %q names pool %q, which has no record", name, model.GetPool())
	}
	if err := r.boundTokens(model.GetMaxTokens()); err != nil {
		return err
	}
	salt := prefix.Salt(organisation, name, model.GetVersion())
	prompt := r.fields.text(r.chat)
	r.placement = placement.Request{
		ID:           r.id,
		Organisation: organisation,
		PoolName:     model.GetPool(),
		Pool:         pool,
		Model:        name,
		Version:      model.GetVersion(),
		Blocks:       prefix.Blocks(nil, salt, prompt, int(pool.GetBlockTokens())),
		PromptTokens: prefix.Tokens(prompt),
		MaxTokens:    r.placement.MaxTokens,
	}
	return nil
}

// lookupModel looks up a model by "model" or "model:adapter".
func lookupModel(records *record.Snapshot, name string) (*recordspb.Model, bool) {
	if m, ok := records.Model(name); ok {
		return m, true
	}
	base, adapter, found := strings.Cut(name, ":")
	m, ok := records.Model(base)
	if !found || !ok {
		return nil, false
	}
	return m, slices.Contains(m.GetAdapters(), adapter)
}

// mayUse reports whether the organisation's record allows the model.
func mayUse(records *record.Snapshot, organisation, model string) bool {
	o, ok := records.Organisation(organisation)
	if !ok || len(o.GetModels()) == 0 {
		return ok
	}
	base, _, _ := strings.Cut(model, ":")
	return slices.Contains(o.GetModels(), model) || slices.Contains(o.GetModels(), base)
}

// boundTokens limits the length of the answer by the record of the model. Without a limit, an
// answer could occupy its slot for as long as the engine generates.
func (r *modelRequest) boundTokens(limit int64) error {
	bounded := false
	r.placement.MaxTokens = limit
	for _, name := range [...]string{fieldMaxTokens, fieldMaxCompletionTokens} {
		var n int64
		if err := r.fields.value(name, &n); err != nil {
			return err
		}
		if !r.fields.has(name) {
			continue
		}
		if n < 1 {
			return fault.New(fault.BadRequest, "ask for at least one token", "%s is %d", name, n)
		}
		bounded = true
		r.placement.MaxTokens = min(n, r.placement.MaxTokens)
		r.fields.setInt(name, min(n, limit))
	}
	if bounded {
		return nil
	}
	if !r.chat {
		r.placement.MaxTokens = min(limit, defaultCompletionTokens)
	}
	r.fields.setInt(fieldMaxTokens, r.placement.MaxTokens)
	return nil
}

func (r *modelRequest) readClass(ctx *fasthttp.RequestCtx, records *record.Snapshot) error {
	model, _ := lookupModel(records, r.placement.Model)
	name, class, err := classOf(ctx, records, model.GetDefaultClass())
	if err != nil {
		return err
	}
	r.placement.ClassName, r.placement.Class = name, class
	r.fields.setInt(fieldPriority, int64(class.GetPriority()))
	r.nonIdempotent, r.key, err = idempotencyOf(ctx, class)
	return err
}

// classOf returns the class that the request names in a header, else the default class of the
// record.
func classOf(ctx *fasthttp.RequestCtx, records *record.Snapshot, byRecord string) (string, *recordspb.RequestClass, error) {
	name := string(ctx.Request.Header.Peek(headerClass))
	if name != "" {
		class, ok := records.Class(name)
		if !ok {
			return "", nil, fault.New(fault.BadRequest, "name a class that has a record, or leave the header out", "no such class: %q", name)
		}
		return name, class, nil
	}
	if class, ok := records.Class(byRecord); ok {
		return byRecord, class, nil
	}
	return "", defaultClass, nil
}

// idempotencyOf returns whether the request must run at most once, and its idempotency key.
func idempotencyOf(ctx *fasthttp.RequestCtx, class *recordspb.RequestClass) (nonIdempotent bool, key string, err error) {
	key = string(ctx.Request.Header.Peek(headerKey))
	if len(key) > maxKeyBytes {
		return false, "", fault.New(fault.BadRequest, "send a shorter key", "%s is over %d bytes", headerKey, maxKeyBytes)
	}
	switch value := string(ctx.Request.Header.Peek(headerNonIdempotent)); strings.ToLower(value) {
	case "", "false":
		return class.GetNonIdempotent(), key, nil
	case "true":
		return true, key, nil
	default:
		return false, "", fault.New(fault.BadRequest, "send true or false", "%s is %q", headerNonIdempotent, value)
	}
}

// fingerprint returns a hash of the content of a request. It identifies a request that crashes
// endpoints when its caller sends it again.
func fingerprint(organisation, model string, body []byte) [16]byte {
	var h xxh3.Hasher
	salt := prefix.Salt(organisation, model, "")
	_, _ = h.Write(salt[:])
	_, _ = h.Write(body)
	return h.Sum128().Bytes()
}

// timeout returns the timeout of a whole request.
func timeout(class *recordspb.RequestClass) time.Duration {
	return time.Duration(class.GetTimeoutMs()) * time.Millisecond
}
