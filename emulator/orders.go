package emulator

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/prefix"

	"time"
)

// transferResponse is the response of export and import.
type transferResponse struct {
	Blocks int `json:"blocks"`
}

// transfer serves the export and the import of KV cache.
func (e *Engine) transfer(ctx *fasthttp.RequestCtx, p *process, export bool) {
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
		e.export(ctx, p, h, blocks)
		return
	}
	e.importPrefix(ctx, p, h)
}

func (e *Engine) export(ctx *fasthttp.RequestCtx, p *process, h endpoint.KVHandle, blocks []prefix.Hash) {
	e.mu.Lock()
	var origin cachedBlock
	depth := 0
	for _, b := range blocks {
		element, ok := p.cache.entries[b]
		if !ok {
			break
		}
		origin = element.Value.(cachedBlock)
		depth++
	}
	e.mu.Unlock()
	if depth > 0 && origin.salt != h.Salt {
		writeAPIError(ctx, fasthttp.StatusConflict, "other_salt", "the blocks were computed under another salt")
		return
	}
	if depth > 0 {
		e.cfg.Shared.KV.put(h.Handle, storedPrefix{origin, blocks[:depth]})
	}
	writeJSON(ctx, transferResponse{depth})
}

func (e *Engine) importPrefix(ctx *fasthttp.RequestCtx, p *process, h endpoint.KVHandle) {
	stored, ok := e.cfg.Shared.KV.get(h.Handle)
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_handle", "no such handle")
		return
	}
	version, loaded := e.loaded(p, stored.origin.model)
	if stored.origin.salt != h.Salt || !loaded || version != stored.origin.version {
		writeAPIError(ctx, fasthttp.StatusConflict, "other_salt", "kept under another salt, model or version")
		return
	}
	tokens := float64(len(stored.blocks) * e.cfg.BlockTokens)
	if !e.compute(time.Duration(tokens/e.cfg.ImportRate*float64(time.Second)), p.done) {
		drop(ctx)
		return
	}
	e.mu.Lock()
	e.store(p, stored.blocks, stored.origin)
	e.mu.Unlock()
	writeJSON(ctx, transferResponse{len(stored.blocks)})
}

// order applies an order. An order states the desired state, so it is idempotent.
func (e *Engine) order(ctx *fasthttp.RequestCtx, p *process) {
	var o endpoint.Order
	if !readJSON(ctx, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing {
		if o.Fence < p.fence {
			writeAPIError(ctx, fasthttp.StatusConflict, "stale_fence", "the fencing number is old")
			return
		}
		p.fence = o.Fence
	}
	switch o.Kind {
	case endpoint.OrderLoadModel:
		e.loadModel(p, endpoint.ModelState{Model: o.Model, Version: o.Version})
	case endpoint.OrderUnloadModel:
		p.models = slices.DeleteFunc(p.models, func(m endpoint.ModelState) bool { return m.Model == o.Model })
	case endpoint.OrderLoadAdapter:
		if !addAdapter(p.models, o.Model, o.Adapter) {
			writeAPIError(ctx, fasthttp.StatusConflict, "no_such_model", "the adapter's model is not loaded")
		}
	case endpoint.OrderSetRole:
		p.role = o.Role
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

// loadModel starts loading weights unless they are loaded or being loaded.
func (e *Engine) loadModel(p *process, want endpoint.ModelState) {
	same := func(m endpoint.ModelState) bool { return m.Model == want.Model && m.Version == want.Version }
	if slices.ContainsFunc(p.models, same) || slices.ContainsFunc(p.loading, same) {
		return
	}
	p.loading = append(p.loading, want)
	go func() {
		completed := e.cfg.Shared.Weights.load(e.cfg.LoadTime, e.cfg.Pace, p.done)
		e.mu.Lock()
		defer e.mu.Unlock()
		p.loading = slices.DeleteFunc(p.loading, same)
		if completed {
			e.replaceModel(p, want)
		}
	}()
}

// replaceModel replaces the model's previous weights and clears the cache, which was computed with
// those.
func (e *Engine) replaceModel(p *process, want endpoint.ModelState) {
	p.models = slices.DeleteFunc(p.models, func(m endpoint.ModelState) bool { return m.Model == want.Model })
	p.models = append(p.models, want)
	p.cache = newBlockCache(e.cfg.CacheBlocks)
	e.publish(p, endpoint.CacheClear, nil)
}
