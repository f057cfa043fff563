package hosted

import (
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
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

// detailedChanges is how many changes of endpoints that come together have a line each.
// A first list, or one after an outage, may have thousands, and is told in one line: with
// a line each, a fleet of 195 wrote 25,000 at its start.
const detailedChanges = 10

// takeEndpoints takes in changed entries of endpoints.
func (i *Instance) takeEndpoints(changes []objectapi.Object) {
	var updates []update
	for _, obj := range changes {
		u := i.entries.change(obj)
		i.takeEndpoint(u)
		if u.kind() != unchanged {
			updates = append(updates, u)
		}
	}
	i.endpoints.Store(true)
	logUpdates(updates, len(i.entries.byName))
}

// logUpdates tells of endpoints that came, left or went.
func logUpdates(updates []update, listed int) {
	if len(updates) <= detailedChanges {
		for _, u := range updates {
			u.log()
		}
		return
	}
	count := map[updateKind]int{}
	for _, u := range updates {
		count[u.kind()]++
	}
	log.WithFields(log.Fields{
		"listed": listed, "new": count[added], "gone": count[gone], "draining": count[draining], "started_again": count[restarted],
	}).Info("endpoints changed")
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

func (u update) log() {
	switch u.kind() {
	case added:
		aboutEndpoint(u.now).Info("endpoint listed")
	case gone:
		aboutEndpoint(u.before).Info("endpoint gone from the list")
	case draining:
		aboutEndpoint(u.now).Info("endpoint drains")
	case restarted:
		aboutEndpoint(u.now).WithField("before", u.before.ID).Info("endpoint has started again")
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
