package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	surgeInstances = 3
	// The first instance has a fifth of a processor: it is stopped for the rest of each period.
	surgePeriod, surgeRun = 20 * time.Millisecond, 4 * time.Millisecond
	surgeShare            = 0.9
	surgeWork             = 15 * time.Millisecond
	surgePatience         = 1500 * time.Millisecond
	// surgeDial is how long callers wait for a connection.
	surgeDial   = time.Second
	surgeLength = 5 * time.Second
)

// surgeCounts are the outcomes of the connections to the slow instance.
type surgeCounts struct {
	mu                                    sync.Mutex
	sent, served, closed, refused, failed int
}

// BenchmarkSurge measures what callers of an instance with a fifth of a processor get while nine tenths of all new
// connections go there, one for each request: served in time, of those that were not closed unread, and the share closed.
func BenchmarkSurge(b *testing.B) {
	b.Setenv("GOMAXPROCS", "1")
	binary := build(b)
	for _, rate := range []int{50, 200, 800, 3000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				c := playSurge(b, binary, rate)
				read := c.sent - c.closed
				b.ReportMetric(float64(c.served)/float64(max(read, 1)), "served/read")
				b.ReportMetric(float64(c.closed)/float64(c.sent), "closed/sent")
				b.ReportMetric(float64(c.served)/surgeLength.Seconds(), "served/s")
				b.Logf("sent %d, served %d, closed unread %d, refused %d, failed or late %d", c.sent, c.served, c.closed, c.refused, c.failed)
			}
		})
	}
}

// playSurge sends rate requests a second to the slow instance for surgeLength.
func playSurge(tb testing.TB, binary string, rate int) *surgeCounts {
	store, err := platformtest.NewStore()
	if err != nil {
		tb.Fatal(err)
	}
	defer store.Close()
	for k := range 6 {
		e, err := platformtest.NewEndpoint(fmt.Sprintf("e%d", k), func(x *platformtest.Exchange) bool {
			time.Sleep(surgeWork)
			x.Answer(http.StatusOK, string(make([]byte, 800)))
			return true
		})
		if err != nil {
			tb.Fatal(err)
		}
		defer e.Close()
		entry := e.Entry("orders", "ready", nil)
		entry["slots"] = 1024
		store.Put("servers", e.ID, entry)
	}
	store.Put("config", "main", platformtest.Records(1, "desk.example", model))
	var instances []*instance
	for n := range surgeInstances {
		i := newInstance(tb, n, binary, tb.TempDir(), store.Address(), retryRatioOf(0), newChecker())
		instances = append(instances, i)
		i.start()
		defer i.close()
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { throttle(instances[0], stop) })
	c := &surgeCounts{}
	began := time.Now()
	for n := 0; time.Since(began) < surgeLength; n++ {
		wg.Go(func() { c.call(instances[0].listen[0], n) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / time.Duration(rate))))
	}
	time.Sleep(surgePatience)
	close(stop)
	wg.Wait()
	return c
}

// throttle has a process run for surgeRun in each surgePeriod.
func throttle(i *instance, stop chan struct{}) {
	defer i.signal(syscall.SIGCONT)
	for {
		i.signal(syscall.SIGSTOP)
		time.Sleep(surgePeriod - surgeRun)
		i.signal(syscall.SIGCONT)
		time.Sleep(surgeRun)
		select {
		case <-stop:
			return
		default:
		}
	}
}

// call sends one request over a new connection.
func (c *surgeCounts) call(address string, n int) {
	result := surgeCall(address, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	*map[surgeResult]*int{surgeServed: &c.served, surgeClosed: &c.closed, surgeRefused: &c.refused, surgeFailed: &c.failed}[result]++
}

type surgeResult int

const (
	surgeServed surgeResult = iota
	// surgeClosed: the connection was refused or reset without an answer.
	surgeClosed
	surgeRefused
	surgeFailed
)

func surgeCall(address string, n int) surgeResult {
	conn, err := net.DialTimeout("tcp4", address, surgeDial)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			return surgeClosed
		}
		return surgeFailed
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(surgePatience))
	_, err = fmt.Fprintf(conn, "GET /stock/%d HTTP/1.1\r\nHost: desk.example\r\nSardinedock-Request-Id: surge-%d\r\nSardinedock-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", n, n, surgePatience.Milliseconds())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return surgeClosed
	case err != nil:
		return surgeFailed
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return surgeFailed
	case resp.StatusCode != http.StatusOK:
		return surgeRefused
	}
	return surgeServed
}
