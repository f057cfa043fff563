package emulator

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/prefix"

	"time"
)

// transferAnswer is the answer of export and import.
type transferAnswer struct {
	Blocks int `json:"blocks"`
}

// transfer serves the export and the import of kept KV cache.
func (e *Engine) transfer(ctx *fasthttp.RequestCtx, l *life, export bool) {
	var h endpoint.KVHandle
	if !readJSON(ctx, &h) {
		return
	}
	blocks := make([]prefix.Hash, 0, len(h.Blocks))
	for _, text := range h.Blocks {
		hash, ok := prefix.ParseHash(text)
		if !ok {
			writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", "a block's name is not a hash")
			return
		}
		blocks = append(blocks, hash)
	}
	if export {
		e.export(ctx, l, h, blocks)
		return
	}
	e.importKept(ctx, l, h)
}

func (e *Engine) export(ctx *fasthttp.RequestCtx, l *life, h endpoint.KVHandle, blocks []prefix.Hash) {
	e.mu.Lock()
	var like cachedBlock
	depth := 0
	for _, b := range blocks {
		element, ok := l.cache.entries[b]
		if !ok {
			break
		}
		like = element.Value.(cachedBlock)
		depth++
	}
	e.mu.Unlock()
	if depth > 0 && like.salt != h.Salt {
		writeAPIError(ctx, fasthttp.StatusConflict, "other_salt", "the blocks were computed under another salt")
		return
	}
	if depth > 0 {
		e.cfg.Shared.KV.put(h.Handle, keptPrefix{like, blocks[:depth]})
	}
	writeJSON(ctx, transferAnswer{depth})
}

func (e *Engine) importKept(ctx *fasthttp.RequestCtx, l *life, h endpoint.KVHandle) {
	kept, ok := e.cfg.Shared.KV.get(h.Handle)
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_handle", "no such handle")
		return
	}
	version, loaded := e.loaded(l, kept.like.model)
	if kept.like.salt != h.Salt || !loaded || version != kept.like.version {
		writeAPIError(ctx, fasthttp.StatusConflict, "other_salt", "kept under another salt, model or version")
		return
	}
	tokens := float64(len(kept.blocks) * e.cfg.BlockTokens)
	if !e.compute(time.Duration(tokens/e.cfg.ImportRate*float64(time.Second)), l.done) {
		drop(ctx)
		return
	}
	e.mu.Lock()
	e.store(l, kept.blocks, kept.like)
	e.mu.Unlock()
	writeJSON(ctx, transferAnswer{len(kept.blocks)})
}

// order takes an order. Orders state a wanted end, so the same one may come
// twice.
func (e *Engine) order(ctx *fasthttp.RequestCtx, l *life) {
	var o endpoint.Order
	if !readJSON(ctx, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing {
		if o.Fence < l.fence {
			writeAPIError(ctx, fasthttp.StatusConflict, "stale_fence", "the fencing number is old")
			return
		}
		l.fence = o.Fence
	}
	switch o.Kind {
	case endpoint.OrderLoadModel:
		e.loadModel(l, endpoint.ModelState{Model: o.Model, Version: o.Version})
	case endpoint.OrderUnloadModel:
		l.models = slices.DeleteFunc(l.models, func(m endpoint.ModelState) bool { return m.Model == o.Model })
	case endpoint.OrderLoadAdapter:
		if !addAdapter(l.models, o.Model, o.Adapter) {
			writeAPIError(ctx, fasthttp.StatusConflict, "no_such_model", "the adapter's model is not loaded")
		}
	case endpoint.OrderSetRole:
		l.role = o.Role
	default:
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", "no such order")
	}
}

func addAdapter(models []endpoint.ModelState, model, adapter string) bool {
	for i := range models {
		if models[i].Model != model {
			continue
		}
		if !slices.Contains(models[i].Adapters, adapter) {
			models[i].Adapters = append(slices.Clone(models[i].Adapters), adapter)
		}
		return true
	}
	return false
}

// loadModel begins to load weights unless they are there or on their way.
func (e *Engine) loadModel(l *life, want endpoint.ModelState) {
	same := func(m endpoint.ModelState) bool { return m.Model == want.Model && m.Version == want.Version }
	if slices.ContainsFunc(l.models, same) || slices.ContainsFunc(l.loading, same) {
		return
	}
	l.loading = append(l.loading, want)
	go func() {
		whole := e.cfg.Shared.Weights.load(e.cfg.LoadTime, e.cfg.Pace, l.done)
		e.mu.Lock()
		defer e.mu.Unlock()
		l.loading = slices.DeleteFunc(l.loading, same)
		if whole {
			e.replaceModel(l, want)
		}
	}()
}

// replaceModel puts weights in place of the model's earlier ones and empties
// the cache, which belongs to those.
func (e *Engine) replaceModel(l *life, want endpoint.ModelState) {
	l.models = slices.DeleteFunc(l.models, func(m endpoint.ModelState) bool { return m.Model == want.Model })
	l.models = append(l.models, want)
	l.cache = newBlockCache(e.cfg.CacheBlocks)
	e.publish(l, endpoint.CacheClear, nil)
}
