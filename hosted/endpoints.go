package hosted

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/platform"
)

// entries are the endpoints' entries that can be used, and what was last known of each
// name. The follower of the endpoints owns it.
type entries struct {
	decoded[balance.Endpoint]
	// last is the newest incarnation of each name that was listed, also of those that
	// are gone: an older one may write its entry late.
	last map[string]balance.Endpoint
}

// maxRemembered bounds the names that are remembered; endpoints get new ones for ever.
const maxRemembered = 8192

// update is what one change of an entry comes to.
type update struct {
	// before and now are the incarnations listed; had and has say whether there are
	// any.
	before, now balance.Endpoint
	had, has    bool
	// cause is the changed entry.
	cause directory.Change
}

// change takes in one changed entry.
//
// Entries may come from other writers, in any order. One of an earlier incarnation
// never replaces that of a later one: it was written late. One that has an incarnation
// at another address or in another service than before is not its own word, and none
// of both is used: a request would run at a service that it must not reach.
func (l *entries) change(obj objectapi.Object) update {
	u := update{}
	u.before, u.had = l.byName[obj.Name]
	now, ok := l.take(obj, platform.Endpoint)
	if !ok {
		return u
	}
	last := l.last[obj.Name]
	switch {
	case now.Born < last.Born && now.Born > 0:
		aboutEndpoint(now).WithField("started", now.Born).Info("entry of an earlier start left aside")
		delete(l.byName, obj.Name)
		if u.had {
			l.byName[obj.Name] = u.before
		}
		u.now, u.has = u.before, u.had
		return u
	case now.Born < last.Born || now.ID == last.ID && (now.Service != last.Service || now.Address != last.Address):
		aboutEndpoint(now).WithField("revision", uint64(obj.Version)).Error("entry contradicts what the endpoint said before; it is left aside")
		delete(l.byName, obj.Name)
		return u
	}
	l.remember(obj.Name, now)
	u.now, u.has = now, true
	return u
}

func (l *entries) remember(name string, e balance.Endpoint) {
	if l.last == nil || len(l.last) >= maxRemembered {
		l.last = make(map[string]balance.Endpoint, len(l.byName))
		for name, listed := range l.byName {
			l.last[name] = listed
		}
	}
	l.last[name] = e
}

// takeEndpoints takes in changed entries of endpoints.
func (i *Instance) takeEndpoints(changes []directory.Change) {
	for _, c := range changes {
		u := i.entries.change(c.Object)
		i.takeEndpoint(u)
		u.cause = c
		i.changeLog.note(time.Now(), u)
	}
	i.endpoints.Store(true)
}

const (
	// detailedChanges is how many changes of endpoints have a line of their own in each
	// changeWindow; the others are counted in one. Thousands may come together, such as
	// at the start or after an outage.
	detailedChanges = 5
	changeWindow    = time.Second
)

// changeLog tells of endpoints that came, left or went, in a bounded number of lines.
// Any goroutine may use it.
type changeLog struct {
	mu       sync.Mutex
	since    time.Time
	detailed int
	counted  map[updateKind]int
}

// note tells of one change, or counts it.
func (l *changeLog) note(now time.Time, u update) {
	kind := u.kind()
	if kind == unchanged {
		return
	}
	l.flush(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detailed < detailedChanges {
		l.detailed++
		u.log()
		return
	}
	if l.counted == nil {
		l.counted = map[updateKind]int{}
	}
	l.counted[kind]++
}

// flush begins a new window where the last one is over, and tells what it counted.
func (l *changeLog) flush(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) < changeWindow {
		return
	}
	if len(l.counted) > 0 {
		log.WithFields(log.Fields{
			"new": l.counted[added], "gone": l.counted[gone], "draining": l.counted[draining], "started_again": l.counted[restarted],
		}).Info("more endpoints changed")
	}
	l.since, l.detailed, l.counted = now, 0, nil
}

// updateKind is what a change of an entry means for requests.
type updateKind int

const (
	unchanged updateKind = iota
	added
	gone
	draining
	restarted
)

func (u update) kind() updateKind {
	switch {
	case u.had && !u.has:
		return gone
	case !u.has:
		return unchanged
	case !u.had:
		return added
	case u.before.ID != u.now.ID:
		return restarted
	case u.now.Draining && !u.before.Draining:
		return draining
	}
	return unchanged
}

// log writes the line of a change. The revision and its source tell, from the logs of all
// instances, when and how each of them has learned of it.
func (u update) log() {
	about := func(e balance.Endpoint) *log.Entry {
		return aboutEndpoint(e).WithField("revision", uint64(u.cause.Version)).WithField("source", u.cause.Source)
	}
	switch u.kind() {
	case added:
		about(u.now).Info("endpoint listed")
	case gone:
		about(u.before).Info("endpoint gone from the list")
	case draining:
		about(u.now).Info("endpoint drains")
	case restarted:
		about(u.now).WithField("before", u.before.ID).Info("endpoint has started again")
	}
}

// takeEndpoint applies one change.
func (i *Instance) takeEndpoint(u update) {
	if u.had && (!u.has || u.before.ID != u.now.ID) {
		if u.has {
			i.server.Ended(u.before.ID)
		}
		i.state.RemoveEndpoint(u.before.ID)
		i.relays.drop(u.before.Address)
	}
	if u.has {
		i.state.PutEndpoint(u.now)
	}
}

func aboutEndpoint(e balance.Endpoint) *log.Entry {
	return log.WithFields(log.Fields{"endpoint": e.ID, "address": e.Address, "service": e.Service})
}
