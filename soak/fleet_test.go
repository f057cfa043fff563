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
	// The time limits and the retry budget in the instances' settings. The times are short,
	// so that each passes several times in a run.
	graceSeconds = 4
	leaseMs      = 1000
	weightsMs    = 4000
	heartbeatMs  = 300
	retrySlack   = 50
	retryWindow  = 10
	// stabilisationTime is how long an instance must have been undisturbed before
	// guarantees with a time bound apply to it.
	stabilisationTime = 2 * time.Second
)

// instance is one instance of the program under test, which may be restarted.
type instance struct {
	n      int
	name   string
	binary string
	dir    string
	listen [4]string
	// settings are those of each start but for first_start.
	settings string
	// memoryMb is the memory stated to it; 0 for none.
	memoryMb int64
	callers  *link
	store    *link
	checker  *checker

	// lifecycle is held while the process is ended and started again.
	lifecycle sync.Mutex

	mu          sync.Mutex
	running     *os.Process
	exited      chan struct{}
	incarnation int
	// terminating is set once SIGTERM or SIGKILL has been sent to the process.
	terminating bool

	// faults are the disturbances of this instance and its links; shutdowns are the grace
	// periods from each SIGTERM on.
	faults, shutdowns timeline
	// suspensions are the times for which the process was stopped by a signal.
	suspensions timeline
}

// undisturbed reports whether there was no disturbance of the instance in the given time span.
func (i *instance) undisturbed(from, to time.Time) bool { return !i.faults.overlaps(from, to) }

// timeline records time spans. It is safe for concurrent use.
type timeline struct {
	mu    sync.Mutex
	spans []span
}

type span struct{ from, to time.Time }

// begin opens a span that starts now; the returned function closes it.
func (t *timeline) begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	const openEnd = time.Hour
	k := len(t.spans)
	t.spans = append(t.spans, span{time.Now(), time.Now().Add(openEnd)})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spans[k].to = time.Now()
	}
}

// overlaps reports whether any recorded span overlaps the given one.
func (t *timeline) overlaps(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// The instances' ports are below the system's ephemeral port range. Otherwise a link or a caller
// could be given the port of an instance that is down.
const (
	firstPort = 12000
	lastPort  = 30000
)

var portsUsed atomic.Int64

// freeAddress returns an unused loopback address.
func freeAddress() (string, error) {
	for {
		port := firstPort + (int64(os.Getpid())*61+portsUsed.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			if portsUsed.Load() > lastPort-firstPort {
				return "", err
			}
			continue
		}
		return address, ln.Close()
	}
}

// newInstance prepares an instance without starting its process.
func newInstance(t testing.TB, n int, binary, dir, store string, retryRatio float64, ck *checker) *instance {
	t.Helper()
	i := &instance{n: n, name: fmt.Sprintf("front-%d", n), binary: binary, dir: dir, checker: ck}
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
	i.settings = fmt.Sprintf("instance: %s\ndata_centre: dc-%d\nstore: %s\nlisten:\n  callers: %s\n  ready: %s\n  gossip: %s\n  metrics: %s\n"+
		"bounds:\n  grace_seconds: %d\n  lease_ms: %d\n  retry_ratio: %v\n  retry_slack: %d\n  retry_window_seconds: %d\n  weights_ms: %d\n  heartbeat_ms: %d\n",
		i.name, n%3, i.store.address(), i.listen[0], i.listen[1], i.listen[2], i.listen[3],
		graceSeconds, leaseMs, retryRatio, retrySlack, retryWindow, weightsMs, heartbeatMs)
	return i
}

// settingsFile is the file that start writes.
func (i *instance) settingsFile() string { return filepath.Join(i.dir, i.name+".yaml") }

// start starts the process and watches for its exit.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.checker.addViolation("start %s: %v", i.name, err)
		return
	}
	settings := fmt.Sprintf("%sfirst_start: %v\n", i.settings, i.incarnation == 0)
	if i.memoryMb > 0 {
		settings += fmt.Sprintf("memory_mb: %d\n", i.memoryMb)
	}
	if err := os.WriteFile(i.settingsFile(), []byte(settings), 0o600); err != nil {
		i.checker.addViolation("start %s: %v", i.name, err)
		return
	}
	cmd := exec.Command(i.binary, "host", "--settings", i.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	err = cmd.Start()
	_ = out.Close()
	if err != nil {
		i.checker.addViolation("start %s: %v", i.name, err)
		return
	}
	i.running, i.exited, i.terminating = cmd.Process, make(chan struct{}), false
	i.incarnation++
	go i.watch(cmd, i.exited)
}

// watch reports a process that exits without SIGTERM or SIGKILL, since its open requests are lost.
func (i *instance) watch(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	expected := i.terminating
	i.mu.Unlock()
	if !expected {
		i.checker.addViolation("ENDS: %s ended by itself: %v; see its log", i.name, err)
	}
	close(exited)
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		i.terminating = true
		i.checkMemory()
	}
	if s == syscall.SIGTERM {
		time.AfterFunc(graceSeconds*time.Second, i.shutdowns.begin())
	}
	if i.running != nil {
		_ = i.running.Signal(s)
	}
}

// waitExit waits up to d for the process to exit and reports whether it did.
func (i *instance) waitExit(d time.Duration) bool {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// starts returns how often the process has been started.
func (i *instance) starts() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// process returns the ID of the newest process, 0 before the first, and how often it has been started.
func (i *instance) process() (pid, incarnation int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running == nil {
		return 0, i.incarnation
	}
	return i.running.Pid, i.incarnation
}

// close kills the process and closes the links.
func (i *instance) close() {
	i.signal(syscall.SIGKILL)
	i.signal(syscall.SIGCONT)
	i.waitExit(5 * time.Second)
	i.callers.close()
	i.store.close()
}
