package objectapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	// maxReadAttempts bounds the attempts of one read. The backoffs between them add up to less
	// than half a second, so that the caller soon gets the error of an outage.
	maxReadAttempts = 3
	// baseBackoff is the time before the first retry, before jitter. It doubles with each retry.
	baseBackoff = 50 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept. A middlebox on the path may drop the
	// state of an idle connection.
	maxIdleTime = 5 * time.Second
	// The timeout of a call's first attempt is latencyFactor times the recent response time, and
	// at least minFirstTimeout.
	minFirstTimeout = 300 * time.Millisecond
	latencyFactor   = 8
	// headerInstance carries the name of the calling instance, for the object API's operators.
	headerInstance = "X-Instance"
)

// Config configures a Client.
type Config struct {
	// Address is IP:port.
	Address string
	// Instance is the name of this instance; it may be empty.
	Instance string
	// Timeout bounds one attempt of a call.
	Timeout time.Duration
	// Fleet is the part of the object API's rates that the whole fleet may use. A rate of 0 means
	// no limit.
	Fleet Rates
	// WatchIdleTimeout is the time after which a watch fails if it receives neither a change nor a
	// heartbeat; 0 means 3 s, which is three heartbeats.
	WatchIdleTimeout time.Duration
}

const (
	defaultWatchIdleTimeout = 3 * time.Second
	// noLimit is a rate that is never reached.
	noLimit = 1e9
)

// Client implements Store over HTTP and JSON. It counts every call and open watch against a Budget,
// and holds calls back during an outage by a Breaker. It is safe for concurrent use.
type Client struct {
	cfg   Config
	relay *endpoint.Relay

	mu      sync.Mutex
	budget  *Budget
	breaker Breaker
	// watches is the number of open watches.
	watches int
	// latency estimates the response time. It rises at once and falls slowly.
	latency time.Duration
}

// NewClient returns a client of the object API.
func NewClient(cfg Config) *Client {
	if cfg.WatchIdleTimeout == 0 {
		cfg.WatchIdleTimeout = defaultWatchIdleTimeout
	}
	if cfg.Fleet.Reads == 0 {
		cfg.Fleet.Reads = noLimit
	}
	if cfg.Fleet.Writes == 0 {
		cfg.Fleet.Writes = noLimit
	}
	c := &Client{
		cfg:     cfg,
		breaker: Breaker{instances: assumedInstances},
		relay:   endpoint.NewRelay(cfg.Address, cfg.Timeout, maxIdleTime),
		budget:  NewBudget(cfg.Fleet),
	}
	// The time for a connection is not that of an attempt, which may be shorter.
	c.relay.SetDialer(func(_ context.Context, address string) (net.Conn, error) { return dial(address, cfg.Timeout) })
	c.relay.SetIntake(bufferlimit.NewIntake(answerBytes))
	return c
}

// answerBytes bounds the answers that are being received, in sum. A listing of all records of the largest fleet has a few megabytes.
const answerBytes = 64 << 20

// notSentError marks a call of which no byte was sent.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// wasSent reports whether the object API may have received the call.
func wasSent(err error) bool {
	var e notSentError
	return !errors.As(err, &e)
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, notSentError{err}
	}
	return conn, nil
}

// SetLiveInstances sets the number of instances that share the object API's rates.
func (c *Client) SetLiveInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.SetInstances(n)
	c.breaker.SetInstances(n)
}

// Reachable reports whether the object API has answered recent calls. It is false while the breaker
// is open.
func (c *Client) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.breaker.Open()
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var obj Object
	err := c.read(ctx, call{op: "get", path: objectPath(kind, name)}, &obj)
	return obj, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (Listing, error) {
	var l Listing
	err := c.read(ctx, call{op: "list", path: "/objects/" + url.PathEscape(kind)}, &l)
	return l, err
}

// Instances reads the list of live and leaving instances, see InstanceEntry.
func (c *Client) Instances(ctx context.Context) ([]InstanceEntry, error) {
	var list []InstanceEntry
	err := c.read(ctx, call{op: "instances", path: "/instances"}, &list)
	return list, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call is one call to the object API.
type call struct {
	// op labels the call's counters.
	op     string
	method string
	path   string
	body   []byte
	write  bool
	// timeout bounds one attempt; 0 means Config.Timeout.
	timeout time.Duration
}

// attemptTimeout returns the timeout of an attempt, numbered from 1. The first one may use a
// connection whose state a middlebox has dropped: the call would get no answer until Config.Timeout,
// though a new connection works. The first attempt therefore has a shorter timeout, unless the object
// API has answered slowly of late.
func (c *Client) attemptTimeout(try int) time.Duration {
	if try > 1 {
		return c.cfg.Timeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(latencyFactor*c.latency, minFirstTimeout), c.cfg.Timeout)
}

// recordLatency updates the latency estimate with one response time.
func (c *Client) recordLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = max(d, c.latency-c.latency/16)
}

// read makes up to maxReadAttempts attempts at a read, which is idempotent.
func (c *Client) read(ctx context.Context, k call, out any) error {
	k.method = fasthttp.MethodGet
	for try := 1; ; try++ {
		k.timeout = c.attemptTimeout(try)
		err := c.once(ctx, k, out)
		if err == nil || !retriable(err) || try == maxReadAttempts || !c.Reachable() {
			return err
		}
		if backoff(ctx, try) != nil {
			return err
		}
	}
}

// retriable reports whether another attempt may succeed.
func retriable(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.RateLimited)
}

// backoff waits before the retry that follows the given attempt.
func backoff(ctx context.Context, try int) error {
	return clock.Sleep(ctx, jitter(baseBackoff<<(try-1), rand.Float64()))
}

// admit waits until the budget allows the call. It fails if the breaker is open or the wait would be
// too long.
func (c *Client) admit(ctx context.Context, k call) error {
	limit := c.cfg.Timeout
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	c.mu.Lock()
	take := c.budget.TakeRead
	if k.write {
		take = c.budget.TakeWrite
	}
	if !c.breaker.Allow(time.Now()) {
		c.mu.Unlock()
		counter("kept_back", k.op).Inc()
		return fault.New(fault.Unavailable, "wait until the object API answers again", "%s: the object API is down", k.op)
	}
	wait, ok := take(time.Now(), limit)
	c.mu.Unlock()
	if !ok {
		counter("over_budget", k.op).Inc()
		return fault.New(fault.RateLimited, "raise platform.reads_per_second or writes_per_second", "%s: over this instance's share of the object API's rate", k.op)
	}
	if err := clock.Sleep(ctx, wait); err != nil {
		return fault.Wrap(err, fault.Unavailable, "allow the call more time", "%s", k.op)
	}
	return nil
}

// once makes one attempt. Its error is a notSentError if the call was not admitted.
func (c *Client) once(ctx context.Context, k call, out any) error {
	if k.timeout == 0 {
		k.timeout = c.cfg.Timeout
	}
	if err := c.admit(ctx, k); err != nil {
		return notSentError{err}
	}
	counter("calls", k.op).Inc()
	start := time.Now()
	err := c.exchange(ctx, k, out)
	if k.timeout < c.cfg.Timeout && errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// A timeout this short does not show that the object API is down, so it does not count
		// for the breaker.
		counter("given_up_early", k.op).Inc()
		return err
	}
	c.observe(err)
	if err != nil {
		counter("failures", k.op).Inc()
		return err
	}
	c.recordLatency(time.Since(start))
	return nil
}

// observe reports the result of an attempt to the breaker.
func (c *Client) observe(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fault.Is(err, fault.Unavailable) {
		c.breaker.Failed(time.Now(), rand.Float64())
		return
	}
	c.breaker.Succeeded()
}

// exchange sends one request and decodes the response into out, unless that is nil. The error is a context.DeadlineExceeded if the time
// for the call is over.
func (c *Client) exchange(ctx context.Context, k call, out any) error {
	deadline := time.Now().Add(k.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	var text bytes.Buffer
	if err := c.writeRequest(&text, k); err != nil {
		return notSentError{fault.Wrap(err, fault.Internal, "report it", "encode %s %s", k.method, k.path)}
	}
	status, body, err := c.relay.RoundTrip(callCtx, endpoint.Outgoing{Head: text.Bytes()}, nil)
	if err != nil {
		// The same middlebox may have dropped the state of the other idle connections, so the
		// next attempts must not try them one after the other.
		c.relay.Close()
		if fault.Is(err, fault.Unavailable) {
			err = notSentError{err}
		}
		return fault.Wrap(errors.Join(err, callCtx.Err()), fault.Unavailable, "check that the object API runs", "%s %s", k.method, k.path)
	}
	if err := statusFault(status, k); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(err, fault.Unavailable, "check the object API's address", "decode %s %s", k.method, k.path)
	}
	return nil
}

// writeRequest writes the request of a call.
func (c *Client) writeRequest(w io.Writer, k call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.cfg.Address + k.path)
	req.Header.SetMethod(k.method)
	if c.cfg.Instance != "" {
		req.Header.Set(headerInstance, c.cfg.Instance)
	}
	req.SetBodyRaw(k.body)
	bw := bufio.NewWriter(w)
	return errors.Join(req.Write(bw), bw.Flush())
}

// statusFault returns the error for a status of the object API, or nil for 200.
func statusFault(status int, k call) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return fault.New(fault.NotFound, "create the object first", "%s %s: no such object", k.method, k.path)
	case fasthttp.StatusConflict:
		return fault.New(fault.Conflict, "read the object again and repeat the change", "%s %s: version changed", k.method, k.path)
	case fasthttp.StatusGone:
		return fault.New(fault.Expired, "list the kind again", "%s %s: version too old", k.method, k.path)
	case fasthttp.StatusTooManyRequests:
		return fault.New(fault.RateLimited, "lower platform.reads_per_second and writes_per_second", "%s %s: rate exceeded", k.method, k.path)
	case fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusBadRequest:
		return fault.New(fault.Invalid, "write a smaller or well-formed value", "%s %s: status %d", k.method, k.path, status)
	}
	return fault.New(fault.Unavailable, "check that the object API runs", "%s %s: status %d", k.method, k.path, status)
}

// counter returns the counter of an event of calls of the operation op.
func counter(event, op string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_objectapi_%s_total{op=%q}", event, op))
}

// ClientDump is the client's part of an instance's state dump.
type ClientDump struct {
	Reachable       bool    `json:"reachable"`
	OpenWatches     int     `json:"waiting_watches"`
	LiveInstances   int     `json:"live_instances"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Dump returns the client's state.
func (c *Client) Dump() ClientDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientDump{
		Reachable:       !c.breaker.Open(),
		OpenWatches:     c.watches,
		LiveInstances:   c.budget.instances,
		ReadsPerSecond:  c.budget.reads.rate,
		WritesPerSecond: c.budget.writes.rate,
	}
}
