//go:build linux

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	callersHost = "desk.example"
	// maxBodyBytes and the other limits of the records are those of the users' pages.
	maxBodyBytes    = 4 << 20
	maxHeaderBytes  = 16 << 10
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
	// answerBytes is the size of an endpoint's answer to a request whose path asks for a large one.
	answerBytes = 256 << 10
	// hugeAnswerBytes is the same for one that is more than the kernel takes for a client that does not read.
	hugeAnswerBytes = 6 << 20
	// patience bounds each wait of a test. It is no requirement on the time that the program takes.
	patience = 90 * time.Second
)

// binary is the program under test, built once, without the race detector, which multiplies the memory.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "sardinedock")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/sardinedock").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of the program.
type process struct {
	t   testing.TB
	cmd *exec.Cmd
	log string
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startProcess starts the program with the given arguments, and with a limit of its descriptors if that is not 0.
func startProcess(t testing.TB, descriptors int, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), "process.log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, arguments...)
	if descriptors > 0 {
		p.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), binary}, arguments...)...)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = out.Close()
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// maxStarts bounds how often a process is started whose free ports others have bound first.
const maxStarts = 10

// startListening starts the program until it listens. prepare returns new addresses in the arguments, and that to wait for.
func startListening(t testing.TB, descriptors int, prepare func() (address string, arguments []string)) *process {
	t.Helper()
	for range maxStarts {
		address, arguments := prepare()
		if p := startProcess(t, descriptors, arguments...); p.listens(address) {
			return p
		}
	}
	t.Fatalf("no free ports in %d starts", maxStarts)
	return nil
}

// listens waits until the process listens at an address. It returns false if another process has bound one of its ports before.
func (p *process) listens(address string) bool {
	p.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.exited:
			if text, _ := os.ReadFile(p.log); bytes.Contains(text, []byte("address already in use")) {
				return false
			}
			p.alive()
		default:
		}
		if c, err := net.Dial("tcp4", address); err == nil {
			_ = c.Close()
			return true
		}
	}
	p.t.Fatalf("not listening in %v", patience)
	return false
}

// alive fails the test if the process has ended.
func (p *process) alive() {
	p.t.Helper()
	select {
	case <-p.exited:
		text, _ := os.ReadFile(p.log)
		p.t.Fatalf("the process has ended: %v\n%s", p.cmd.ProcessState, text[max(0, len(text)-4000):])
	default:
	}
}

// memory returns the process's resident size and its highest one so far, in bytes.
func (p *process) memory() (now, highest int64) {
	p.t.Helper()
	p.alive()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	field := func(name string) int64 {
		_, rest, _ := bytes.Cut(text, []byte("\n"+name+":"))
		words := strings.Fields(string(rest))
		kb, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			p.t.Fatal(err)
		}
		return kb << 10
	}
	return field("VmRSS"), field("VmHWM")
}

// descriptors returns how many descriptors the process has open.
func (p *process) descriptors() int {
	p.t.Helper()
	p.alive()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(list)
}

// checkMemory fails the test if the process has used more than memoryMb.
func (p *process) checkMemory(memoryMb int64) {
	p.t.Helper()
	now, highest := p.memory()
	p.t.Logf("resident: %d MB, at most %d MB of %d MB", now>>20, highest>>20, memoryMb)
	if highest > memoryMb<<20 {
		p.t.Errorf("the process used %d MB, and its machine has %d MB", highest>>20, memoryMb)
	}
}

// site is a store and endpoints with one hosted instance as a process.
type site struct {
	*process
	store              *platformtest.Store
	callers, forwarded string
	ready, metrics     string
	memoryMb           int64
	requests           atomic.Int64
	// release lets the endpoints answer the requests that they hold.
	release chan struct{}
}

// siteConfig is what tests choose. Zero values set no limit.
type siteConfig struct {
	memoryMb    int64
	descriptors int
}

// startSite starts a hosted instance with two plain endpoints, and waits until it serves an ordinary request.
func startSite(t *testing.T, cfg siteConfig) *site {
	t.Helper()
	store, err := platformtest.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	s := &site{store: store, memoryMb: cfg.memoryMb, release: make(chan struct{})}
	t.Cleanup(func() { close(s.release) })
	records := platformtest.Records(3, callersHost, "m")
	records["limits"] = map[string]any{
		"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": idleTimeoutMs,
	}
	store.Put("config", "main", records)
	for k := range 2 {
		id := fmt.Sprintf("orders-%d", k)
		e, err := platformtest.NewEndpoint(id, s.answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		store.Put("servers", id, e.Entry("orders", "ready", nil))
	}
	s.start(t, cfg)
	s.ordinary("at the start")
	return s
}

// start starts the process.
func (s *site) start(t *testing.T, cfg siteConfig) {
	t.Helper()
	s.process = startListening(t, cfg.descriptors, func() (string, []string) {
		listen := make([]string, 4)
		for k := range listen {
			listen[k] = freeAddress(t)
		}
		s.callers, s.ready, s.forwarded, s.metrics = listen[0], listen[1], listen[2], listen[3]
		settings := fmt.Sprintf("instance: front-1\ndata_centre: dc-1\nstore: %s\nfirst_start: true\nmemory_mb: %d\nlisten:\n  callers: %s\n  ready: %s\n  gossip: %s\n  metrics: %s\n"+
			"bounds:\n  grace_seconds: 4\n  lease_ms: 1000\n  retry_ratio: 0.2\n  retry_slack: 50\n  retry_window_seconds: 10\n  weights_ms: 8000\n  heartbeat_ms: 300\n",
			s.store.Address(), cfg.memoryMb, s.callers, s.ready, s.forwarded, s.metrics)
		file := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		return s.callers, []string{"host", "--settings", file}
	})
}

// answer is the endpoints' handler: requests whose path has "hold" are not answered before the test ends.
func (s *site) answer(x *platformtest.Exchange) bool {
	path := string(x.Request.URI().Path())
	switch {
	case strings.Contains(path, "hold"):
		<-s.release
		return false
	case strings.Contains(path, "large"):
		x.Answer(200, strings.Repeat("a", answerBytes))
	case strings.Contains(path, "huge"):
		x.Answer(200, strings.Repeat("a", hugeAnswerBytes))
	default:
		x.Answer(200, fmt.Sprint(len(x.Request.Body())))
	}
	return true
}

// head returns the head of a caller's request; fields are further lines of it.
func (s *site) head(method, path string, fields ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: id-%d\r\nSardinedock-Deadline-Ms: 20000\r\n", method, path, callersHost, s.requests.Add(1))
	for _, f := range fields {
		h += f + "\r\n"
	}
	return h + "\r\n"
}

// ordinary sends a small request as an ordinary caller does, again after a failure or a refusal, and fails the test if it is never
// answered.
func (s *site) ordinary(when string) {
	s.t.Helper()
	s.served(when, "a small body")
}

// served sends requests with the given body until one is answered by an endpoint that received all of it.
func (s *site) served(when, body string) {
	s.t.Helper()
	client := newClient(10 * time.Second)
	s.eventually(fmt.Sprintf("%s: a request with %d bytes is served", when, len(body)), func() error {
		req, err := http.NewRequest("POST", "http://"+s.callers+"/stock/x", strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		req.Host = callersHost
		req.Header.Set("Sardinedock-Request-Id", fmt.Sprintf("ordinary-%d", s.requests.Add(1)))
		req.Header.Set("Sardinedock-Deadline-Ms", "5000")
		text, err := answered(client, req)
		if err == nil && text != strconv.Itoa(len(body)) {
			err = fmt.Errorf("answer %q", text)
		}
		return err
	})
}

// readyOnce fails the test if the instance never reports that it is ready.
func (s *site) readyOnce(when string) {
	s.t.Helper()
	client := newClient(2 * time.Second)
	s.eventually(when+": ready", func() error {
		req, err := http.NewRequest("GET", "http://"+s.ready+"/", nil)
		if err == nil {
			_, err = answered(client, req)
		}
		return err
	})
}

// eventually tries until it succeeds, and fails the test if it never does or the process ends.
func (p *process) eventually(what string, try func() error) {
	p.t.Helper()
	var last error
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		p.alive()
		if last = try(); last == nil {
			return
		}
	}
	p.t.Fatalf("not within %v: %s; last: %v", patience, what, last)
}

// newClient returns a client that opens a connection for each request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// answered returns the body of a complete answer with status 200; all else is an error.
func answered(client *http.Client, req *http.Request) (body string, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %q", resp.Status, text)
	}
	return string(text), err
}

func freeAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
