//go:build linux

package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// shortLength sends a request with a length up to its last byte.
func shortLength(s *site, c *client) {
	c.send(s.head("POST", "/stock/x", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
	c.sendBytes(almostAll, almostAll, "", "")
}

// Guards against a crowd that comes back as soon as it is closed.
func TestCrowdThatReconnectsStaysWithinTheMemory(t *testing.T) {
	const rounds = 20
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	again := func(c *client) {
		for range rounds {
			buf := make([]byte, 4096)
			for {
				// Ends when the program closes the connection, or the crowd leaves.
				if _, err := c.Read(buf); err != nil {
					break
				}
			}
			select {
			case <-c.stop:
				return
			default:
			}
			_ = c.Close()
			conn, err := net.DialTimeout("tcp4", s.callers, patience)
			if err != nil {
				return
			}
			c.Conn = conn
			_ = conn.SetDeadline(time.Now().Add(patience))
			shortLength(s, c)
		}
	}
	s.play(crowdCase{"", shortLength, again}, crowdSize)
}

// Guards against requests of other instances that are read without a bound.
func TestForwardedBodiesStayWithinTheMemory(t *testing.T) {
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	// Connections are taken from the addresses of listed instances. This one doesn't run.
	s.store.Put("instances", "front-9", map[string]any{"gossip": "127.0.0.1:9", "data_centre": "dc-1"})
	s.forwards()
	c := newCrowd(t, s.forwarded, crowdSize, func(c *client) {
		c.send(s.head("POST", "/stock/x", "Sardinedock-Forward: 3,1,front-9", fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		c.sendBytes(almostAll, almostAll, "", "")
	}, (*client).hold)
	c.arrived()
	s.ordinary("beside the crowd")
	c.leave()
	s.ordinary("after the crowd")
	s.checkMemory(memoryMb)
}

// forwards waits until requests that another instance forwards are answered.
func (s *site) forwards() {
	s.t.Helper()
	client := newClient(patience)
	s.eventually("a forwarded request is served", func() error {
		req, _ := http.NewRequest("GET", "http://"+s.forwarded+"/stock/x", nil)
		req.Host = callersHost
		for name, value := range map[string]string{"Sardinedock-Request-Id": fmt.Sprintf("forwarded-%d", s.requests.Add(1)), "Sardinedock-Forward": "3,1,front-9", "Sardinedock-Deadline-Ms": "5000"} {
			req.Header.Set(name, value)
		}
		_, err := answered(client, req)
		return err
	})
}

// Guards against bodies at the addresses of readiness and metrics, which read none.
func TestBodiesAtReadinessAndMetricsStayWithinTheMemory(t *testing.T) {
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	for _, address := range []string{s.ready, s.metrics} {
		c := newCrowd(t, address, crowdSize, shortBody(s), (*client).hold)
		c.arrived()
		s.ordinary("beside the crowd")
		s.readyOnce("beside the crowd")
		c.leave()
	}
	s.checkMemory(memoryMb)
}

func shortBody(s *site) func(*client) { return func(c *client) { shortLength(s, c) } }

// Guards against a process that does not end while clients send bodies.
func TestProcessEndsAmidACrowd(t *testing.T) {
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	c := newCrowd(t, s.callers, crowdSize, shortBody(s), (*client).hold)
	c.arrived()
	s.checkMemory(memoryMb)
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-s.exited:
	case <-time.After(patience):
		t.Fatalf("the process has not ended %v after SIGTERM", patience)
	}
	if code := s.cmd.ProcessState.ExitCode(); code < 0 {
		t.Errorf("the process was ended: %v", s.cmd.ProcessState)
	}
}

// Guards against limits of new records that don't hold for bodies on their way.
func TestRecordsWithOtherLimitsAmidACrowd(t *testing.T) {
	s := startSite(t, siteConfig{memoryMb: memoryMb})
	c := newCrowd(t, s.callers, crowdSize, shortBody(s), (*client).hold)
	c.arrived()
	records := platformtest.Records(4, callersHost, "m")
	const lowered = 64 << 10
	records["limits"] = map[string]any{
		"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": lowered, "headerTimeoutMs": headerTimeoutMs, "idleTimeoutMs": idleTimeoutMs,
	}
	s.store.Put("config", "main", records)
	_ = s.cmd.Process.Signal(syscall.SIGHUP)
	s.ordinary("beside the crowd")
	c.leave()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	status := 0
	for until := time.Now().Add(patience); status != http.StatusRequestEntityTooLarge; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("a body over the new limit: status %d, want %d", status, http.StatusRequestEntityTooLarge)
		}
		req, _ := http.NewRequest("POST", "http://"+s.callers+"/stock/x", strings.NewReader(strings.Repeat("b", 2*lowered)))
		req.Host = callersHost
		req.Header.Set("Sardinedock-Request-Id", fmt.Sprintf("over-%d", s.requests.Add(1)))
		if resp, err := client.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
	}
	s.served("a body at the new limit", strings.Repeat("b", lowered))
	s.checkMemory(memoryMb)
}

// Guards against bodies at the router's own interface that are held without a bound in sum.
func TestBodiesAtTheOwnInterfaceStayWithinTheMemory(t *testing.T) {
	const (
		// bodyBytes is the default of limits.body_bytes.
		bodyBytes = 8 << 20
		size      = 64
		// boundMb is the default memory of requests, as much again by half for garbage, and the program.
		boundMb = 256 + 128 + 64
	)
	callers, process := startOwnInterface(t)
	for _, tt := range []struct {
		name string
		send func(*client)
	}{
		{"length", func(c *client) {
			c.send(ownHead(fmt.Sprintf("Content-Length: %d", bodyBytes)))
			c.sendBytes(bodyBytes-1, bodyBytes-1, "", "")
		}},
		{"chunks", func(c *client) {
			c.send(ownHead("Transfer-Encoding: chunked"))
			c.sendBytes(bodyBytes-1, 64<<10, "10000\r\n", "\r\n")
		}},
	} {
		c := newCrowd(t, callers, size, tt.send, (*client).hold)
		c.arrived()
		ownOrdinary(t, process, callers)
		c.leave()
		ownOrdinary(t, process, callers)
		t.Log(tt.name)
		process.checkMemory(boundMb)
	}
}

func ownHead(field string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kumasi-key\r\n" + field + "\r\n\r\n"
}

// startOwnInterface starts emulated endpoints and one instance with the router's own interface.
func startOwnInterface(t *testing.T) (callers string, p *process) {
	t.Helper()
	const examples = "../examples/kwabena/"
	text, err := os.ReadFile(examples + "records.yaml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	records, settings := filepath.Join(dir, "records.yaml"), filepath.Join(dir, "settings.yaml")
	// Other tests, another run of this one and a reader of README.md use the same ports at other addresses.
	pid := os.Getpid()
	moved := strings.ReplaceAll(string(text), "127.0.0.1", fmt.Sprintf("127.%d.%d.71", 1+pid/250%250, pid%250))
	if err := os.WriteFile(records, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	store := ""
	startListening(t, 0, func() (string, []string) {
		store = freeAddress(t)
		return store, []string{"emulate", "--records", records, "--store", store}
	})
	p = startListening(t, 0, func() (string, []string) {
		callers = freeAddress(t)
		lines := fmt.Sprintf("fleet: kwabena\ninstance: entry-1\ndata_centre: accra-1\nlisten:\n  callers: %s\n  admin: %s\n  fleet: %s\nplatform:\n  address: %s\n",
			callers, freeAddress(t), freeAddress(t), store)
		if err := os.WriteFile(settings, []byte(lines), 0o600); err != nil {
			t.Fatal(err)
		}
		return callers, []string{"serve", "--settings", settings}
	})
	ownOrdinary(t, p, callers)
	return callers, p
}

// ownOrdinary sends a small request to the router's own interface until one is answered.
func ownOrdinary(t *testing.T, p *process, callers string) {
	t.Helper()
	client := newClient(10 * time.Second)
	p.eventually("an ordinary request is served", func() error {
		req, err := http.NewRequest("POST", "http://"+callers+"/v1/completions", strings.NewReader(`{"model":"counter","prompt":"ten anchors","max_tokens":2}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer kumasi-key")
		_, err = answered(client, req)
		return err
	})
}
