package claim

import (
	"context"
	"sync/atomic"

	"github.com/sardinedock/sardinedock/fault"
)

// opKind is what is asked of a shard.
type opKind int

const (
	opLook opKind = iota
	opTake
	opFinish
	opRelease
	opRefuse
)

// op is one thing asked of a shard.
type op struct {
	kind    opKind
	request Request
	answer  Answer
	// ctx ends the wait of whoever asked; nil for what nobody waits for.
	ctx   context.Context
	reply chan reply
	// told, if set, is called once what nobody waits for is written.
	told func()
	// settled decides between the reply and the asker's giving up: whoever
	// sets it first has its way.
	settled atomic.Bool
}

type reply struct {
	found Found
	err   error
}

func newOp(ctx context.Context, kind opKind, r Request) *op {
	return &op{kind: kind, request: r, ctx: ctx, reply: make(chan reply, 1)}
}

// resolve gives the reply; false if the asker has given up.
func (o *op) resolve(f Found, err error) bool {
	if o.reply == nil {
		if o.told != nil {
			o.told()
		}
		return true
	}
	if o.settled.Swap(true) {
		return false
	}
	o.reply <- reply{f, err}
	return true
}

// gaveUp reports whether nobody waits for the reply any more.
func (o *op) gaveUp() bool { return o.ctx != nil && (o.settled.Load() || o.ctx.Err() != nil) }

// wait blocks for the reply or the end of ctx. After an error the asker does
// not hold a claim, whatever the store shows later: a claim that took effect
// unseen is given back by the shard.
func (o *op) wait() (Found, error) {
	select {
	case r := <-o.reply:
		return r.found, r.err
	case <-o.ctx.Done():
	}
	if o.settled.Swap(true) {
		r := <-o.reply
		return r.found, r.err
	}
	return Found{}, fault.Wrap(context.Cause(o.ctx), fault.Unavailable, "ask again later; the object API does not answer", "no claim could be made in time")
}
