package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// graceSeconds, leaseMs, weightsMs and heartbeatMs are the bounds of the
	// instances' settings. They are short, so that a run sees several of each.
	graceSeconds = 4
	leaseMs      = 1000
	weightsMs    = 4000
	heartbeatMs  = 300
	retryRatio   = 0.2
	retrySlack   = 50
	retryWindow  = 10
	// contact is how long an instance has to be without disturbance before
	// promises with a time bound hold for it.
	contact = 2 * time.Second
)

// instance is one process of the program under test.
type instance struct {
	n       int
	name    string
	binary  string
	dir     string
	listen  [4]string
	callers *link
	store   *link
	ledger  *ledger

	// cycle is held by whoever ends the process and starts it again.
	cycle sync.Mutex

	mu          sync.Mutex
	cmd         *exec.Cmd
	ended       chan struct{}
	incarnation int
	// ending says that the process was told to end or killed.
	ending bool

	// faults at this instance or its links, and the time from each SIGTERM on.
	faults, terms timeline
}

// calm reports whether nothing disturbed the instance in a span.
func (i *instance) calm(from, to time.Time) bool { return !i.faults.meets(from, to) }

// timeline is when something went on. Any goroutine may use it.
type timeline struct {
	mu    sync.Mutex
	spans []span
}

type span struct{ from, to time.Time }

// begin notes that it goes on from now; the returned function notes its end.
func (t *timeline) begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	const untilTold = time.Hour
	k := len(t.spans)
	t.spans = append(t.spans, span{time.Now(), time.Now().Add(untilTold)})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spans[k].to = time.Now()
	}
}

// meets reports whether it went on at any moment of a span.
func (t *timeline) meets(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// The ports of instances lie below those that the system gives out itself: a link or
// a caller would otherwise take the port of an instance while that is down.
const (
	firstPort = 12000
	lastPort  = 30000
)

var portsGiven atomic.Int64

// freeAddress returns a loopback address that nothing is bound to.
func freeAddress() (string, error) {
	for {
		port := firstPort + (int64(os.Getpid())*61+portsGiven.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			if portsGiven.Load() > lastPort-firstPort {
				return "", err
			}
			continue
		}
		return address, ln.Close()
	}
}

// newInstance prepares an instance; start starts it.
func newInstance(t *testing.T, n int, binary, dir, store string, l *ledger) *instance {
	t.Helper()
	i := &instance{n: n, name: fmt.Sprintf("front-%d", n), binary: binary, dir: dir, ledger: l}
	for k := range i.listen {
		a, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		i.listen[k] = a
	}
	var err error
	if i.callers, err = newLink(i.listen[0]); err != nil {
		t.Fatal(err)
	}
	if i.store, err = newLink(store); err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprintf("instance: %s\ndata_centre: dc-%d\nstore: %s\nlisten:\n  callers: %s\n  ready: %s\n  gossip: %s\n  metrics: %s\n"+
		"bounds:\n  grace_seconds: %d\n  lease_ms: %d\n  retry_ratio: %v\n  retry_slack: %d\n  retry_window_seconds: %d\n  weights_ms: %d\n  heartbeat_ms: %d\n",
		i.name, n%3, i.store.address(), i.listen[0], i.listen[1], i.listen[2], i.listen[3],
		graceSeconds, leaseMs, retryRatio, retrySlack, retryWindow, weightsMs, heartbeatMs)
	if err := os.WriteFile(i.settings(), []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return i
}

func (i *instance) settings() string { return filepath.Join(i.dir, i.name+".yaml") }

// start starts the process and watches for its end.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.ledger.breach("start %s: %v", i.name, err)
		return
	}
	cmd := exec.Command(i.binary, "host", "--settings", i.settings())
	cmd.Stdout, cmd.Stderr = out, out
	err = cmd.Start()
	_ = out.Close()
	if err != nil {
		i.ledger.breach("start %s: %v", i.name, err)
		return
	}
	i.cmd, i.ended, i.ending = cmd, make(chan struct{}), false
	i.incarnation++
	go i.watch(cmd, i.ended)
}

// watch notes a process that ends by itself: callers lose what it served.
func (i *instance) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	asked := i.ending
	i.mu.Unlock()
	if !asked {
		i.ledger.breach("ENDS: %s ended by itself: %v; see its log", i.name, err)
	}
	close(ended)
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		i.ending = true
	}
	if s == syscall.SIGTERM {
		time.AfterFunc(graceSeconds*time.Second, i.terms.begin())
	}
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// waitEnd waits until the process has ended and reports whether it did.
func (i *instance) waitEnd(d time.Duration) bool {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

func (i *instance) life() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// close ends the process and the links.
func (i *instance) close() {
	i.signal(syscall.SIGKILL)
	i.signal(syscall.SIGCONT)
	i.waitEnd(5 * time.Second)
	i.callers.close()
	i.store.close()
}
