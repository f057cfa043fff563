// Package emulator provides small in-process stand-ins of the platform's object API, of model
// engines and of plain services, for tests and for the demo. Every fault can be injected through Go
// methods and through the HTTP path /control/.
package emulator

import (
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// Config configures all stand-ins of one deployment.
type Config struct {
	Store StoreConfig
	// Engine holds the settings that all engines share. Names, sizes and the fencing check come
	// from the pools' records.
	Engine EngineConfig
	// Service holds the settings that all plain services share.
	Service ServiceConfig
	// Endpoints holds behaviours by the endpoint's name; an empty name stands for all others. The
	// speed of each endpoint changes on its own: its name is part of the seed.
	Endpoints map[string]Behaviour
}

// behaviour returns the behaviour of a named endpoint.
func (c *Config) behaviour(name string) Behaviour {
	b, ok := c.Endpoints[name]
	if !ok {
		b = c.Endpoints[""]
	}
	b.Speed.Seed ^= xxh3.HashString(name)
	return b
}

// Emulator runs an object API and the endpoints of one deployment.
type Emulator struct {
	Store    *Store
	Engines  []*Engine
	Services []*Service
	// Runs counts the request runs at all endpoints.
	Runs *Ledger

	cfg Config
}

// Start serves the object API at storeAddr, with the records stored in it, and a stand-in at each
// address that the pools and services name.
func Start(storeAddr string, records []*recordspb.Record) (*Emulator, error) {
	return StartWith(storeAddr, records, Config{})
}

// StartWith is Start with a configuration. It sets the endpoints' addresses in the records to those
// that are listened on.
func StartWith(storeAddr string, records []*recordspb.Record, cfg Config) (*Emulator, error) {
	store, err := StartStoreWith(storeAddr, cfg.Store)
	if err != nil {
		return nil, err
	}
	e := &Emulator{Store: store, Runs: NewLedger(), cfg: cfg}
	blocks, kv := NewBlockLedger(), NewKVStore()
	for _, r := range records {
		shared := &Shared{
			Weights: NewWeights(int(r.GetPool().GetLoadsAtOnce())),
			KV:      kv,
			Runs:    e.Runs,
			Blocks:  blocks,
		}
		if err := e.add(r, records, shared); err != nil {
			e.Close()
			return nil, err
		}
	}
	return e, nil
}

func (e *Emulator) add(r *recordspb.Record, all []*recordspb.Record, shared *Shared) error {
	if err := e.startEngines(r, all, shared); err != nil {
		return err
	}
	if err := e.startServices(r); err != nil {
		return err
	}
	value, err := record.Marshal(r)
	if err != nil {
		return err
	}
	kind, _ := record.KindOf(r)
	e.Store.Set(string(kind), r.GetName(), value)
	return nil
}

func (e *Emulator) startEngines(r *recordspb.Record, all []*recordspb.Record, shared *Shared) error {
	pool := r.GetPool()
	for _, ep := range pool.GetEndpoints() {
		cfg := e.cfg.Engine
		cfg.Name = ep.GetName()
		cfg.Model, cfg.Version = modelOf(r.GetName(), all)
		cfg.Slots = int(pool.GetSlots())
		cfg.BlockTokens = int(pool.GetBlockTokens())
		cfg.CacheBlocks = int(pool.GetCacheBlocks())
		cfg.ChecksFencing = pool.GetChecksFencing()
		cfg.Seed += int64(len(e.Engines))
		cfg.Shared = shared
		cfg.Behaviour = e.cfg.behaviour(ep.GetName())
		if cfg.PrefillRate == 0 {
			cfg.PrefillRate = pool.GetPrefillTokensPerSecond()
		}
		engine, err := StartEngine(ep.GetAddress(), cfg)
		if err != nil {
			return err
		}
		e.Engines = append(e.Engines, engine)
		ep.Address = engine.Addr()
	}
	return nil
}

func (e *Emulator) startServices(r *recordspb.Record) error {
	for _, ep := range r.GetService().GetEndpoints() {
		cfg := e.cfg.Service
		cfg.Name, cfg.Runs = ep.GetName(), e.Runs
		cfg.Behaviour = e.cfg.behaviour(ep.GetName())
		service, err := StartService(ep.GetAddress(), cfg)
		if err != nil {
			return err
		}
		e.Services = append(e.Services, service)
		ep.Address = service.Addr()
	}
	return nil
}

// modelOf returns the name and the version of a model that the pool serves.
func modelOf(pool string, all []*recordspb.Record) (model, version string) {
	for _, r := range all {
		if r.GetModel().GetPool() == pool {
			return r.GetName(), r.GetModel().GetVersion()
		}
	}
	return "", ""
}

// Close stops the object API and all endpoints.
func (e *Emulator) Close() {
	_ = e.Store.Close()
	for _, engine := range e.Engines {
		_ = engine.Close()
	}
	for _, service := range e.Services {
		_ = service.Close()
	}
}
