package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	// readTries bounds the attempts of one read. Their pauses add up to less
	// than half a second, so that a caller hears of an outage soon.
	readTries = 3
	// retryPause is the pause before the first repetition; it doubles.
	retryPause = 50 * time.Millisecond
	// idleConnection bounds how long an unused connection is kept. Something
	// between the two ends may forget a connection that rests.
	idleConnection = 5 * time.Second
	// firstLimit and limitFactor shape the time of a call's first attempt:
	// so many times the usual time of an answer, and no less than the limit.
	firstLimit  = 300 * time.Millisecond
	limitFactor = 8
	// headerInstance names the caller to the object API's operators.
	headerInstance = "X-Instance"
)

// Config says how to reach the object API.
type Config struct {
	// Address is IP:port.
	Address string
	// Instance names this instance; it may be empty.
	Instance string
	// Timeout bounds one attempt of a call.
	Timeout time.Duration
	// Fleet is the part of the object API's rates that the whole fleet may
	// use. Zero fields mean no limit.
	Fleet Rates
	// Silence bounds how long a watch may bring nothing, not even a heartbeat;
	// 0 means three seconds, three heartbeats.
	Silence time.Duration
}

const (
	defaultSilence = 3 * time.Second
	// noLimit is a rate that nothing here can reach.
	noLimit = 1e9
)

// Client reaches the object API over HTTP and JSON. It counts every call and
// waiting watch against a budget, and keeps calls back during an outage.
type Client struct {
	cfg  Config
	http *fasthttp.HostClient

	mu      sync.Mutex
	budget  *Budget
	breaker Breaker
	waiting int
	// usual follows the time of answers: up at once, down slowly.
	usual time.Duration
}

// NewClient returns a client of the object API.
func NewClient(cfg Config) *Client {
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
	}
	if cfg.Fleet.Reads == 0 {
		cfg.Fleet.Reads = noLimit
	}
	if cfg.Fleet.Writes == 0 {
		cfg.Fleet.Writes = noLimit
	}
	return &Client{
		cfg:     cfg,
		breaker: Breaker{instances: assumedInstances},
		http: &fasthttp.HostClient{
			Addr:                      cfg.Address,
			Dial:                      func(addr string) (net.Conn, error) { return dial(addr, cfg.Timeout) },
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			MaxIdleConnDuration:       idleConnection,
			MaxResponseBodySize:       maxResponseBytes,
		},
		budget: NewBudget(cfg.Fleet),
	}
}

// maxResponseBytes bounds a listing: all records at the largest fleet are a
// few megabytes.
const maxResponseBytes = 64 << 20

// neverRetry keeps the HTTP library from repeating a call on its own: a
// repeated conditional write would report a conflict with itself.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// notSentError marks a call of which no byte has left.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// wasSent reports whether the object API may have seen the call.
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

// SetLiveInstances says how many instances share the object API's rates.
func (c *Client) SetLiveInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.SetInstances(n)
	c.breaker.SetInstances(n)
}

// Reachable reports whether the last calls were answered.
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

// Instances reads the list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) ([]InstanceEntry, error) {
	var list []InstanceEntry
	err := c.read(ctx, call{op: "instances", path: "/instances"}, &list)
	return list, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call is one call of the object API.
type call struct {
	// op labels the call's counters.
	op     string
	method string
	path   string
	body   []byte
	write  bool
	// limit bounds one attempt; 0 means Config.Timeout.
	limit time.Duration
}

// attemptLimit bounds an attempt. The first one may go out on a connection that
// something in between has forgotten: the call would notice nothing but silence
// until its timeout, though a new connection works. So the first is given up
// early, unless the object API has been slow of late.
func (c *Client) attemptLimit(try int) time.Duration {
	if try > 1 {
		return c.cfg.Timeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(limitFactor*c.usual, firstLimit), c.cfg.Timeout)
}

// answeredAfter takes the time of an answer into the usual one.
func (c *Client) answeredAfter(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usual = max(d, c.usual-c.usual/16)
}

// read repeats a read a few times. Reading twice harms nobody.
func (c *Client) read(ctx context.Context, k call, out any) error {
	k.method = fasthttp.MethodGet
	for try := 1; ; try++ {
		k.limit = c.attemptLimit(try)
		err := c.once(ctx, k, out)
		if err == nil || !retriable(err) || try == readTries || !c.Reachable() {
			return err
		}
		if pause(ctx, try) != nil {
			return err
		}
	}
}

// retriable reports whether another attempt may end otherwise.
func retriable(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.RateLimited)
}

// pause waits before the attempt after the given one.
func pause(ctx context.Context, try int) error {
	return clock.Sleep(ctx, jitter(retryPause<<(try-1), rand.Float64()))
}

// admit waits for the budget and asks the breaker.
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
		return fault.New(fault.RateLimited, "raise platform.reads_per_second or writes_per_second", "%s: over this instance's share of the object API", k.op)
	}
	if err := clock.Sleep(ctx, wait); err != nil {
		return fault.Wrap(err, fault.Unavailable, "allow the call more time", "%s", k.op)
	}
	return nil
}

// once makes one attempt.
func (c *Client) once(ctx context.Context, k call, out any) error {
	if k.limit == 0 {
		k.limit = c.cfg.Timeout
	}
	if err := c.admit(ctx, k); err != nil {
		return notSentError{err}
	}
	counter("calls", k.op).Inc()
	start := time.Now()
	err := c.exchange(ctx, k, out)
	if k.limit < c.cfg.Timeout && errors.Is(err, fasthttp.ErrTimeout) && ctx.Err() == nil {
		// An attempt that was given up early says nothing of the object API.
		counter("given_up_early", k.op).Inc()
		return err
	}
	c.observe(err)
	if err != nil {
		counter("failures", k.op).Inc()
		return err
	}
	c.answeredAfter(time.Since(start))
	return nil
}

// observe tells the breaker how an attempt ended.
func (c *Client) observe(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fault.Is(err, fault.Unavailable) {
		c.breaker.Failed(time.Now(), rand.Float64())
		return
	}
	c.breaker.Succeeded()
}

func (c *Client) exchange(ctx context.Context, k call, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, k)
	deadline := time.Now().Add(k.limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		// The other connections may have been forgotten by the same thing in
		// between, so the next attempt must not try them one after the other.
		c.http.CloseIdleConnections()
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = notSentError{err}
		}
		return fault.Wrap(err, fault.Unavailable, "check that the object API runs", "%s %s", k.method, k.path)
	}
	if err := statusFault(resp.StatusCode(), k); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fault.Wrap(err, fault.Unavailable, "check the object API's address", "decode %s %s", k.method, k.path)
	}
	return nil
}

func (c *Client) prepare(req *fasthttp.Request, k call) {
	req.SetRequestURI("http://" + c.cfg.Address + k.path)
	req.Header.SetMethod(k.method)
	if c.cfg.Instance != "" {
		req.Header.Set(headerInstance, c.cfg.Instance)
	}
	req.SetBodyRaw(k.body)
}

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

func counter(what, op string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_objectapi_%s_total{op=%q}", what, op))
}

// ClientDump is the client's part of the state dump.
type ClientDump struct {
	Reachable       bool    `json:"reachable"`
	WaitingWatches  int     `json:"waiting_watches"`
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
		WaitingWatches:  c.waiting,
		LiveInstances:   c.budget.instances,
		ReadsPerSecond:  c.budget.reads.rate,
		WritesPerSecond: c.budget.writes.rate,
	}
}
