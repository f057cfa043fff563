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

// Book is this instance's access to all claims. Any goroutine may use it.
type Book struct {
	shards [Shards]*shard
	stop   context.CancelFunc
	wg     sync.WaitGroup
	// unwritten counts what was told and is not in the store yet.
	unwritten atomic.Int64
}

// Open starts the duties of the shards; Close ends them.
func Open(store objectapi.Store, c clock.Clock) *Book {
	ctx, stop := context.WithCancel(context.Background())
	b := &Book{stop: stop}
	for n := range b.shards {
		s := &shard{store: store, clock: c, name: shardName(n), ring: ring.New[*op]("claims", ringSize)}
		b.shards[n] = s
		b.wg.Go(func() { s.run(ctx) })
	}
	return b
}

// Look reads what is known of a key. It blocks until the store answers or ctx
// ends; the error is then of kind fault.Unavailable.
func (b *Book) Look(ctx context.Context, r Request) (Found, error) {
	return b.ask(newOp(ctx, opLook, r))
}

// Take claims the key for the attempt. It blocks until the claim is in the
// store. Where Found.Taken is not set and there is no error, the attempt holds
// the claim and is the only one that may send. After an error it holds none
// and must not send.
func (b *Book) Take(ctx context.Context, r Request) (Found, error) {
	return b.ask(newOp(ctx, opTake, r))
}

// Refuse puts on record that the request did not run, before its caller is told
// so. It binds all attempts that have looked at the key so far: none of them
// gets the claim any more. Where another attempt holds the key, Found.Taken is
// set and nothing is recorded. An attempt that has sent, and of which it is not
// certain that it did not run, must not call it. It blocks as Take does.
func (b *Book) Refuse(ctx context.Context, r Request) (Found, error) {
	return b.ask(newOp(ctx, opRefuse, r))
}

func (b *Book) ask(o *op) (Found, error) {
	if !b.shards[o.request.Key.shard()].ring.Offer(o) {
		return Found{}, fault.New(fault.Overloaded, "ask again later", "too many claims wait for the object API")
	}
	return o.wait()
}

// Finish records the whole answer of the attempt. It does not block. Until the
// record is written, or if it never is, a resend reads that nobody knows.
func (b *Book) Finish(r Request, a Answer) {
	b.tell(&op{kind: opFinish, request: r, answer: a})
}

// Release gives the claim back. Only the attempt that holds it may call it, if
// it has certainly not run and will never send. It does not block.
func (b *Book) Release(r Request) {
	b.tell(&op{kind: opRelease, request: r})
}

// tell hands over what nobody waits for. A full ring drops it: the key then
// reads unknown.
func (b *Book) tell(o *op) {
	b.unwritten.Add(1)
	o.told = func() { b.unwritten.Add(-1) }
	if !b.shards[o.request.Key.shard()].ring.Offer(o) {
		o.told()
	}
}

// Close ends the duties once all that was told is written, or ctx ends.
func (b *Book) Close(ctx context.Context) {
	for b.unwritten.Load() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, firstPause)
	}
	b.stop()
	b.wg.Wait()
}

// Kill ends the duties at once, as a crash does: what is not written yet is
// lost.
func (b *Book) Kill() {
	b.stop()
	b.wg.Wait()
}

// bookDump is the book's part of the state dump.
type bookDump struct {
	Unwritten int64 `json:"unwritten"`
	Commits   int64 `json:"commits"`
	Entries   int64 `json:"entries"`
	Conflicts int64 `json:"conflicts"`
	Lost      int64 `json:"lost_replies"`
}

// Dump returns counts of this process.
func (b *Book) Dump() any {
	return bookDump{
		Unwritten: b.unwritten.Load(),
		Commits:   int64(commits.Get()),
		Entries:   int64(committed.Get()),
		Conflicts: int64(conflicts.Get()),
		Lost:      int64(lost.Get()),
	}
}
