package emulator_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/objectapi"
)

func startStore(t *testing.T, cfg emulator.StoreConfig) *emulator.Store {
	t.Helper()
	s, err := emulator.StartStoreWith("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// call returns the status and the body of the response. The status is 0 if there was no response.
func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text := &strings.Builder{}
	_, _ = bufio.NewReader(resp.Body).WriteTo(text)
	return resp.StatusCode, text.String()
}

func putURL(s *emulator.Store, name string, expected objectapi.Version) string {
	return fmt.Sprintf("http://%s/objects/claims/%s?expected=%d", s.Addr(), name, expected)
}

// Two writers race for one object. Only one of them may succeed, or two instances would both own a
// claim and send its request.
func TestConditionalWrites(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{})
	steps := []struct {
		method   string
		expected objectapi.Version
		status   int
	}{
		{"PUT", 0, 200}, {"PUT", 0, 409}, {"PUT", 1, 200}, {"PUT", 1, 409},
		{"DELETE", 1, 409}, {"DELETE", 2, 200}, {"DELETE", 2, 404}, {"PUT", 0, 200},
	}
	for i, step := range steps {
		if status, _ := call(t, step.method, putURL(s, "a", step.expected), `{"attempt":"x"}`); status != step.status {
			t.Fatalf("step %d: status %d, want %d", i, status, step.status)
		}
	}
}

// A write takes effect and its response is lost. A caller that takes this for a failed write would
// write, or send a request, a second time.
func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{})
	s.SetFaults(emulator.StoreFaults{LoseNext: 1})
	if status, _ := call(t, "PUT", putURL(s, "a", 0), `{"attempt":"x"}`); status != 0 {
		t.Fatalf("status %d, want no response", status)
	}
	if obj, ok := s.Object("claims", "a"); !ok || obj.Attempt != "x" {
		t.Fatalf("object %+v %v, want the written object", obj, ok)
	}
	if status, _ := call(t, "PUT", putURL(s, "b", 0), `{}`); status != 200 {
		t.Fatalf("status %d of the write after the lost response", status)
	}
}

// Calls during an outage and calls above the rate limit must get different status codes.
func TestOutageAndRateLimitStatusCodes(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{ReadsPerSecond: 0.5})
	url := "http://" + s.Addr() + "/objects/claims"
	if status, _ := call(t, "GET", url, ""); status != 429 {
		t.Fatalf("status %d above the rate limit", status)
	}
	control := "http://" + s.Addr() + "/control/faults"
	if status, _ := call(t, "POST", control, `{"outage":"refuse"}`); status != 200 {
		t.Fatalf("control: status %d", status)
	}
	if status, _ := call(t, "PUT", putURL(s, "a", 0), `{}`); status != 503 {
		t.Fatalf("status %d during an outage", status)
	}
	want := emulator.StoreCounts{Reads: 1, Writes: 1, RateLimited: 1, Refused: 1}
	if got := s.Counts(); got != want {
		t.Fatalf("counts %+v, want %+v", got, want)
	}
}

func TestWatchDeliversChangesInOrder(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{History: 3, Heartbeat: time.Millisecond})
	from := s.Set("claims", "a", nil)
	resp, err := http.Get(fmt.Sprintf("http://%s/watch/claims?from=%d", s.Addr(), from))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	s.Set("other", "a", nil)
	s.Set("claims", "b", []byte("v"))
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var obj objectapi.Object
		if err := json.Unmarshal(lines.Bytes(), &obj); err != nil {
			t.Fatal(err)
		}
		if obj.Name != "b" || obj.Version != from+2 || string(obj.Value) != "v" {
			t.Fatalf("got %+v", obj)
		}
		break
	}
	s.Set("claims", "c", nil)
	s.Set("claims", "d", nil)
	if status, _ := call(t, "GET", fmt.Sprintf("http://%s/watch/claims?from=0", s.Addr()), ""); status != 410 {
		t.Fatalf("status %d for a compacted version", status)
	}
}

// The platform's instance list is stale for a while, for example after an instance was replaced.
func TestInstanceListLags(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{ListLag: time.Hour})
	s.SetInstances([]objectapi.InstanceEntry{{Name: "entry-1"}})
	if _, body := call(t, "GET", "http://"+s.Addr()+"/instances", ""); body != "[]" {
		t.Fatalf("list %s, want an empty one until the lag has passed", body)
	}
}

// The platform's process stops and restarts on the same address with all stored objects. In
// between, connections are refused at once.
func TestDownAndUp(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{})
	s.Set("claims", "a", nil)
	url := "http://" + s.Addr() + "/objects/claims/a"
	for range 3 {
		if err := s.Down(); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial: %v, want refused", err)
		}
		if err := s.Up(); err != nil {
			t.Fatal(err)
		}
		if status, _ := call(t, "GET", url, ""); status != 200 {
			t.Fatalf("status %d after the restart", status)
		}
	}
}

// Objects of other kinds change all the time while the watched kind does not. The reader must still
// get heartbeats, or it would open the watch again and again.
func TestHeartbeatsContinueDuringOtherChanges(t *testing.T) {
	s := startStore(t, emulator.StoreConfig{Heartbeat: 20 * time.Millisecond})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				s.Set("other", "a", nil)
			}
		}
	}()
	resp, err := http.Get("http://" + s.Addr() + "/watch/claims?from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	beats := bufio.NewReader(resp.Body)
	for range 5 {
		if line, err := beats.ReadString('\n'); err != nil || line != "\n" {
			t.Fatalf("line %q: %v", line, err)
		}
	}
}
