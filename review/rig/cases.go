package main

import "time"

// cases are the plays, by name. Each returns ruleHeld or ruleBroken.
var cases = map[string]func(root string, trouble bool) int{
	"cut-unframed":  unframedAnswersAreCut,
	"crashing-part": crashingPartInSeveralWalls,
	"new-wall":      tenantBecomesIsolated,
}

const (
	// soundInterval is the time between two sound requests of one tenant.
	soundInterval = 400 * time.Millisecond
	// crashingInterval is the time between two requests with the part that crashes servers: longer than contactTime, and than a
	// server is down.
	crashingInterval = 3300 * time.Millisecond
)

// common is a part that the prompts of all tenants begin with.
var common = part{"5c1e07a2", 512}

// crashing is the part on which servers crash.
var crashing = part{"0badc0de", 400}

// catalogue is the part that a tenant's prompts share.
func catalogue(t tenant) part { return part{"91" + t.Name, 1500} }

// someTenants returns eight tenants, of which the first are isolated.
func someTenants(isolated int) (list []tenant) {
	for n, name := range []string{"sese880", "kofi12", "abena77", "yaw301", "esi9", "kwame55", "ama8", "kojo61"} {
		list = append(list, tenant{name, "key-" + name, n < isolated})
	}
	return list
}

// startCrashing has servers crash on the part from now on.
func (g *rig) startCrashing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashing = crashing.id
	note("from now on, each server crashes that begins to write an answer on part %s", crashing.id)
}

// crashingPartInSeveralWalls: requests with one part that crashes servers come from isolated tenants and from others.
func crashingPartInSeveralWalls(root string, trouble bool) int {
	const isolated, senders, rounds = 2, 4, 20
	g := newRig(root, someTenants(isolated))
	defer g.soundFromAll()()
	time.Sleep(contactTime)
	if trouble {
		g.startCrashing()
	}
	for n := range rounds {
		if trouble {
			go g.send(g.tenants[n%senders], common, crashing)
		}
		time.Sleep(crashingInterval)
	}
	return g.judgeCrashes()
}

// judgeCrashes checks the rule on requests with a part that crashes servers. All machines are in touch all the while.
func (g *rig) judgeCrashes() int {
	const allowed, fifth = 3, 5
	g.mu.Lock()
	defer g.mu.Unlock()
	late := 0
	if len(g.crashes) >= fifth {
		from := g.crashes[fifth-1].Add(contactTime)
		for _, at := range g.reached {
			if at.After(from) {
				late++
			}
		}
	}
	note("sound requests by result: %v; %d crashes", g.results, len(g.crashes))
	note("RESULT: %d requests with the part reached servers, %d of them later than %d ms after the fifth crash; allowed are %d",
		len(g.reached), late, contactTime.Milliseconds(), allowed)
	if late > allowed {
		return ruleBroken
	}
	return ruleHeld
}

// tenantBecomesIsolated: a configuration isolates a tenant that was not. The servers keep what they have cached.
func tenantBecomesIsolated(root string, trouble bool) int {
	// inForce is when a configuration applies at the latest, with a margin for requests on their way.
	const first, inForce = 12, configTime + time.Second
	g := newRig(root, someTenants(0))
	// This tenant's requests come first, so that it is they that make the common part.
	one := g.tenants[0]
	for range first {
		g.send(one, common, catalogue(one))
	}
	defer g.soundFromAll()()
	time.Sleep(contactTime)
	g.tenants[0].Isolated = trouble
	g.configure()
	acknowledged := time.Now()
	time.Sleep(5 * inForce)
	return g.judgeWall(one.Name, trouble, acknowledged.Add(inForce))
}

// judgeWall checks the rule on cached parts of isolated tenants.
func (g *rig) judgeWall(name string, isolated bool, from time.Time) int {
	const shown = 10
	g.mu.Lock()
	defer g.mu.Unlock()
	uses := 0
	for _, u := range g.uses {
		if u.at.Before(from) || u.tenant == u.made.tenant || u.tenant != name && u.made.tenant != name {
			continue
		}
		if uses++; uses <= shown {
			note("request %s of %s uses part %s at %s, which request %s of %s made", u.request, u.tenant, u.part, u.server, u.made.request, u.made.tenant)
		}
	}
	note("sound requests by result: %v", g.results)
	note("RESULT: %d requests used a part that crosses the wall of %s; isolated: %v", uses, name, isolated)
	if isolated && uses > 0 {
		return ruleBroken
	}
	return ruleHeld
}
