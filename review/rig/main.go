// Command rig starts the routers of the deploy file with stand-ins of the platform, of model servers and of callers on
// loopback addresses, plays one case of the review and checks its rule. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// serverN and routerN are how many servers and machines there are.
const (
	serverN = 9
	routerN = 4
)

var zones = []string{"tema-hall", "osu-room", "kaneshie-rack"}

// record is the text of record.txt.
var record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// note adds one line to the record.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.lines = append(record.lines, fmt.Sprintf("%9.3f s  %s", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...)))
}

// The exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

const couldNotRun = "the case could not run"

// cleanUp ends what the case has started.
var cleanUp func()

func fatal(format string, args ...any) {
	note(couldNotRun+": "+format, args...)
	finish(notRun)
}

// finish ends all processes, writes the record and exits.
func finish(status int) {
	if cleanUp != nil {
		cleanUp()
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	if len(os.Args) > 3 {
		_ = os.WriteFile(filepath.Join(os.Args[3], "record.txt"), []byte(strings.Join(record.lines, "\n")+"\n"), 0o644)
	}
	for _, line := range record.lines {
		if strings.Contains(line, "RESULT: ") || strings.Contains(line, couldNotRun) {
			fmt.Println(line)
		}
	}
	os.Exit(status)
}

// tenant is one customer of the configuration.
type tenant struct {
	Name, Key string
	Isolated  bool
}

// rig is one run of a case.
type rig struct {
	root, settings string
	store          *platformtest.Store
	routers        []*router
	servers        []*server
	tenants        []tenant

	mu sync.Mutex
	// crashing is the part on which servers crash; empty for none.
	crashing string
	framing  framing
	// crashes are the times at which servers crashed, reached those at which requests with the part reached one.
	crashes, reached []time.Time
	uses             []use
	version          int64
	// results counts the sound requests by the status of their answers and how these ended.
	results map[string]int
}

// use is one use of a cached part.
type use struct {
	at                    time.Time
	request, tenant, part string
	made                  held
	server                string
}

func (g *rig) crashingPart() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashing
}

func (g *rig) crashed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes = append(g.crashes, time.Now())
}

func (g *rig) arrived(parts []part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashing != "" && names(parts[:len(parts)-1], g.crashing) {
		g.reached = append(g.reached, time.Now())
	}
}

func (g *rig) used(request, tenant, part string, made held, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uses = append(g.uses, use{time.Now(), request, tenant, part, made, server})
}

func (g *rig) serverAt(address string) *server {
	for _, s := range g.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// configure writes a new version of the configuration, whose answer is the acknowledgement.
func (g *rig) configure() {
	g.version += 3
	text := fill("config.json", map[string]any{"Version": g.version, "Tenants": g.tenants})
	g.store.Put("config", "main", json.RawMessage(text))
	note("configuration %d acknowledged", g.version)
}

// newRig starts the platform, the servers and the routers, and waits until all are ready.
func newRig(root string, tenants []tenant) *rig {
	settings, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml"))
	if err != nil {
		fatal("%v", err)
	}
	if _, err := os.Stat(filepath.Join(root, "target", "sardinedock")); err != nil {
		fatal("no build of the deploy file: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	g := &rig{root: root, settings: string(settings), tenants: tenants, results: map[string]int{}}
	cleanUp = func() {
		for _, r := range g.routers {
			r.kill()
		}
		_ = os.RemoveAll(dir)
	}
	if g.store, err = platformtest.NewStore(); err != nil {
		fatal("%v", err)
	}
	g.configure()
	for n := range serverN {
		g.servers = append(g.servers, newServer(g, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), zones[n%len(zones)]))
	}
	for n := range routerN {
		// As on the platform, each machine has an address of its own.
		ip := fmt.Sprintf("127.0.0.%d", 11+n)
		g.routers = append(g.routers, &router{
			name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], 1+n/len(zones)), zone: zones[n%len(zones)], ip: ip,
			front: freeAddress(ip), ready: freeAddress(ip), gossip: freeAddress(ip), dir: dir,
		})
	}
	g.startRouters()
	g.awaitReady()
	go g.checkReady()
	return g
}

// awaitReady waits until all machines are ready.
func (g *rig) awaitReady() {
	const limit = 10 * time.Second
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range g.routers {
			if r.check(); r.missed() == 0 {
				ready++
			}
		}
		if ready == len(g.routers) {
			note("all machines are ready")
			return
		}
		if time.Now().After(until) {
			fatal("%d of %d machines are ready after %v", ready, len(g.routers), limit)
		}
	}
}

func (g *rig) startRouters() {
	for _, r := range g.routers {
		r.start(g.root, g.settings, g.store.Address())
	}
}

// checkReady is the platform's check of each machine once a second.
func (g *rig) checkReady() {
	for range time.Tick(time.Second) {
		for _, r := range g.routers {
			go r.check()
		}
	}
}

// pick returns the machine that gets a new connection.
func (g *rig) pick() *router {
	var in []*router
	for _, r := range g.routers {
		if r.missed() < leftOut {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		in = g.routers
	}
	return in[rand.IntN(len(in))]
}

// request returns a stream request of a tenant with a new id, and the machine that gets it.
func (g *rig) request(t tenant, shared ...part) (id, text string, r *router) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	tokens := 0
	var list []string
	for _, p := range append(shared, part{"e" + id, 250}) {
		tokens += p.tokens
		list = append(list, fmt.Sprintf("%s:%d", p.id, p.tokens))
	}
	body := strings.Repeat("x", 300) + id
	return id, fillHead("request.http", map[string]any{
		"ID": id, "Tokens": tokens, "Output": eventsPerStream, "Parts": strings.Join(list, ","), "Key": t.Key, "Body": body,
	}) + body, g.pick()
}

// send sends one stream request of a tenant on a new connection, reads its answer, and returns how that ended.
func (g *rig) send(t tenant, shared ...part) string {
	id, text, r := g.request(t, shared...)
	result := exchange(r.front, text)
	note("request %s of %s at %s: %s", id, t.Name, r.name, result)
	return result
}

// exchange sends a request, reads the whole answer and returns its status, or why there is none.
func exchange(address, request string) string {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("%d, broken off", resp.StatusCode)
	}
	return fmt.Sprint(resp.StatusCode)
}

// soundFromAll sends sound requests of all tenants until the returned function is called.
func (g *rig) soundFromAll() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, t := range g.tenants {
		wg.Go(func() {
			time.Sleep(rand.N(soundInterval))
			for {
				wg.Go(func() {
					result := g.send(t, common, catalogue(t))
					g.mu.Lock()
					defer g.mu.Unlock()
					g.results[result]++
				})
				select {
				case <-done:
					return
				case <-time.After(soundInterval):
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

func main() {
	record.began = time.Now()
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fatal("no case %q", os.Args[1])
	}
	// A run that is interrupted ends its processes too.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() { fatal("%v", <-interrupted) }()
	// The limit for one run.
	time.AfterFunc(115*time.Second, func() { fatal("not done after 115 s") })
	finish(play(os.Args[2], os.Getenv("TROUBLE") != "0"))
}
