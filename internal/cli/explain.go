package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinedock/sardinedock/fault"
)

const (
	// explainBefore and explainAfter extend the request's lifetime to the span from which
	// lines about its endpoint, records and store are printed: the registration of an
	// endpoint that has ended expires up to three heartbeats later.
	explainBefore = 5 * time.Second
	explainAfter  = 5 * time.Second
	// maxLogLine is the maximum length of a log line in bytes.
	maxLogLine = 1 << 20
)

// The events of the lines on a caller's connection that was closed since the caller reads slowly, and on one that an answer without
// framing has ended.
const (
	slowReaderClosed = "connection of a slow reader closed"
	unframedClosed   = "connection of an answer without framing closed"
)

// explainCommand prints the log lines of all instances that concern one request.
type explainCommand struct {
	id    string
	files []string
	// endpoint is an endpoint to which the request did not go; empty for none.
	endpoint string
}

func (c *explainCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("explain", "Trace one request through the logs of hosted instances.")
	clause.Arg("id", "The request's id.").Required().StringVar(&c.id)
	clause.Flag("endpoint", "Also print what was logged of this endpoint until the request ended: why the request did not go there.").StringVar(&c.endpoint)
	clause.Arg("file", "Log files of all instances.").Required().StringsVar(&c.files)
	return clause
}

// logEntry is one line of a log; text is the line without a collector's prefix.
type logEntry struct {
	at     time.Time
	fields map[string]any
	text   string
}

// stringField returns a string field, or "" if it is missing or not a string.
func (e logEntry) stringField(name string) string {
	s, _ := e.fields[name].(string)
	return s
}

// number returns a numeric field, or 0 if it is missing or not a number.
func (e logEntry) number(name string) float64 {
	v, _ := e.fields[name].(float64)
	return v
}

func (c *explainCommand) run(out, _ io.Writer) error {
	var all []logEntry
	for _, name := range c.files {
		entries, err := readLog(name)
		if err != nil {
			return err
		}
		all = append(all, entries...)
	}
	slices.SortStableFunc(all, func(a, b logEntry) int { return a.at.Compare(b.at) })
	requests := triesOf(all, c.id)
	if len(requests) == 0 {
		for _, text := range missingLineReasons(all) {
			fmt.Fprintln(out, text)
		}
		return fault.New(fault.NotFound, "check the id, and give the logs of all instances", "no line tells of request %s", c.id)
	}
	for _, e := range relatedEntries(all, requests, c.endpoint) {
		fmt.Fprintln(out, e.text)
	}
	for _, r := range requests {
		for _, reason := range []func(logEntry) string{quotaReason, retryReason, sendsReason} {
			if text := reason(r); text != "" {
				fmt.Fprintln(out, text)
			}
		}
	}
	return nil
}

// triesOf returns the lines of a request, and of the other requests by which its caller resumed the same stream: each
// names the first one.
func triesOf(all []logEntry, id string) []logEntry {
	first := id
	for _, e := range all {
		if resumes := e.stringField("resumes"); resumes != "" && e.stringField("request") == id {
			first = resumes
		}
	}
	var tries []logEntry
	for _, e := range all {
		if e.stringField("event") != "request" {
			continue
		}
		if name := e.stringField("request"); name == id || name == first || e.stringField("resumes") == first {
			tries = append(tries, e)
		}
	}
	return tries
}

// missingLineReasons lists why the logs may have no line for a request that reached an
// instance: the process was killed, lines were dropped, or the request could not be parsed.
func missingLineReasons(all []logEntry) []string {
	var list []string
	last := map[string]logEntry{}
	for _, e := range all {
		name := e.stringField("instance")
		previous, known := last[name]
		if e.stringField("event") == "started" && known && previous.stringField("event") != "stopped" {
			list = append(list, fmt.Sprintf("%s ended without a word between %s and %s; what it served then has no line",
				name, previous.stringField("at"), e.stringField("at")))
		}
		if n, _ := e.fields["dropped_before"].(float64); n > 0 {
			list = append(list, fmt.Sprintf("%s dropped %.0f lines before %s", name, n, e.stringField("at")))
		}
		if e.stringField("event") == "request unreadable" {
			list = append(list, e.text)
		}
		last[name] = e
	}
	return list
}

// relatedEntries returns the request's lines, one of each instance that it went through, and the lines
// that may explain its outcome, in order of time, with those of another endpoint, if one is given, from
// any time before, as those about what it was refused for as crashing endpoints.
func relatedEntries(all, requests []logEntry, endpoint string) []logEntry {
	var from, to time.Time
	for _, r := range requests {
		ms, _ := r.fields["ms"].(float64)
		if began := r.at.Add(-time.Duration(ms)*time.Millisecond - explainBefore); from.IsZero() || began.Before(from) {
			from = began
		}
		if end := r.at.Add(explainAfter); end.After(to) {
			to = end
		}
	}
	var list []logEntry
	for _, e := range all {
		ofEndpoint := endpoint != "" && e.stringField("endpoint") == endpoint && e.stringField("event") != "request" && !e.at.After(to.Add(-explainAfter))
		// The connection may be closed long after the request's line, since its caller does not read the answer.
		event := e.stringField("event")
		ofRequest := (event == slowReaderClosed || event == unframedClosed) && slices.ContainsFunc(requests, func(r logEntry) bool { return related(e, r) })
		near := !e.at.Before(from) && !e.at.After(to)
		ofCause := !e.at.After(to) && slices.ContainsFunc(requests, func(r logEntry) bool { return aboutCause(e, r) })
		if ofEndpoint || ofCause || ofRequest || near && slices.ContainsFunc(requests, func(r logEntry) bool { return related(e, r) }) {
			list = append(list, e)
		}
	}
	return list
}

// related reports whether a line may explain the request's outcome: one about the same request or its
// endpoint, or about the records, the store, the lease, what is out of reach, the start or the stop of
// an instance that it went through.
func related(e, request logEntry) bool {
	if e.stringField("event") == "request" {
		return e.stringField("request") == request.stringField("request")
	}
	for _, name := range []string{"endpoint", "address"} {
		if v := request.stringField(name); v != "" && e.stringField(name) == v {
			return true
		}
	}
	if id := e.stringField("endpoint"); id != "" && slices.Contains(endpointsOf(request), id) {
		return true
	}
	event := e.stringField("event")
	if e.stringField("request") != "" {
		return e.stringField("request") == request.stringField("request")
	}
	own := e.stringField("instance") == request.stringField("instance")
	return own && slices.ContainsFunc([]string{"records", "store", "lease", "services out of reach", "stopp", "start"}, func(p string) bool { return strings.HasPrefix(event, p) })
}

// aboutCause reports whether a line is about the content, or the part of the prompt, for which an instance refused
// the request, or would not any more.
func aboutCause(e, request logEntry) bool {
	content := e.stringField("content")
	if content == "" || e.stringField("event") == "request" || e.stringField("instance") != request.stringField("instance") {
		return false
	}
	return content == request.stringField("content") || content == request.stringField("crashing_part")
}

// endpointsOf returns the endpoints to which a request was sent, where its line lists them, those that rejected it, those at
// which it broke off, and the one that was passed over.
func endpointsOf(request logEntry) []string {
	list := strings.Split(request.stringField("rejected_by"), ",")
	list = append(list, strings.Split(request.stringField("broken_at"), ",")...)
	for _, s := range sendsOf(request) {
		list = append(list, s.Endpoint)
	}
	return append(list, request.stringField("passed_over"))
}

// readLog reads one file. Lines that are not JSON objects with a time are skipped, since log
// collectors add lines of their own.
func readLog(name string) ([]logEntry, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "name a file that can be read", "read a log")
	}
	defer func() { _ = f.Close() }()
	var list []logEntry
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line := scanner.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		e := logEntry{text: line[start:]}
		if json.Unmarshal([]byte(e.text), &e.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, e.stringField("at"))
		if err != nil {
			continue
		}
		e.at = at
		list = append(list, e)
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.EOF) {
		return nil, fault.Wrap(err, fault.Invalid, "look at the file", "read %s", name)
	}
	return list, nil
}
