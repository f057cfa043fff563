package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// ownerRounds is the number of timed calls of each operation.
	ownerRounds = 20000
	// eventBlocks is the number of blocks of one cache event.
	eventBlocks = 4
)

// measureOwner measures the time that an owner's operations take for a request, a cache event and
// a tick, on one CPU and without messages.
func measureOwner(_ Options, out io.Writer) error {
	fmt.Fprintf(out, "an owner of 7 endpoints, 64 blocks a prompt, %d blocks a cache event\n", eventBlocks)
	fmt.Fprintf(out, "%14s %16s %14s %16s\n", "blocks known", "us a request", "us an event", "us a tick")
	for _, blocks := range []int{1000, 16000, 150000} {
		r := registryOf(7, blocks)
		now := time.Now()
		request := microsecondsPerCall(ownerRounds, func(i int) { askFirstTokenEnd(r, now, i) })
		event := microsecondsPerCall(ownerRounds, func(i int) { cacheEvent(r, i) })
		tick := microsecondsPerCall(ownerRounds, func(int) { r.Tick(now) })
		fmt.Fprintf(out, "%14d %16.2f %14.2f %16.2f\n", blocks, request, event, tick)
	}
	decode, err := timeDecode()
	fmt.Fprintf(out, "%.2f us to decode an event\n", decode)
	return err
}

// timeDecode returns the microseconds it takes to decode one cache event from its JSON line.
func timeDecode() (float64, error) {
	e := endpoint.CacheEvent{Seq: 1, Incarnation: 1, Op: endpoint.CacheStore}
	for _, h := range promptBlocks(eventBlocks, 1) {
		e.Blocks = append(e.Blocks, h.String())
	}
	line, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	took := microsecondsPerCall(ownerRounds, func(int) {
		var read endpoint.CacheEvent
		if json.Unmarshal(line, &read) != nil {
			return
		}
		for _, text := range read.Blocks {
			_, _ = prefix.ParseHash(text)
		}
	})
	return took, nil
}

// microsecondsPerCall calls a function rounds times and returns the mean duration of a call.
func microsecondsPerCall(rounds int, call func(i int)) float64 {
	begin := time.Now()
	for i := range rounds {
		call(i)
	}
	return float64(time.Since(begin).Microseconds()) / float64(rounds)
}

// askFirstTokenEnd runs all the owner's operations for one request.
func askFirstTokenEnd(r *owner.Registry, now time.Time, i int) {
	name := fmt.Sprintf("engine-%d", i%7)
	d := r.Ask(now, owner.Ask{
		Caller: "entry", RequestID: fmt.Sprint(i), Organisation: "accra", Blocks: promptBlocks(64, i), PromptTokens: 64 * blockTokens,
		Deadline: now.Add(time.Minute),
	}, []string{name})
	e := r.Endpoint(name)
	e.FirstToken(now, d.Offer.GrantID, 0, time.Millisecond)
	e.End(now, owner.End{GrantID: d.Offer.GrantID, Outcome: owner.Done})
}

func cacheEvent(r *owner.Registry, i int) {
	blocks := make([]prefix.Hash, eventBlocks)
	for k := range blocks {
		blocks[k] = promptBlocks(1, i*eventBlocks+k)[0]
	}
	op := owner.CacheStore
	if i%2 == 1 {
		op = owner.CacheEvict
	}
	r.Endpoint(fmt.Sprintf("engine-%d", i%7)).CacheEvent(owner.CacheEvent{Seq: uint64(i/7 + 2), Incarnation: 1, Op: op, Blocks: blocks})
}
