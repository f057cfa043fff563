// Package account parses the logs of instances and summarises which requests were not
// served: by route, by time window and by reason. It opens no files itself.
package account

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Request is one request as its log line records it.
type Request struct {
	// End is when the request was answered, Took its total duration, Waited the time it
	// was queued for an endpoint, and WaitedMemory the part of Waited spent waiting for
	// endpoint memory.
	End                        time.Time
	Took, Waited, WaitedMemory time.Duration
	// First is the time to the first token or event; 0 if there was none.
	First  time.Duration
	Route  string
	Status int
	Sends  int
	// Why is the logged cause of the outcome; empty on success.
	Why string
	// Uncached is the number of prompt tokens that had to be processed, and Shared how many
	// of them belong to parts that other requests use too. Ahead is the prompt work queued
	// before this request, in tokens.
	Uncached, Shared, Ahead int64
	Organisation            string
	// Rank is the request's priority; 0 is the most urgent. Lines of requests that were neither sent nor refused for
	// full slots do not state it.
	Rank int
	// Limit is the sum of the concurrency limits that the endpoints had reached when the request was refused; 0 if
	// it was not refused for that. OverShare is what had at least its share then: "organisation", "rank" or nothing.
	Limit     int
	OverShare string
	// Cost and the following are set if the organisation's quota refused the request. Booked is when its
	// caller was asked to come back, Final whether it was given no time.
	Cost   int64
	Price  float64
	Booked time.Duration
	Final  bool
	// Retried counts the sends that were charged to the fleet's retry limit; RetryLimit is set if that limit prevented another
	// one, to what bound.
	Retried    int
	RetryLimit string
}

// ArrivedAt returns when the request arrived.
func (r Request) ArrivedAt() time.Time { return r.End.Add(-r.Took) }

// Log accumulates the requests read from all log files.
type Log struct {
	Requests []Request
	// Lines is the number of valid lines, Truncated the number of lines that contain the
	// start of a JSON object but can't be parsed or have no time, and Dropped the number of
	// lines that instances reported as not written.
	Lines, Truncated, Dropped int
	// SlowClosed counts the connections that were closed since their peers read slowly, by peer and reason.
	SlowClosed map[string]int
	// Unfinished lists the instances whose log does not end with a "stopped" event.
	Unfinished []string
	// Resumed counts the streams that callers resumed by how the release that began them was found; see origin.Result.
	Resumed map[string]int

	// stoppedLast reports by instance whether the last line read is its "stopped" event.
	stoppedLast map[string]bool
}

// wireLine is the JSON form of one line of an instance's log.
type wireLine struct {
	At             time.Time `json:"at"`
	Event          string    `json:"event"`
	Instance       string    `json:"instance"`
	Route          string    `json:"route"`
	Organisation   string    `json:"organisation"`
	Cost           int64     `json:"cost"`
	Price          float64   `json:"price"`
	BookedMs       float64   `json:"booked_ms"`
	Final          bool      `json:"final"`
	Retried        int       `json:"retried"`
	RetryLimit     string    `json:"retry_limit"`
	Status         int       `json:"status"`
	Sends          int       `json:"sends"`
	Why            string    `json:"why"`
	Ms             float64   `json:"ms"`
	WaitedMs       float64   `json:"waited_ms"`
	WaitedMemoryMs float64   `json:"waited_memory_ms"`
	FirstMs        float64   `json:"first_ms"`
	Uncached       int64     `json:"uncached"`
	SharedRead     int64     `json:"shared_read"`
	Ahead          int64     `json:"ahead"`
	DroppedBefore  int       `json:"dropped_before"`
	Priority       int       `json:"priority"`
	Limit          int       `json:"limit"`
	OverShare      string    `json:"over_share"`
	// Peer, Reason and Omitted are those of a closed connection; Omitted is how many before it have no line.
	Peer    string `json:"peer"`
	Reason  string `json:"reason"`
	Omitted int    `json:"omitted"`
	// ForwardedFor is set in the second line of a request that another instance forwarded.
	ForwardedFor string `json:"forwarded_for"`
	// BoundBy is the instance that knew the release of a resumed stream, and how.
	BoundBy string `json:"bound_by"`
}

// slowReaderClosed is the event of the line on a connection that was closed since its peer reads slowly, withoutLine how
// SlowClosed counts those that were left out.
const (
	slowReaderClosed = "connection of a slow reader closed"
	withoutLine      = "without a line"
)

// stopped is the event of the last line that an instance logs.
const stopped = "stopped"

// Read adds the lines of one log. Text before the first brace of a line is skipped, since
// log collectors add prefixes; truncated lines are counted in Truncated.
func (l *Log) Read(r io.Reader) error {
	if l.stoppedLast == nil {
		l.stoppedLast, l.Resumed = map[string]bool{}, map[string]int{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.parseLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func (l *Log) parseLine(text string) {
	start := strings.Index(text, `{"`)
	if start < 0 {
		return
	}
	var w wireLine
	if err := json.Unmarshal([]byte(text[start:]), &w); err != nil || w.At.IsZero() {
		l.Truncated++
		return
	}
	l.Lines++
	l.Dropped += w.DroppedBefore
	if w.Instance != "" {
		l.stoppedLast[w.Instance] = w.Event == stopped
	}
	if w.Event == slowReaderClosed {
		if l.SlowClosed == nil {
			l.SlowClosed = map[string]int{}
		}
		l.SlowClosed[w.Peer+", "+w.Reason]++
		if w.Omitted > 0 {
			l.SlowClosed[withoutLine] += w.Omitted
		}
	}
	if w.Event == "request" && w.ForwardedFor == "" {
		l.Requests = append(l.Requests, w.request())
		if _, how, ok := strings.Cut(w.BoundBy, ": "); ok {
			l.Resumed[how]++
		}
	}
}

func (w wireLine) request() Request {
	return Request{
		End: w.At, Took: milliseconds(w.Ms), Waited: milliseconds(w.WaitedMs), WaitedMemory: milliseconds(w.WaitedMemoryMs),
		First: milliseconds(w.FirstMs), Route: w.Route, Status: w.Status, Sends: w.Sends, Why: w.Why,
		Uncached: w.Uncached, Shared: w.SharedRead, Ahead: w.Ahead,
		Organisation: w.Organisation, Rank: w.Priority, Limit: w.Limit, OverShare: w.OverShare,
		Cost: w.Cost, Price: w.Price, Booked: milliseconds(w.BookedMs), Final: w.Final,
		Retried: w.Retried, RetryLimit: w.RetryLimit,
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Finish sorts the requests and fills in Unfinished. Call it once, after the last Read.
func (l *Log) Finish() {
	slices.SortStableFunc(l.Requests, func(a, b Request) int { return a.ArrivedAt().Compare(b.ArrivedAt()) })
	for name, stoppedLast := range l.stoppedLast {
		if !stoppedLast {
			l.Unfinished = append(l.Unfinished, name)
		}
	}
	slices.Sort(l.Unfinished)
}

// Reason classifies the outcome of a request.
type Reason int

// The reasons. Logs do not contain a route's latency target, so Slow is decided by
// Options.Slow.
const (
	Served Reason = iota
	Slow
	RefusedForWork
	RefusedForMemory
	RefusedForSlots
	OverQuota
	RefusedOther
	FailedAtEndpoint
	Interrupted
	CallerDisconnected
	NotAllowed
)

var reasonNames = [...]string{
	"served", "slow", "refused: work before it", "refused: no memory", "refused: slots in use", "refused: over its quota", "refused: else",
	"failed at the endpoint", "broken off", "caller gone", "not allowed",
}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// Reasons is the number of reasons.
const Reasons = len(reasonNames)

// Status codes that instances log in addition to HTTP's: the caller closed its connection, and
// the answer was cut off.
const (
	statusCallerDisconnected = 499
	statusInterrupted        = 598
)

// memoryShare is the least share of its waiting time that a refused request spent waiting for
// memory to count as RefusedForMemory.
const memoryShare = 0.5

// reason classifies the request. A first token, or an answer without tokens, that took longer
// than slow counts as Slow; 0 disables that.
func (r Request) reason(slow time.Duration) Reason {
	switch {
	case r.Status == statusCallerDisconnected:
		return CallerDisconnected
	case r.Status == statusInterrupted:
		return Interrupted
	case r.Status == 503 && r.Limit > 0:
		return RefusedForSlots
	case r.Status == 503 && r.Waited > 0 && float64(r.WaitedMemory) >= memoryShare*float64(r.Waited) && r.Sends == 0:
		return RefusedForMemory
	case r.Status == 503 && strings.Contains(r.Why, "behind"):
		return RefusedForWork
	case r.Status == 429 && strings.Contains(r.Why, "quota"):
		return OverQuota
	case r.Status == 503 || r.Status == 429:
		return RefusedOther
	case r.Status >= 500:
		return FailedAtEndpoint
	case r.Status >= 400:
		return NotAllowed
	case slow > 0 && r.latency() > slow:
		return Slow
	}
	return Served
}

// latency returns the time to the first token, or to the complete answer if there is none.
func (r Request) latency() time.Duration {
	if r.First > 0 {
		return r.First
	}
	return r.Took
}
