package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// lab runs the stand-ins and the processes of one scenario.
type lab struct {
	binary  string
	trouble bool
	dir     string
	wire    map[string]string
	store   *platformtest.Store
	began   time.Time

	// closed is set once close was called.
	closed atomic.Bool
	// resumed counts the streams that went on at a server.
	resumed atomic.Int64

	mu        sync.Mutex
	log       *os.File
	processes []*process
	nextID    int
}

func newLab(binary, wire, recordFile string, trouble bool) (*lab, error) {
	data, err := os.ReadFile(wire)
	if err != nil {
		return nil, err
	}
	l := &lab{binary: binary, trouble: trouble, began: time.Now()}
	if err := json.Unmarshal(data, &l.wire); err != nil {
		return nil, err
	}
	if l.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	if l.log, err = os.Create(recordFile); err == nil {
		l.store, err = platformtest.NewStore()
	}
	if err != nil {
		_ = os.RemoveAll(l.dir)
	}
	return l, err
}

// record writes a line to the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.log, "%9.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder. No process starts afterwards.
func (l *lab) close() {
	l.closed.Store(true)
	for _, p := range l.processes {
		p.kill()
	}
	l.store.Close()
	_ = os.RemoveAll(l.dir)
}

// id returns a new request ID.
func (l *lab) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), l.nextID)
}

// process is one instance of the program under test.
type process struct {
	lab      *lab
	name     string
	callers  string
	ready    string
	metrics  string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool
	// ends counts the ends of the process that nobody asked for.
	ends int
	log  *os.File

	// kernelBytes, if set, returns what the kernel holds for the process and counts as its memory.
	kernelBytes func() int64
	// peakMb is the most memory that limitMemory has seen, overMemory how often it has ended the process.
	peakMb     float64
	overMemory atomic.Int64
}

// The ports of processes are below the system's ephemeral range, from which connections get theirs.
const firstPort, lastPort = 12000, 30000

// freeAddresses returns n loopback addresses that are free now, for TCP and UDP.
func freeAddresses(n int) (list []string, err error) {
	for tries := 0; len(list) < n; tries++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp4", address)
		if err == nil {
			defer func() { _ = ln.Close() }()
			var packets net.PacketConn
			if packets, err = net.ListenPacket("udp4", address); err == nil {
				defer func() { _ = packets.Close() }()
				list = append(list, address)
			}
		}
		if err != nil && tries > lastPort-firstPort {
			return nil, err
		}
	}
	return list, nil
}

// instance prepares instance number n.
func (l *lab) instance(n, memoryMb int) (*process, error) {
	p := &process{lab: l, name: fmt.Sprintf("front-hall-%d", n)}
	listen, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	p.callers, p.ready, p.metrics = listen[0], listen[1], listen[3]
	// As in deploy/settings.yaml.
	text := fmt.Sprintf("instance: %s\ndata_centre: hall\nstore: %s\nlink_mbps: 1000\nmemory_mb: %d\nfirst_start: true\n"+
		"listen:\n  callers: %s\n  ready: %s\n  gossip: %s\n  metrics: %s\n"+
		"bounds:\n  grace_seconds: 8\n  lease_ms: 3000\n  retry_ratio: 0.2\n  retry_slack: 56\n  retry_window_seconds: 10\n  weights_ms: 8000\n  heartbeat_ms: 1200\n",
		p.name, l.store.Address(), memoryMb, listen[0], listen[1], listen[2], listen[3])
	p.settings = filepath.Join(l.dir, p.name+".yaml")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(l.dir, p.name+".log")); err != nil {
		return nil, err
	}
	l.processes = append(l.processes, p)
	return p, nil
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lab.closed.Load() {
		return errors.New("the scenario has ended")
	}
	p.cmd = exec.Command(p.lab.binary, "host")
	p.cmd.Env = append(os.Environ(), "SARDINEDOCK_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.wanted = true
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.wanted {
			p.ends++
			p.lab.record("%s ended by itself: %v", p.name, err)
		}
		p.wanted = false
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal; one that ends the process is expected to.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = false
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// endedByItself returns how often the process has ended without a signal.
func (p *process) endedByItself() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// awaitReady waits until the process reports that it is ready.
func (p *process) awaitReady(d time.Duration) error {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if p.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", p.name, d)
}

func (p *process) isReady() bool {
	a := exchange(p.ready, []byte("GET "+p.lab.wire["ready"]+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), time.Second)
	return a.status == 200
}

// memory returns a line of the process's status, in MB.
func (p *process) memory(field string) float64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return n / 1024
		}
	}
	return 0
}

// reply is what a client received on a connection.
type reply struct {
	status int
	raw    []byte
	err    error
}

// exchange sends bytes on a new connection and reads until the other side closes it.
func exchange(address string, request []byte, d time.Duration) reply {
	return exchangeEvents(address, request, d, func() {})
}

// exchangeEvents is exchange, and calls begun once an event has been received.
func exchangeEvents(address string, request []byte, d time.Duration, begun func()) (a reply) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(d))
	go func() { _, _ = c.Write(request) }()
	buf, seen := make([]byte, 64<<10), false
	for {
		n, err := c.Read(buf)
		a.raw = append(a.raw, buf[:n]...)
		if !seen && bytes.Contains(a.raw, []byte("data:")) {
			seen = true
			begun()
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.status = statusOf(a.raw)
	return a
}

func statusOf(raw []byte) int {
	if len(raw) < 12 {
		return 0
	}
	n, _ := strconv.Atoi(string(raw[9:12]))
	return n
}

// request returns the text of a request; header are further lines.
func (l *lab) request(method, path, id string, deadline time.Duration, body []byte, header ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, path, host, l.wire["id"], id, l.wire["deadline"], deadline.Milliseconds(), l.wire["key"])
	for _, line := range header {
		b.WriteString(line + "\r\n")
	}
	if len(body) > 0 || method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

const (
	host  = "desk.example"
	model = "m0"
)
