package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/internal/sockstate"
)

// unframedAnswer is an answer without framing that was begun on a caller's connection. How the connection ends is the only
// statement on whether such an answer is whole: in order if it is, with a reset if it is not (RFC 9112, section 8).
type unframedAnswer struct {
	request string
	// whole is set once all of the answer was written.
	whole bool
	// by and why describe who ended the answer; see endedBy.
	by  string
	why error
}

// Who ends an answer without framing, in log lines and metrics. An instance is the one that the request was forwarded to.
const (
	byEndpoint   = "endpoint"
	byInstance   = "instance"
	byCaller     = "caller"
	byDeadline   = "deadline"
	byShutdown   = "shutdown"
	bySlowReader = "slow reader"
)

// endedBy returns who has ended an answer that was read or written until err. cause is why the request was cancelled, nil
// if it was not.
func endedBy(err, cause error) string {
	switch cause = cmp.Or(cause, err); {
	case err == nil:
		return byEndpoint
	case errors.Is(cause, errReaderSlow), errors.Is(cause, errReaderStalled):
		return bySlowReader
	case errors.Is(cause, errTimeout):
		return byDeadline
	case errors.Is(cause, errAborted):
		return byShutdown
	case errors.Is(cause, errCallerDisconnected):
		return byCaller
	}
	var write *net.OpError
	if errors.As(err, &write) && write.Op == "write" {
		return byCaller
	}
	return byEndpoint
}

// How a connection with an answer without framing is closed, in log lines and metrics.
const (
	closedInOrder = "in order"
	// closedLater: in order, once the caller has read what was written.
	closedLater   = "in order, later"
	closedByReset = "reset"
)

func unframedClosed(end, by, closed string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_gateway_unframed_closed_total{end="` + end + `",by="` + by + `",closed="` + closed + `"}`)
}

// unframedBufferBytes is the size of a write of an unframed body; an event usually has a tenth of it.
const unframedBufferBytes = 2 << 10

// identityLength is the content length by which the HTTP library writes a header without framing.
const identityLength = -2

// writeUnframed writes an answer whose body ends with the connection. The HTTP library would add a length or
// chunks.
//
// It writes to the connection directly: the HTTP library has flushed the answers before this one, since it
// keeps no writer between two requests (ReduceMemoryUsage).
func (r *request) writeUnframed() {
	h := &r.ctx.Response.Header
	h.SetContentLength(identityLength)
	r.conn.beginUnframed(r.call.ID)
	_, err := r.conn.Write(h.Header())
	if err == nil {
		_, err = io.CopyBuffer(r.conn, r.unframed, make([]byte, unframedBufferBytes))
	}
	if closeErr := r.unframed.Close(); err == nil {
		err = closeErr
	}
	by := endedBy(err, cancelCause(r.reqCtx))
	if by == byEndpoint && len(r.forwardedTo) > 0 {
		by = byInstance
	}
	r.conn.endUnframed(err, by)
	r.ctx.HijackSetNoResponse(true)
	r.ctx.Hijack(closeHijacked)
}

// cancelCause returns why a request was cancelled before its end, nil if it was not.
func cancelCause(ctx context.Context) error {
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// closeHijacked ends a connection whose answer is written; the HTTP library closes it.
func closeHijacked(net.Conn) {}

// beginUnframed is called before an answer without framing is written. Until endUnframed states that it is whole, the end
// of the connection is a reset, also if the process is killed.
func (c *callerConn) beginUnframed(request string) {
	c.unframed.Store(&unframedAnswer{request: request, by: byEndpoint})
	c.resetOnClose(true)
}

// endUnframed states how the answer has ended: it is whole if err is nil.
func (c *callerConn) endUnframed(err error, by string) {
	a := &unframedAnswer{request: c.unframed.Load().request, whole: err == nil, by: by, why: err}
	c.unframed.Store(a)
	if a.whole {
		c.resetOnClose(false)
	}
}

// resetOnClose sets whether closing the connection resets it. The kernel closes the connections of a process that is killed
// in the same manner.
func (c *callerConn) resetOnClose(reset bool) {
	const abort, byDefault = 0, -1
	linger := byDefault
	if reset {
		linger = abort
	}
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok || tcp.SetLinger(linger) != nil {
		log.WithField("request", c.request).Error("connection of an answer without framing can't be reset; if truncated, it looks complete")
	}
}

// Close implements net.Conn. The HTTP server calls it after the last answer is written, or earlier
// if no request is being answered.
func (c *callerConn) Close() error {
	first := false
	c.closing.Do(func() {
		first = true
		c.open.Add(-1)
		c.conns.Remove(c)
	})
	closed, err := c.finish(first)
	if a := c.unframed.Load(); a != nil && first {
		a.logClosed(closed)
	}
	return err
}

// finish ends the connection, or has it ended once a slow caller has read the rest. No other place chooses between an orderly
// end and a reset.
func (c *callerConn) finish(first bool) (closed string, err error) {
	if a := c.unframed.Load(); a != nil && !a.whole {
		if c.sender != nil {
			c.sender.queue.Ended()
		}
		// The reset was requested by beginUnframed.
		return closedByReset, c.Conn.Close()
	}
	if first {
		c.linger()
	}
	if c.sender != nil && c.sender.drain() {
		return closedLater, nil
	}
	return closedInOrder, c.Conn.Close()
}

// logClosed writes the line on the end of the answer's connection.
func (a *unframedAnswer) logClosed(closed string) {
	end := "whole"
	if !a.whole {
		end = "broken"
	}
	unframedClosed(end, a.by, closed).Inc()
	f := log.Fields{"request": a.request, "end": end, "by": a.by, "closed": closed}
	if a.why != nil {
		f["why"] = a.why.Error()
	}
	log.WithFields(f).Info("connection of an answer without framing closed")
}

// linger reads and discards the unread rest of a refused request, or what follows after a request whose answer has no framing,
// until the caller closes the connection or lingerTimeout has passed.
//
// Without it, closing a connection with unread bytes, or one that receives more, resets it. The caller would get a connection
// error instead of the refusal, or treat the answer as truncated. In all other cases the reset has to be sent: it is how the caller
// learns that its next request, which was on its way when the connection ended, was not read. Beside many that linger, a further
// connection is reset too.
func (c *callerConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.unread.Load() && !c.reader.RestLeft() && !c.unreadAfterUnframed() || !c.conns.BeginLinger() {
		return
	}
	defer c.conns.EndLinger()
	if half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// Ends at the deadline or when the caller closes or resets the connection.
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// unreadAfterUnframed reports whether there are unread bytes after a request whose answer has no framing.
func (c *callerConn) unreadAfterUnframed() bool {
	received, _ := sockstate.Unread(c.Conn)
	return received > 0 && c.unframed.Load() != nil
}
