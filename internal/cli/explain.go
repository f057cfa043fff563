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
	// explainBefore and explainAfter are how far around a request's life lines on
	// its endpoint, records and store are told: an endpoint's entry goes up to three
	// heartbeats after its end.
	explainBefore = 5 * time.Second
	explainAfter  = 5 * time.Second
	// maxLogLine bounds one line of a log.
	maxLogLine = 1 << 20
)

// explainCommand tells one request's story from the logs of all instances.
type explainCommand struct {
	id    string
	files []string
}

func (c *explainCommand) declare(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("explain", "Tell what became of a request, from the logs of hosted instances.")
	clause.Arg("id", "The request's id.").Required().StringVar(&c.id)
	clause.Arg("file", "Log files of all instances.").Required().StringsVar(&c.files)
	return clause
}

// logEntry is one line of a log.
type logEntry struct {
	at     time.Time
	fields map[string]any
	text   string
}

func (e logEntry) word(name string) string {
	s, _ := e.fields[name].(string)
	return s
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
	i := slices.IndexFunc(all, func(e logEntry) bool { return e.word("event") == "request" && e.word("request") == c.id })
	if i < 0 {
		for _, text := range withoutLine(all) {
			fmt.Fprintln(out, text)
		}
		return fault.New(fault.NotFound, "check the id, and give the logs of all instances", "no line tells of request %s", c.id)
	}
	for _, e := range story(all, all[i]) {
		fmt.Fprintln(out, e.text)
	}
	return nil
}

// withoutLine tells why the logs may hold no line of a request that an instance has had:
// the process was killed, lines were dropped, or the request could not be read.
func withoutLine(all []logEntry) []string {
	var list []string
	last := map[string]logEntry{}
	for _, e := range all {
		name := e.word("instance")
		before, known := last[name]
		if e.word("event") == "started" && known && before.word("event") != "stopped" {
			list = append(list, fmt.Sprintf("%s ended without a word between %s and %s; what it served then has no line",
				name, before.word("at"), e.word("at")))
		}
		if n, _ := e.fields["dropped_before"].(float64); n > 0 {
			list = append(list, fmt.Sprintf("%s dropped %.0f lines before %s", name, n, e.word("at")))
		}
		if e.word("event") == "request unreadable" {
			list = append(list, e.text)
		}
		last[name] = e
	}
	return list
}

// story returns the request's line and those that may explain it, in order.
func story(all []logEntry, request logEntry) []logEntry {
	ms, _ := request.fields["ms"].(float64)
	from := request.at.Add(-time.Duration(ms)*time.Millisecond - explainBefore)
	to := request.at.Add(explainAfter)
	var list []logEntry
	for _, e := range all {
		if e.at.Before(from) || e.at.After(to) {
			continue
		}
		if e.text == request.text || bears(e, request) {
			list = append(list, e)
		}
	}
	return list
}

// bears reports whether a line on something else may explain the request: on its
// endpoint, or on what the same instance believed or lost.
func bears(e, request logEntry) bool {
	if e.word("event") == "request" {
		return false
	}
	for _, name := range []string{"endpoint", "address"} {
		if v := request.word(name); v != "" && e.word(name) == v {
			return true
		}
	}
	about := e.word("event")
	if e.word("request") != "" {
		return e.word("request") == request.word("request")
	}
	own := e.word("instance") == request.word("instance")
	return own && slices.ContainsFunc([]string{"records", "store", "lease", "stopp", "start"}, func(p string) bool { return strings.HasPrefix(about, p) })
}

// readLog reads one file; lines that are no JSON objects are passed over, since
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
		at, err := time.Parse(time.RFC3339Nano, e.word("at"))
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
