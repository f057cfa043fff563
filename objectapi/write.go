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

// writeTries bounds the attempts of one conditional write. All carry the same
// attempt id, so a repetition cannot take effect twice.
const writeTries = 3

// NewAttempt returns an id that no other write has.
func NewAttempt() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Put writes an object under the condition that its version is expected. An
// empty obj.Attempt is filled in. A reply that is lost is settled by reading
// the object back: the attempt id there tells whose write it was. An error of
// kind fault.Unknown says that the write may have taken effect or may still do
// so; any other error says that it did not.
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

// pendingPut is a conditional write under way.
type pendingPut struct {
	client   *Client
	call     call
	obj      Object
	expected Version
	// uncertain is set once an attempt may have taken effect unseen.
	uncertain bool
}

func (w *pendingPut) run(ctx context.Context) (Version, error) {
	var last error
	for try := 1; try <= writeTries; try++ {
		var stored Object
		w.call.limit = w.client.attemptLimit(try)
		last = w.client.once(ctx, w.call, &stored)
		if last == nil {
			return stored.Version, nil
		}
		if final := w.judge(last); final != nil {
			return 0, final
		}
		if w.uncertain {
			version, settled, err := w.readBack(ctx)
			if settled {
				return version, err
			}
		}
		if !w.client.Reachable() || pause(ctx, try) != nil {
			break
		}
	}
	if w.uncertain {
		return 0, w.unknown(last)
	}
	return 0, last
}

// judge returns the error that ends the write at once, if it does, and notes
// whether the attempt may have taken effect.
func (w *pendingPut) judge(err error) error {
	if !wasSent(err) || fault.Is(err, fault.RateLimited) {
		return nil
	}
	if fault.Is(err, fault.Unavailable) {
		w.uncertain = true
		return nil
	}
	// A conflict after a lost reply may be one with our own write.
	if fault.Is(err, fault.Conflict) && w.uncertain {
		return nil
	}
	return err
}

// readBack looks whose write the object shows. It has settled nothing when
// the object shows the state before, which may also be a stale read.
func (w *pendingPut) readBack(ctx context.Context) (version Version, settled bool, err error) {
	got, err := w.client.Get(ctx, w.obj.Kind, w.obj.Name)
	switch {
	case err == nil && got.Attempt == w.obj.Attempt:
		counter("settled", "put").Inc()
		return got.Version, true, nil
	case err == nil && got.Version > w.expected:
		// Another writer's change stands there. Whether ours came before it
		// cannot be seen any more.
		return 0, true, w.unknown(fault.New(fault.Conflict, "read the object again", "version %d stands there", got.Version))
	}
	return 0, false, nil
}

func (w *pendingPut) unknown(cause error) error {
	counter("unsettled", "put").Inc()
	return fault.Wrap(cause, fault.Unknown, "read the object again before the next change", "reply lost: put %s/%s", w.obj.Kind, w.obj.Name)
}

// Delete removes an object under the condition that its version is expected. A
// lost reply is settled by trying again: an object that is gone then is what
// was asked for.
func (c *Client) Delete(ctx context.Context, kind, name string, expected Version) error {
	k := call{
		op:     "delete",
		method: fasthttp.MethodDelete,
		path:   fmt.Sprintf("%s?expected=%d", objectPath(kind, name), expected),
		write:  true,
	}
	uncertain := false
	var last error
	for try := 1; try <= writeTries; try++ {
		k.limit = c.attemptLimit(try)
		last = c.once(ctx, k, nil)
		if last == nil || (uncertain && fault.Is(last, fault.NotFound)) {
			return nil
		}
		if !retriable(last) {
			return last
		}
		uncertain = uncertain || (fault.Is(last, fault.Unavailable) && wasSent(last))
		if pause(ctx, try) != nil {
			break
		}
	}
	if uncertain {
		return fault.Wrap(last, fault.Unknown, "read the object again", "reply lost: delete %s/%s", kind, name)
	}
	return last
}
