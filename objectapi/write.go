package objectapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// maxWriteAttempts bounds the attempts of one conditional write. All carry the same attempt ID and
// expected version, so a retry cannot take effect a second time.
const maxWriteAttempts = 3

// NewAttempt returns a random ID that identifies one write.
func NewAttempt() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Put writes an object if its stored version equals expected. It sets obj.Attempt if that is empty.
// After a lost reply it reads the object back and compares the attempt ID to find out whether the
// write took effect. An error of kind fault.Unknown means that the write may have taken effect or may
// still do so; any other error means that it did not.
func (c *Client) Put(ctx context.Context, obj Object, expected Version) (Version, error) {
	if obj.Attempt == "" {
		obj.Attempt = NewAttempt()
	}
	body, err := json.Marshal(obj)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "report the object", "encode %s/%s", obj.Kind, obj.Name)
	}
	k := call{
		op:     "put",
		method: fasthttp.MethodPut,
		path:   fmt.Sprintf("%s?expected=%d", objectPath(obj.Kind, obj.Name), expected),
		body:   body,
		write:  true,
	}
	w := pendingPut{client: c, call: k, obj: obj, expected: expected}
	return w.run(ctx)
}

// pendingPut is the state of a conditional write in progress.
type pendingPut struct {
	client   *Client
	call     call
	obj      Object
	expected Version
	// uncertain is set once an attempt may have taken effect although its reply was lost.
	uncertain bool
}

// run makes up to maxWriteAttempts attempts and returns the new version.
func (w *pendingPut) run(ctx context.Context) (Version, error) {
	var last error
	for try := 1; try <= maxWriteAttempts; try++ {
		var stored Object
		w.call.timeout = w.client.attemptTimeout(try)
		last = w.client.once(ctx, w.call, &stored)
		if last == nil {
			return stored.Version, nil
		}
		if final := w.classify(last); final != nil {
			return 0, final
		}
		if w.uncertain {
			version, settled, err := w.readBack(ctx)
			if settled {
				return version, err
			}
		}
		if !w.client.Reachable() || backoff(ctx, try) != nil {
			break
		}
	}
	if w.uncertain {
		return 0, w.unknown(last)
	}
	return 0, last
}

// classify returns err if it ends the write, and nil if the write may be retried. It sets uncertain
// if the attempt may have taken effect.
func (w *pendingPut) classify(err error) error {
	if !wasSent(err) || fault.Is(err, fault.RateLimited) {
		return nil
	}
	if fault.Is(err, fault.Unavailable) {
		w.uncertain = true
		return nil
	}
	// A conflict after a lost reply may have been caused by our own write.
	if fault.Is(err, fault.Conflict) && w.uncertain {
		return nil
	}
	return err
}

// readBack reads the object to find out whether the write took effect. settled is false if the
// object is unchanged, since the read may be stale, or if the read failed.
func (w *pendingPut) readBack(ctx context.Context) (version Version, settled bool, err error) {
	got, err := w.client.Get(ctx, w.obj.Kind, w.obj.Name)
	switch {
	case err == nil && got.Attempt == w.obj.Attempt:
		counter("settled", "put").Inc()
		return got.Version, true, nil
	case err == nil && got.Version > w.expected:
		// The object has been changed by another writer. Whether our write took effect before
		// that can no longer be determined.
		return 0, true, w.unknown(fault.New(fault.Conflict, "read the object again", "object is at version %d", got.Version))
	}
	return 0, false, nil
}

// unknown returns the error of a write that may have taken effect.
func (w *pendingPut) unknown(cause error) error {
	counter("unsettled", "put").Inc()
	return fault.Wrap(cause, fault.Unknown, "read the object again before the next change", "reply lost: put %s/%s", w.obj.Kind, w.obj.Name)
}

// Delete removes an object if its stored version equals expected. After a lost reply it retries; if
// the object does not exist then, the delete has succeeded. An error of kind fault.Unknown means that
// the delete may have taken effect.
func (c *Client) Delete(ctx context.Context, kind, name string, expected Version) error {
	k := call{
		op:     "delete",
		method: fasthttp.MethodDelete,
		path:   fmt.Sprintf("%s?expected=%d", objectPath(kind, name), expected),
		write:  true,
	}
	uncertain := false
	var last error
	for try := 1; try <= maxWriteAttempts; try++ {
		k.timeout = c.attemptTimeout(try)
		last = c.once(ctx, k, nil)
		if last == nil || (uncertain && fault.Is(last, fault.NotFound)) {
			return nil
		}
		if !retriable(last) {
			return last
		}
		uncertain = uncertain || (fault.Is(last, fault.Unavailable) && wasSent(last))
		if backoff(ctx, try) != nil {
			break
		}
	}
	if uncertain {
		return fault.Wrap(last, fault.Unknown, "read the object again", "reply lost: delete %s/%s", kind, name)
	}
	return last
}
