package claim

import (
	"context"
	"sync/atomic"

	"github.com/sardinedock/sardinedock/fault"
)

// opKind is the kind of an operation on a shard.
type opKind int

const (
	opLookup opKind = iota
	opTake
	opFinish
	opRelease
	opRefuse
)

// op is one operation on a shard.
type op struct {
	kind    opKind
	request Request
	answer  Answer
	// ctx bounds the caller's wait; nil if no caller waits for the result.
	ctx   context.Context
	reply chan reply
	// onDone, if set, is called once an operation without a waiting caller is finished.
	onDone func()
	// resolved decides between the reply and the caller's cancellation: whichever sets it first
	// takes effect.
	resolved atomic.Bool
}

type reply struct {
	found Found
	err   error
}

func newOp(ctx context.Context, kind opKind, r Request) *op {
	return &op{kind: kind, request: r, ctx: ctx, reply: make(chan reply, 1)}
}

// resolve sends the reply; it returns false if the caller has stopped waiting.
func (o *op) resolve(f Found, err error) bool {
	if o.reply == nil {
		if o.onDone != nil {
			o.onDone()
		}
		return true
	}
	if o.resolved.Swap(true) {
		return false
	}
	o.reply <- reply{f, err}
	return true
}

// abandoned reports whether the caller has stopped waiting for the reply.
func (o *op) abandoned() bool { return o.ctx != nil && (o.resolved.Load() || o.ctx.Err() != nil) }

// wait blocks until the reply arrives or ctx is done. After an error the caller does not hold a
// claim, whatever the store shows later: the shard releases a claim that takes effect after the
// caller has stopped waiting.
func (o *op) wait() (Found, error) {
	select {
	case r := <-o.reply:
		return r.found, r.err
	case <-o.ctx.Done():
	}
	if o.resolved.Swap(true) {
		r := <-o.reply
		return r.found, r.err
	}
	return Found{}, fault.Wrap(context.Cause(o.ctx), fault.Unavailable, "ask again later; the object API does not answer", "no claim could be made in time")
}
