package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// tailTimeout bounds the wait for the end of the body when a finished stream is closed, so that
// its connection can be reused.
const tailTimeout = 20 * time.Millisecond

// httpStream reads server-sent events from one connection.
type httpStream struct {
	response *response
	pool     *pool
	event    eventReader
	ended    bool
}

func newStream(resp *response, p *pool) *httpStream {
	return &httpStream{response: resp, pool: p, event: eventReader{r: bufio.NewReader(resp.body)}}
}

// Incarnation implements Stream.
func (s *httpStream) Incarnation() uint64 {
	return s.response.incarnation()
}

// ModelVersion implements Stream.
func (s *httpStream) ModelVersion() string {
	return string(s.response.header.Peek("X-Model-Version"))
}

// Next implements Stream.
func (s *httpStream) Next() (Piece, error) {
	p, err := s.event.next()
	if err == io.EOF {
		s.ended = true
		return Piece{}, io.EOF
	}
	if err != nil {
		return Piece{}, brokenError(err)
	}
	return p, nil
}

// Close implements Stream.
func (s *httpStream) Close() {
	if !s.ended {
		s.response.conn.drop()
		return
	}
	s.response.conn.readTimeout = tailTimeout
	if rest, err := io.Copy(io.Discard, io.LimitReader(s.event.r, maxLineBytes)); err != nil || rest == maxLineBytes {
		s.response.conn.drop()
		return
	}
	s.response.finish(s.pool)
}

// Events implements Observer. The stream is broken if neither an event nor a heartbeat is
// received within the client's read time-out.
func (c *Client) Events(ctx context.Context, after uint64, heartbeat time.Duration) (CacheEvents, error) {
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10) +
		"&heartbeat_ms=" + strconv.FormatInt(heartbeat.Milliseconds(), 10)
	resp, err := c.open(ctx, c.request(fasthttp.MethodGet, path, nil), true)
	if err != nil {
		return nil, err
	}
	return &cacheEvents{
		conn:        resp.conn,
		lines:       lineReader{r: bufio.NewReader(resp.body)},
		incarnation: resp.incarnation(),
	}, nil
}

// cacheEvents reads JSON lines; an empty line is a heartbeat.
type cacheEvents struct {
	conn        *conn
	lines       lineReader
	incarnation uint64
}

// Incarnation implements CacheEvents.
func (c *cacheEvents) Incarnation() uint64 { return c.incarnation }

// Next implements CacheEvents.
func (c *cacheEvents) Next() (CacheEvent, error) {
	line, err := c.lines.next()
	if err != nil {
		return CacheEvent{}, brokenError(err)
	}
	if len(line) == 0 {
		return CacheEvent{Incarnation: c.incarnation, Op: CacheHeartbeat}, nil
	}
	c.lines.finished()
	return parseCacheEvent(line)
}

func parseCacheEvent(line []byte) (CacheEvent, error) {
	var e CacheEvent
	if err := json.Unmarshal(line, &e); err != nil {
		return CacheEvent{}, fault.Wrap(err, fault.Broken, "check the engine's version", "decode a cache event")
	}
	switch e.Op {
	case CacheStore, CacheEvict, CacheClear:
		return e, nil
	}
	return CacheEvent{}, fault.New(fault.Broken, "check the engine's version", "unknown cache operation %q", e.Op)
}

// Close implements CacheEvents.
func (c *cacheEvents) Close() { c.conn.drop() }
