package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// originAsks is how many schedulers are asked for a stream that this instance does not know. One of them may have
// missed its report.
const originAsks = 2

const (
	// originWait bounds how long a stream that is unknown waits at an instance that does not know the others yet.
	originWait = time.Second
	// originSettle is how long after its start an instance may have received messages of some others only, such as of those
	// that started with it and don't know the stream either.
	originSettle = 300 * time.Millisecond
	// originPoll is the polling interval meanwhile.
	originPoll = 20 * time.Millisecond
)

// origins implements gateway.Origins.
type origins struct {
	book    *origin.Book
	state   *balance.State
	node    *gossip.Node
	started time.Time
	// settled is Instance.settled.
	settled *atomic.Bool
	record  *recordReader
	lists   *listReads
	// listed returns the store's revision up to which every change of the list of endpoints is known.
	listed func() uint64
}

// Began implements gateway.Origins.
func (o *origins) Began(k origin.Key, release string, life time.Duration) {
	o.book.Began(time.Now(), k, release, life)
}

// Find implements gateway.Origins.
func (o *origins) Find(ctx context.Context, service string, k origin.Key, life time.Duration) (release string, result origin.Result, from string) {
	own := o.answer(service, k, life)
	if own.Release != "" {
		return origin.Decide([]origin.Answer{own})
	}
	answers := o.ask(ctx, service, k, life)
	for until := time.Now().Add(originWait); o.asksAgain(k, answers) && time.Now().Before(until) && clock.Sleep(ctx, originPoll) == nil; {
		answers = o.ask(ctx, service, k, life)
	}
	answers = append(answers, o.answer(service, k, life))
	release, result, from = origin.Decide(answers)
	switch {
	case result == origin.OnlyRelease && !o.lists.confirm(ctx, service, release, origin.NewestRevision(answers)):
		return "", origin.Unknown, ""
	case result != origin.Unknown || !origin.Uninformed(answers):
		return release, result, from
	}
	// Only instances that have started within the life of a stream get here, since all others know which releases there were.
	listed := o.state.Releases(service)
	if len(listed) == 0 {
		return "", origin.Unknown, ""
	}
	if release = o.record.certain(ctx, service, o.book.Known(service, listed), life); release == "" {
		return "", origin.Unknown, ""
	}
	return release, origin.Recorded, ""
}

// asksAgain reports whether an instance that knows the stream may not have been asked, since this one has just started.
func (o *origins) asksAgain(k origin.Key, answers []origin.Answer) bool {
	if len(answers) == 0 {
		return o.isNew()
	}
	known := slices.ContainsFunc(answers, func(a origin.Answer) bool { return a.Release != "" })
	return k != 0 && !known && time.Since(o.started) < originSettle
}

// isNew reports whether this instance may not have received messages of the others yet.
func (o *origins) isNew() bool { return !o.settled.Load() || time.Since(o.started) < originWait }

// answer returns what this instance knows.
func (o *origins) answer(service string, k origin.Key, life time.Duration) origin.Answer {
	now, revision := time.Now(), o.listed()
	return origin.Answer{Release: o.book.Release(now, k), Releases: o.book.Releases(now, service, o.state.Releases(service), life), Revision: revision}
}

// ask returns what schedulers know that answer in time.
func (o *origins) ask(ctx context.Context, service string, k origin.Key, life time.Duration) []origin.Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []origin.Answer
	var wg sync.WaitGroup
	for _, to := range o.node.LongestRunning(originAsks) {
		wg.Go(func() {
			m, err := o.node.Ask(ctx, to, &gossippb.Ask{Run: rand.Uint64(), OriginService: service, Origin: uint64(k), OriginLifeMs: life.Milliseconds()})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, origin.Answer{
				Instance: to.Name, Release: m.GetRelease(),
				Releases: origin.Releases{Only: m.GetOnlyRelease(), Several: m.GetSeveralReleases()}, Revision: m.GetListRevision(),
			})
		})
	}
	wg.Wait()
	return answers
}

// answerAsk answers another instance's question for the origin of a stream.
func (o *origins) answerAsk(a *gossippb.Ask) *gossippb.Decision {
	known := o.answer(a.GetOriginService(), origin.Key(a.GetOrigin()), time.Duration(a.GetOriginLifeMs())*time.Millisecond)
	return &gossippb.Decision{
		Run: a.GetRun(), Admission: int32(balance.Wait), Release: known.Release, OnlyRelease: known.Only, SeveralReleases: known.Several,
		ListRevision: known.Revision,
	}
}
