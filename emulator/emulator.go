package emulator

import (
	"time"

	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// defaultTokenTime is a large model's usual pace of decoding.
const defaultTokenTime = 20 * time.Millisecond

// Emulator is a platform and its endpoints.
type Emulator struct {
	Store   *Store
	Engines []*Engine
}

// Start serves the object API at storeAddr, with the records in it, and an
// engine at each address that the pools name.
func Start(storeAddr string, records []*recordspb.Record) (*Emulator, error) {
	store, err := StartStore(storeAddr)
	if err != nil {
		return nil, err
	}
	e := &Emulator{Store: store}
	for _, r := range records {
		if err := e.add(r, records); err != nil {
			e.Close()
			return nil, err
		}
	}
	return e, nil
}

func (e *Emulator) add(r *recordspb.Record, all []*recordspb.Record) error {
	kind, _ := record.KindOf(r)
	for _, ep := range r.GetPool().GetEndpoints() {
		model, version := modelOf(r.GetName(), all)
		cfg := EngineConfig{Name: ep.GetName(), Model: model, Version: version, TokenTime: defaultTokenTime}
		engine, err := StartEngine(ep.GetAddress(), cfg)
		if err != nil {
			return err
		}
		e.Engines = append(e.Engines, engine)
		ep.Address = engine.Addr()
	}
	value, err := record.Marshal(r)
	if err != nil {
		return err
	}
	e.Store.Set(string(kind), r.GetName(), value)
	return nil
}

// modelOf names a model that the pool serves, and its version.
func modelOf(pool string, all []*recordspb.Record) (model, version string) {
	for _, r := range all {
		if r.GetModel().GetPool() == pool {
			return r.GetName(), r.GetModel().GetVersion()
		}
	}
	return "", ""
}

// Close stops everything.
func (e *Emulator) Close() {
	_ = e.Store.Close()
	for _, engine := range e.Engines {
		_ = engine.Close()
	}
}
