package claim

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/ring"
)

// Book gives this instance access to all claims. It is safe for concurrent use.
type Book struct {
	shards [Shards]*shard
	stop   context.CancelFunc
	wg     sync.WaitGroup
	// unwritten counts the queued Finish and Release operations that are not in the store yet.
	unwritten atomic.Int64
}

// Open starts one goroutine for each shard; Close ends them.
func Open(store objectapi.Store, c clock.Clock) *Book {
	ctx, stop := context.WithCancel(context.Background())
	b := &Book{stop: stop}
	for n := range b.shards {
		s := &shard{store: store, clock: c, name: shardName(n), ring: ring.New[*op]("claims", queueSize)}
		b.shards[n] = s
		b.wg.Go(func() { s.run(ctx) })
	}
	return b
}

// Lookup reads the stored state of a key. It blocks until the store answers or ctx is done; the
// error is then of kind fault.Unavailable.
func (b *Book) Lookup(ctx context.Context, r Request) (Found, error) {
	return b.do(newOp(ctx, opLookup, r))
}

// Take claims the key for the attempt. It blocks until the claim is in the store. If there is no
// error and neither Found.Taken nor Found.Refused is set, the attempt holds the claim and is the
// only one that may send. After an error it holds no claim and must not send.
func (b *Book) Take(ctx context.Context, r Request) (Found, error) {
	return b.do(newOp(ctx, opTake, r))
}

// Refuse records that the request did not run, before this is reported to its caller. It applies
// to all attempts that have looked up the key so far: none of them can take the claim any more.
// If another attempt holds the key, Found.Taken is set and nothing is recorded. An attempt must
// not call it after it has sent, unless it is certain that the request did not run. It blocks as
// Take does.
func (b *Book) Refuse(ctx context.Context, r Request) (Found, error) {
	return b.do(newOp(ctx, opRefuse, r))
}

func (b *Book) do(o *op) (Found, error) {
	if !b.shards[o.request.Key.shard()].ring.Offer(o) {
		return Found{}, fault.New(fault.Overloaded, "ask again later", "too many claims wait for the object API")
	}
	return o.wait()
}

// Finish records the complete answer of the attempt. It does not block. Until the record is
// written, or if it never is, a resent request finds an unknown outcome.
func (b *Book) Finish(r Request, a Answer) {
	b.enqueue(&op{kind: opFinish, request: r, answer: a})
}

// Release releases the claim. Only the attempt that holds it may call it, if the request has
// certainly not run and the attempt will never send it. It does not block.
func (b *Book) Release(r Request) {
	b.enqueue(&op{kind: opRelease, request: r})
}

// enqueue queues an operation without a waiting caller. It is dropped if the queue is full; the
// outcome of the key then remains unknown.
func (b *Book) enqueue(o *op) {
	b.unwritten.Add(1)
	o.onDone = func() { b.unwritten.Add(-1) }
	if !b.shards[o.request.Key.shard()].ring.Offer(o) {
		o.onDone()
	}
}

// Close ends the shards' goroutines once all queued operations are written, or ctx is done.
func (b *Book) Close(ctx context.Context) {
	for b.unwritten.Load() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, initialBackoff)
	}
	b.stop()
	b.wg.Wait()
}

// Kill ends the shards' goroutines at once, as a crash does: what is not written yet is lost.
func (b *Book) Kill() {
	b.stop()
	b.wg.Wait()
}

// bookDump is the claims' part of the state dump.
type bookDump struct {
	Unwritten int64 `json:"unwritten"`
	Commits   int64 `json:"commits"`
	Entries   int64 `json:"entries"`
	Conflicts int64 `json:"conflicts"`
	Lost      int64 `json:"lost_replies"`
}

// Dump returns counters of this process for the state dump.
func (b *Book) Dump() any {
	return bookDump{
		Unwritten: b.unwritten.Load(),
		Commits:   int64(commits.Get()),
		Entries:   int64(committed.Get()),
		Conflicts: int64(conflicts.Get()),
		Lost:      int64(lostReplies.Get()),
	}
}
