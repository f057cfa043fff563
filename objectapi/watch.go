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
	"github.com/sardinedock/sardinedock/internal/httphead"
)

// maxWatchLineBytes bounds the line of one change: the largest value in base64 and the other fields.
const maxWatchLineBytes = 2*MaxValueBytes + 4096

// Watch returns the changes of a kind after version from, in order. It opens a new connection, so
// that the watch that replaces an unresponsive one does not use a connection whose state a middlebox
// may have dropped. After an error of kind fault.Expired the caller has to list the kind again and
// watch from the listing's version.
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
	c.addWatches(1)
	return w, nil
}

// addWatches adds delta to the number of open watches.
func (c *Client) addWatches(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches += delta
	c.budget.SetOpenWatches(c.watches)
}

func (c *Client) openWatch(ctx context.Context, k call) (Watch, error) {
	conn, err := dial(c.cfg.Address, c.cfg.Timeout)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the object API runs", "dial the object API")
	}
	w := &watch{conn: conn, idleTimeout: c.cfg.WatchIdleTimeout, onClose: func() { c.addWatches(-1) }}
	w.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := w.start(c, k); err != nil {
		w.stop()
		_ = conn.Close()
		return nil, err
	}
	return w, nil
}

// watch reads changes, one JSON object per line, from one connection.
type watch struct {
	conn        net.Conn
	body        *bufio.Reader
	idleTimeout time.Duration
	line        []byte
	// unfinished counts the bytes since the last change, heartbeats included.
	unfinished int
	stop       func() bool
	once       sync.Once
	onClose    func()
}

// start sends the request and reads the header of the answer.
func (w *watch) start(c *Client, k call) error {
	if err := w.conn.SetDeadline(time.Now().Add(c.cfg.Timeout)); err != nil {
		return watchError(err)
	}
	if err := c.writeRequest(w.conn, k); err != nil {
		return watchError(err)
	}
	var header fasthttp.ResponseHeader
	br := bufio.NewReader(w.conn)
	if err := httphead.ReadResponse(br, &header); err != nil {
		return watchError(err)
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

// watchError wraps the error that ended a watch.
func watchError(err error) error {
	return fault.Wrap(err, fault.Unavailable, "none: the watch is reopened from its last version", "watch the object API")
}

// Next blocks until the next change and returns it. After any error the caller has to open a new
// watch from the last version that it received.
func (w *watch) Next() (Object, error) {
	for {
		line, err := w.readLine()
		if err != nil {
			return Object{}, watchError(err)
		}
		if len(line) == 0 {
			continue
		}
		w.unfinished = 0
		var obj Object
		if err := json.Unmarshal(line, &obj); err != nil {
			return Object{}, watchError(err)
		}
		return obj, nil
	}
}

// readLine returns the next line without its line break. Heartbeats are empty lines. It fails if
// nothing is received for idleTimeout.
func (w *watch) readLine() ([]byte, error) {
	w.line = w.line[:0]
	for {
		if err := w.conn.SetReadDeadline(time.Now().Add(w.idleTimeout)); err != nil {
			return nil, err
		}
		chunk, err := w.body.ReadSlice('\n')
		w.line = append(w.line, chunk...)
		if w.unfinished += len(chunk); w.unfinished > maxWatchLineBytes {
			return nil, fmt.Errorf("over %d bytes without the end of a change", maxWatchLineBytes)
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
		w.onClose()
	})
}
