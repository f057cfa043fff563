package placement

import (
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

var errOwnerBusy = fault.New(fault.Overloaded, "decide from your own view", "the owner has more asks than it can work on")

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// fromAsk converts an ask. The message holds remaining times instead of points in time, so
// that the clocks of two instances are not compared.
func fromAsk(now time.Time, in *fleetpb.AskRequest) owner.Ask {
	a := owner.Ask{
		Caller:       in.GetCaller().GetInstance(),
		RequestID:    in.GetRequestId(),
		Patience:     milliseconds(in.GetPatienceMs()),
		Organisation: in.GetOrganisation(),
		Weight:       in.GetWeight(),
		Urgent:       in.GetUrgent(),
		Blocks:       unpackBlocks(in.GetBlockHashes()),
		PromptTokens: in.GetPromptTokens(),
		MaxTokens:    in.GetMaxTokens(),
		Deadline:     now.Add(milliseconds(in.GetBudgetMs())),
		Timeout:      milliseconds(in.GetTimeoutMs()),
		Alone:        in.GetAlone(),
		Candidate:    int(in.GetCandidate()),
	}
	if in.GetProbe() {
		a.Mode = owner.Probe
	}
	copy(a.Fingerprint[:], in.GetFingerprint())
	return a
}

func packBlocks(blocks []prefix.Hash) []byte {
	packed := make([]byte, 0, len(blocks)*len(prefix.Hash{}))
	for _, b := range blocks {
		packed = append(packed, b[:]...)
	}
	return packed
}

func unpackBlocks(packed []byte) []prefix.Hash {
	const size = len(prefix.Hash{})
	blocks := make([]prefix.Hash, len(packed)/size)
	for i := range blocks {
		copy(blocks[i][:], packed[i*size:])
	}
	return blocks
}

func toReply(x owner.Decision) *fleetpb.AskReply {
	r := &fleetpb.AskReply{}
	switch x.Kind {
	case owner.Granted:
		r.Granted = toOffer(x.Offer)
		for _, blocks := range x.Levels {
			r.LevelEnds = append(r.LevelEnds, int32(blocks))
		}
	case owner.Queued:
		r.Queued = true
		r.Offers = []*fleetpb.Offer{toOffer(x.Offer)}
	case owner.Refused:
		r.Refusal = string(x.Reason)
		r.RetryAfterMs = x.RetryAfter.Milliseconds()
	case owner.Offered:
		for _, o := range x.Offers {
			r.Offers = append(r.Offers, toOffer(o))
		}
	}
	return r
}

func toOffer(o policy.Offer) *fleetpb.Offer {
	return &fleetpb.Offer{
		Endpoint: o.Endpoint, GrantId: o.GrantID, CachedTokens: o.CachedTokens,
		WaitMs: o.Wait.Milliseconds(), Incarnation: o.Incarnation, Alone: o.Alone,
		Long: o.Long, PrefillRate: o.PrefillRate,
	}
}

func fromOffer(o *fleetpb.Offer) policy.Offer {
	return policy.Offer{
		Endpoint: o.GetEndpoint(), GrantID: o.GetGrantId(), CachedTokens: o.GetCachedTokens(),
		Wait: milliseconds(o.GetWaitMs()), Incarnation: o.GetIncarnation(), Alone: o.GetAlone(),
		Long: o.GetLong(), PrefillRate: o.GetPrefillRate(),
	}
}

func outcomeOf(s fleetpb.GrantState) owner.Outcome {
	switch s {
	case fleetpb.GrantState_GRANT_STATE_DONE:
		return owner.Done
	case fleetpb.GrantState_GRANT_STATE_FAILED:
		return owner.Failed
	case fleetpb.GrantState_GRANT_STATE_ENDPOINT_CRASHED:
		return owner.Crashed
	}
	return owner.Unused
}

func stateOf(e End) fleetpb.GrantState {
	switch e {
	case EndDone:
		return fleetpb.GrantState_GRANT_STATE_DONE
	case EndFailed:
		return fleetpb.GrantState_GRANT_STATE_FAILED
	case EndCrashed:
		return fleetpb.GrantState_GRANT_STATE_ENDPOINT_CRASHED
	}
	return fleetpb.GrantState_GRANT_STATE_UNUSED
}
