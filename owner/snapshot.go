package owner

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// maxSnapshotBlocks is the maximum number of blocks in a snapshot, half a megabyte. The
// most recently used blocks are the most valuable ones.
const maxSnapshotBlocks = 65536

// reconfigure applies a new configuration. A changed cache size clears the cache model.
func (e *Endpoint) reconfigure(cfg Config) {
	cfg.FirstGrantID = e.cfg.FirstGrantID
	if cfg.CacheBlocks != e.cfg.CacheBlocks {
		e.known = newCacheModel(cfg.CacheBlocks)
	}
	e.cfg = cfg
}

// Snapshot encodes the state for the next owner: the cache model, the grants and the
// prefill rate. Queued asks are not included; they are refused when the endpoint is
// removed, and their callers ask the next owner.
func (e *Endpoint) Snapshot(now time.Time) ([]byte, error) {
	k := &fleetpb.Knowledge{
		Incarnation: e.incarnation,
		EventSeq:    e.known.seq,
		Rate:        e.window.Rate(),
		Blocks:      e.known.encodeNewest(maxSnapshotBlocks),
		Models:      e.models,
	}
	for _, g := range e.sortedGrants() {
		k.Grants = append(k.Grants, &fleetpb.HeldGrant{
			Id: g.id, Caller: g.ask.Caller, RequestId: g.ask.RequestID, Organisation: g.ask.Organisation,
			Urgent: g.ask.Urgent, Alone: g.ask.Alone, Tokens: g.tokens, Started: g.started,
			Fingerprint: g.ask.Fingerprint[:], AgeMs: now.Sub(g.since).Milliseconds(),
			LeftMs: g.expires.Sub(now).Milliseconds(),
		})
	}
	data, err := proto.Marshal(k)
	return data, fault.Wrap(err, fault.Internal, "report the fault", "marshal the state of endpoint %q", e.cfg.Name)
}

// Restore applies a snapshot of the former owner. Grants that the endpoint already has are
// kept. It does nothing if a newer incarnation of the endpoint is known.
func (e *Endpoint) Restore(now time.Time, data []byte) error {
	var k fleetpb.Knowledge
	if err := proto.Unmarshal(data, &k); err != nil {
		return fault.Wrap(err, fault.BadRequest, "run the same version on all instances", "read the state of endpoint %q", e.cfg.Name)
	}
	if e.incarnation > k.GetIncarnation() {
		return nil
	}
	e.incarnation = k.GetIncarnation()
	e.window = policy.NewWindow(k.GetRate())
	e.models = k.GetModels()
	e.restoreBlocks(&k)
	e.cacheKnown = true
	for _, h := range k.GetGrants() {
		e.restoreGrant(now, h)
	}
	return nil
}

// restoreBlocks adds the snapshot's blocks as older than those already known.
func (e *Endpoint) restoreBlocks(k *fleetpb.Knowledge) {
	newer := e.known.encodeNewest(e.known.capacity)
	e.known.seq = max(e.known.seq, k.GetEventSeq())
	e.known.restoreKeys(k.GetBlocks())
	e.known.restoreKeys(newer)
}

func (e *Endpoint) restoreGrant(now time.Time, h *fleetpb.HeldGrant) {
	a := Ask{
		Caller: h.GetCaller(), RequestID: h.GetRequestId(), Organisation: h.GetOrganisation(),
		Urgent: h.GetUrgent(), Alone: h.GetAlone(),
	}
	copy(a.Fingerprint[:], h.GetFingerprint())
	if _, ok := e.granted[a.key()]; ok || e.grants[h.GetId()] != nil {
		return
	}
	g := &grant{
		id: h.GetId(), ask: a, lane: laneOf(a), tokens: h.GetTokens(), started: h.GetStarted(),
		since:   now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond),
		expires: now.Add(time.Duration(h.GetLeftMs()) * time.Millisecond),
	}
	g.rank = rankOf(a, g.tokens)
	e.grants[g.id] = g
	e.granted[a.key()] = g.id
	e.inUse[g.lane]++
	if !g.started {
		e.pendingTokens[g.rank] += g.tokens
	}
	e.aloneRunning = e.aloneRunning || a.Alone
	e.external.observeGrants(len(e.grants))
}

// encodeNewest encodes the most recently used blocks, newest first, in eight bytes each.
func (m *cacheModel) encodeNewest(limit int) []byte {
	packed := make([]byte, 0, 8*min(limit, m.index.length))
	for i := m.newest; i != noBlock && limit > 0; i = m.blocks[i].next {
		packed = binary.LittleEndian.AppendUint64(packed, uint64(m.blocks[i].key))
		limit--
	}
	return packed
}

// restoreKeys marks encoded blocks as cached, the first one as the newest.
func (m *cacheModel) restoreKeys(packed []byte) {
	for at := len(packed) - 8; at >= 0; at -= 8 {
		m.touch(blockKey(binary.LittleEndian.Uint64(packed[at:])))
	}
}
