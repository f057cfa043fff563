// Package fault holds the error kinds by which sardinedock's code, its callers and its operators
// distinguish errors. Every fault carries a remedy: text that states what the reader has to do.
package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Kind is a class of error that code may branch on.
type Kind string

const (
	// BadRequest is a request that cannot be understood.
	BadRequest Kind = "bad_request"
	// TooLarge is a request that exceeds a configured limit.
	TooLarge Kind = "too_large"
	// Unauthorized is a request without a valid API key.
	Unauthorized Kind = "unauthorized"
	// NotFound is a model, service or path that does not exist.
	NotFound Kind = "not_found"
	// Conflict is a conditional write whose condition was not met, or a reused idempotency key.
	Conflict Kind = "conflict"
	// Overloaded is a request that could not be started before its deadline.
	Overloaded Kind = "overloaded"
	// LimitExceeded is a request that exceeds its organisation's limit.
	LimitExceeded Kind = "limit_exceeded"
	// Unavailable is a dependency that does not respond.
	Unavailable Kind = "unavailable"
	// RateLimited is a call refused by the object API's rate limit, or by this instance's own
	// share of it.
	RateLimited Kind = "rate_limited"
	// Expired is a watch position or version that the object API no longer retains.
	Expired Kind = "expired"
	// StaleFence is a command refused because its fencing token is outdated.
	StaleFence Kind = "stale_fence"
	// Suspect is a request refused because it has crashed endpoints before.
	Suspect Kind = "suspect_request"
	// Broken is a connection or stream that ended early or violated the protocol's order.
	Broken Kind = "broken"
	// Unknown is a request or write for which it can't be determined whether it took effect.
	Unknown Kind = "unknown_outcome"
	// Invalid is a settings file or a stored record that fails validation.
	Invalid Kind = "invalid"
	// Internal is an error in sardinedock itself.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy. Wrapped errors keep their own; the outermost one
// counts, since it was chosen by the code with the most context.
type Error struct {
	kind   Kind
	remedy string
	cause  error
}

// Error returns the error text without the remedy.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause with its stack trace.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind. The remedy says what its reader can do.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{kind, remedy, oops.Code(string(kind)).Hint(remedy).Errorf(format, args...)}
}

// Wrap adds a kind, a remedy and a message to cause. It returns nil if cause is nil.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{kind, remedy, oops.Code(string(kind)).Hint(remedy).Wrapf(cause, format, args...)}
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// Remedy returns the remedy of err, or an empty string if it has none.
func Remedy(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.remedy
	}
	return ""
}

// retryAfterError is an error with the time after which a retry is worthwhile.
type retryAfterError struct {
	error
	after time.Duration
}

func (d *retryAfterError) Unwrap() error { return d.error }

// WithRetryAfter adds to err the time after which a retry is more likely to succeed. It returns
// nil if err is nil.
func WithRetryAfter(err error, after time.Duration) error {
	if err == nil {
		return nil
	}
	return &retryAfterError{err, after}
}

// RetryAfter returns the time after which the caller may retry, or 0 if err carries none.
func RetryAfter(err error) time.Duration {
	var d *retryAfterError
	if errors.As(err, &d) {
		return d.after
	}
	return 0
}
