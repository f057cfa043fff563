package objectapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// maxWatchLine bounds one change: the largest value in base64 and its envelope.
const maxWatchLine = 2*MaxValueBytes + 4096

// Watch reports the changes of a kind after version from, in order. It opens a
// connection of its own, so that a watch that went silent is checked by a
// connection that nothing in between can have forgotten. fault.Expired: list
// the kind again and watch from the list's version.
func (c *Client) Watch(ctx context.Context, kind string, from Version) (Watch, error) {
	k := call{op: "watch", method: fasthttp.MethodGet, path: fmt.Sprintf("/watch/%s?from=%d", url.PathEscape(kind), from)}
	if err := c.admit(ctx, k); err != nil {
		return nil, err
	}
	counter("calls", k.op).Inc()
	w, err := c.openWatch(ctx, k)
	c.observe(err)
	if err != nil {
		counter("failures", k.op).Inc()
		return nil, err
	}
	c.setWaiting(1)
	return w, nil
}

func (c *Client) setWaiting(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += change
	c.budget.SetWaiting(c.waiting)
}

func (c *Client) openWatch(ctx context.Context, k call) (Watch, error) {
	conn, err := dial(c.cfg.Address, c.cfg.Timeout)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the object API runs", "dial the object API")
	}
	w := &watch{conn: conn, silence: c.cfg.Silence, ended: func() { c.setWaiting(-1) }}
	w.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := w.start(c, k); err != nil {
		w.stop()
		_ = conn.Close()
		return nil, err
	}
	return w, nil
}

// watch reads JSON lines from one connection.
type watch struct {
	conn    net.Conn
	body    *bufio.Reader
	silence time.Duration
	line    []byte
	stop    func() bool
	once    sync.Once
	ended   func()
}

func (w *watch) start(c *Client, k call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, k)
	if err := w.conn.SetDeadline(time.Now().Add(c.cfg.Timeout)); err != nil {
		return watchBroken(err)
	}
	bw := bufio.NewWriter(w.conn)
	if err := errors.Join(req.Write(bw), bw.Flush()); err != nil {
		return watchBroken(err)
	}
	var header fasthttp.ResponseHeader
	br := bufio.NewReader(w.conn)
	if err := header.Read(br); err != nil {
		return watchBroken(err)
	}
	if err := statusFault(header.StatusCode(), k); err != nil {
		return err
	}
	w.body = br
	if header.ContentLength() < 0 {
		w.body = bufio.NewReader(httputil.NewChunkedReader(br))
	}
	return nil
}

func watchBroken(err error) error {
	return fault.Wrap(err, fault.Unavailable, "the watch is opened again from its last version", "watch of the object API")
}

// Next blocks for the next change. The caller opens a new watch from the last
// version it saw after any error.
func (w *watch) Next() (Object, error) {
	for {
		line, err := w.readLine()
		if err != nil {
			return Object{}, watchBroken(err)
		}
		if len(line) == 0 {
			continue
		}
		var obj Object
		if err := json.Unmarshal(line, &obj); err != nil {
			return Object{}, watchBroken(err)
		}
		return obj, nil
	}
}

// readLine returns the next line without its end. Heartbeats are empty lines.
func (w *watch) readLine() ([]byte, error) {
	w.line = w.line[:0]
	for {
		if err := w.conn.SetReadDeadline(time.Now().Add(w.silence)); err != nil {
			return nil, err
		}
		chunk, err := w.body.ReadSlice('\n')
		w.line = append(w.line, chunk...)
		if len(w.line) > maxWatchLine {
			return nil, fmt.Errorf("line of over %d bytes", maxWatchLine)
		}
		switch {
		case err == nil:
			return bytes.TrimRight(w.line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// Close ends the watch and unblocks Next.
func (w *watch) Close() {
	w.once.Do(func() {
		w.stop()
		_ = w.conn.Close()
		w.ended()
	})
}
