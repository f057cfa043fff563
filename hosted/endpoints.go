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

// entries holds the usable entries of endpoints and the newest known incarnation of each name. It
// is not safe for concurrent use; only the follower of the endpoints uses it.
type entries struct {
	decoded[balance.Endpoint]
	// newest is the newest incarnation that was listed under each name, including removed ones,
	// since an older incarnation may write its entry late.
	newest map[string]balance.Endpoint
}

// maxRemembered bounds the size of newest, since new endpoints get new names without limit.
const maxRemembered = 8192

// update is the effect of one changed entry.
type update struct {
	// prev and now are the listed incarnations before and after the change; hadPrev and hasNow
	// report whether there is one.
	prev, now       balance.Endpoint
	hadPrev, hasNow bool
	// cause is the change of the entry.
	cause directory.Change
}

// applyChange applies one changed entry.
//
// Entries may come from different writers in any order. An entry of an earlier incarnation, written
// late, never replaces that of a later one. An entry that gives the same incarnation another
// address or service is contradictory, and neither of the two is used: a request could run at a
// service that its route does not name.
func (l *entries) applyChange(obj objectapi.Object) update {
	u := update{}
	u.prev, u.hadPrev = l.byName[obj.Name]
	now, ok := l.apply(obj, platform.Endpoint)
	if !ok {
		return u
	}
	newest := l.newest[obj.Name]
	switch {
	case now.Born < newest.Born && now.Born > 0:
		endpointLog(now).WithField("started", now.Born).Info("entry of an earlier start left aside")
		delete(l.byName, obj.Name)
		if u.hadPrev {
			l.byName[obj.Name] = u.prev
		}
		u.now, u.hasNow = u.prev, u.hadPrev
		return u
	case now.Born < newest.Born || now.ID == newest.ID && (now.Service != newest.Service || now.Address != newest.Address):
		endpointLog(now).WithField("revision", uint64(obj.Version)).Error("entry contradicts what the endpoint said before; it is left aside")
		delete(l.byName, obj.Name)
		return u
	}
	l.remember(obj.Name, now)
	u.now, u.hasNow = now, true
	return u
}

func (l *entries) remember(name string, e balance.Endpoint) {
	if l.newest == nil || len(l.newest) >= maxRemembered {
		l.newest = make(map[string]balance.Endpoint, len(l.byName))
		for name, listed := range l.byName {
			l.newest[name] = listed
		}
	}
	l.newest[name] = e
}

// applyEndpoints applies changed entries of endpoints.
func (i *Instance) applyEndpoints(changes []directory.Change) {
	for _, c := range changes {
		u := i.entries.applyChange(c.Object)
		i.applyEndpoint(u)
		u.cause = c
		i.changeLog.add(time.Now(), u)
	}
	i.endpointsListed.Store(true)
	i.origins.book.Follow(time.Now())
}

const (
	// detailedChanges is how many changes of endpoints are logged individually in each
	// changeWindow; the others are counted in one line. Thousands may come together, such as at the
	// start or after an outage.
	detailedChanges = 5
	changeWindow    = time.Second
)

// changeLog logs added, draining, restarted and removed endpoints in a bounded number of lines. It
// is safe for concurrent use.
type changeLog struct {
	mu       sync.Mutex
	since    time.Time
	detailed int
	counted  map[updateKind]int
}

// add logs one change, or counts it for the next summary line.
func (l *changeLog) add(now time.Time, u update) {
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

// flush starts a new window if the last one is over, and logs the changes that it counted.
func (l *changeLog) flush(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) < changeWindow {
		return
	}
	if len(l.counted) > 0 {
		log.WithFields(log.Fields{
			"new": l.counted[added], "gone": l.counted[removed], "draining": l.counted[draining], "started_again": l.counted[restarted],
		}).Info("more endpoints changed")
	}
	l.since, l.detailed, l.counted = now, 0, nil
}

// updateKind classifies a change of an entry by its effect on requests.
type updateKind int

const (
	unchanged updateKind = iota
	added
	removed
	draining
	restarted
)

func (u update) kind() updateKind {
	switch {
	case u.hadPrev && !u.hasNow:
		return removed
	case !u.hasNow:
		return unchanged
	case !u.hadPrev:
		return added
	case u.prev.ID != u.now.ID:
		return restarted
	case u.now.Draining && !u.prev.Draining:
		return draining
	}
	return unchanged
}

// log logs one change. The revision and its source show, in the logs of all instances, when and how
// each of them received it.
func (u update) log() {
	about := func(e balance.Endpoint) *log.Entry {
		return endpointLog(e).WithField("revision", uint64(u.cause.Version)).WithField("source", u.cause.Source)
	}
	switch u.kind() {
	case added:
		about(u.now).Info("endpoint listed")
	case removed:
		about(u.prev).Info("endpoint gone from the list")
	case draining:
		about(u.now).Info("endpoint drains")
	case restarted:
		about(u.now).WithField("before", u.prev.ID).Info("endpoint has started again")
	}
}

// applyEndpoint applies one update to the state.
func (i *Instance) applyEndpoint(u update) {
	i.noteReleases(u)
	if u.hadPrev && (!u.hasNow || u.prev.ID != u.now.ID) {
		if u.hasNow {
			i.server.CancelEndpoint(u.prev.ID)
			i.statements.move(u.prev, u.now)
		}
		i.state.RemoveEndpoint(u.prev.ID)
		i.paths.Remove(u.prev.ID)
		i.relays.drop(u.prev.Address)
	}
	if u.hasNow {
		i.relays.setService(u.now.Address, u.now.Service)
		i.state.PutEndpoint(u.now)
		i.paths.Put(u.now.ID, u.now.Service)
	}
}

// noteReleases records which releases a service has or had until now.
func (i *Instance) noteReleases(u update) {
	now := time.Now()
	if u.hadPrev {
		i.origins.book.Seen(now, u.prev.Service, u.prev.Release)
	}
	if u.hasNow {
		i.origins.book.Seen(now, u.now.Service, u.now.Release)
	}
}

func endpointLog(e balance.Endpoint) *log.Entry {
	return log.WithFields(log.Fields{"endpoint": e.ID, "address": e.Address, "service": e.Service})
}
