// Package fault holds the kinds of error that sardinedock tells callers,
// operators and its own processes apart by. Every fault names a remedy.
package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Kind is a class of error that code may decide on.
type Kind string

const (
	// BadRequest is a request that cannot be understood.
	BadRequest Kind = "bad_request"
	// TooLarge is a request over a bound of the settings.
	TooLarge Kind = "too_large"
	// Unauthorized is a request without a valid key.
	Unauthorized Kind = "unauthorized"
	// NotFound is a model, service or path that no record names.
	NotFound Kind = "not_found"
	// Conflict is a conditional write that lost, or a reused idempotency key.
	Conflict Kind = "conflict"
	// Overloaded is a request that cannot start before its deadline.
	Overloaded Kind = "overloaded"
	// LimitExceeded is a request over its organisation's limit.
	LimitExceeded Kind = "limit_exceeded"
	// Unavailable is a dependency that does not answer.
	Unavailable Kind = "unavailable"
	// RateLimited is a call refused by the object API's rate, or by our own
	// share of it.
	RateLimited Kind = "rate_limited"
	// Expired is a watch or version that the object API no longer holds.
	Expired Kind = "expired"
	// StaleFence is an order refused for its old fencing number.
	StaleFence Kind = "stale_fence"
	// Suspect is a request refused because it crashed endpoints before.
	Suspect Kind = "suspect_request"
	// Broken is a connection or stream that ended early, or out of order.
	Broken Kind = "broken"
	// Unknown is a request of which nobody can say whether it ran.
	Unknown Kind = "unknown_outcome"
	// Invalid is a settings file or a record that fails its checks.
	Invalid Kind = "invalid"
	// Internal is a fault of sardinedock itself.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy. Wrapped errors keep their own;
// the outermost one counts, since it was chosen with the most knowledge.
type Error struct {
	kind   Kind
	remedy string
	cause  error
}

// Error returns the text without the remedy.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause with its trace.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the kind. The remedy says what the reader can do.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{kind, remedy, oops.Code(string(kind)).Hint(remedy).Errorf(format, args...)}
}

// Wrap adds a kind and a remedy to a cause. A nil cause stays nil.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{kind, remedy, oops.Code(string(kind)).Hint(remedy).Wrapf(cause, format, args...)}
}

// KindOf returns the kind of err, or Internal where it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Is reports whether err is of the kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// Remedy returns what the reader of err can do, or an empty string.
func Remedy(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.remedy
	}
	return ""
}

// delayed is an error that tells when to come back.
type delayed struct {
	error
	after time.Duration
}

func (d *delayed) Unwrap() error { return d.error }

// WithRetryAfter adds to err when the caller may come back with better
// prospects. A nil err stays nil.
func WithRetryAfter(err error, after time.Duration) error {
	if err == nil {
		return nil
	}
	return &delayed{err, after}
}

// RetryAfter returns when the caller may come back, or 0 where err does not
// tell.
func RetryAfter(err error) time.Duration {
	var d *delayed
	if errors.As(err, &d) {
		return d.after
	}
	return 0
}
